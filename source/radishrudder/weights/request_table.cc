#include "radishrudder/weights/request_table.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {

void RequestTable::Add(Request request) {
  m_requested.Set(request.index);
  m_requests.insert_or_assign(request.index, std::move(request));
}

Request* RequestTable::Find(std::uint32_t index) {
  const auto found = m_requests.find(index);
  return found == m_requests.end() ? nullptr : &found->second;
}

void RequestTable::Remove(std::uint32_t index) {
  m_requested.Clear(index);
  m_requests.erase(index);
}

template <typename Matches>
std::vector<Request> RequestTable::TakeIf(Matches matches) {
  std::vector<Request> taken;
  for (auto item = m_requests.begin(); item != m_requests.end();) {
    if (matches(item->second)) {
      m_requested.Clear(item->first);
      taken.push_back(std::move(item->second));
      item = m_requests.erase(item);
    } else {
      ++item;
    }
  }
  return taken;
}

std::vector<Request> RequestTable::TakeExpired(kernel::Time now) {
  return TakeIf(
      [now](const Request& request) { return request.deadline <= now; });
}

std::vector<Request> RequestTable::TakeFrom(std::string_view sender) {
  return TakeIf(
      [sender](const Request& request) { return request.sender == sender; });
}

std::size_t RequestTable::CountRequests(RequestKind kind) const {
  return static_cast<std::size_t>(std::count_if(
      m_requests.begin(), m_requests.end(),
      [kind](const auto& item) { return item.second.kind == kind; }));
}

std::size_t RequestTable::CountRequests(RequestKind kind,
                                        std::string_view sender) const {
  return static_cast<std::size_t>(std::count_if(
      m_requests.begin(), m_requests.end(), [&](const auto& item) {
        return item.second.kind == kind && item.second.sender == sender;
      }));
}

std::vector<std::uint32_t> RequestTable::RequestedIndices(
    RequestKind kind) const {
  std::vector<std::uint32_t> indices;
  for (const auto& [index, request] : m_requests) {
    if (request.kind == kind) {
      indices.push_back(index);
    }
  }
  return indices;
}

kernel::Time RequestTable::EarliestDeadline() const {
  kernel::Time earliest = kernel::Time::max();
  for (const auto& [index, request] : m_requests) {
    earliest = std::min(earliest, request.deadline);
  }
  return earliest;
}

}  // namespace radishrudder::weights
