#include "radishrudder/admission/waiting_calls.h"

#include <algorithm>

namespace radishrudder::admission {
namespace {

constexpr std::size_t kMaximumWorkspaces = 512;
constexpr double kMinimumCost = 1e-6;

}  // namespace

void WaitingCalls::Add(WaitingCall call) {
  const double cost = std::max(call.cost, kMinimumCost);
  const double virtual_time = m_virtual_times[call.rank];
  if (m_finishes.size() >= kMaximumWorkspaces) {
    std::erase_if(m_finishes, [this](const auto& item) {
      return item.second <= m_virtual_times[item.first.first];
    });
  }
  double& finish = m_finishes[Share(call.rank, call.workspace)];
  const double start = std::max(virtual_time, finish);
  finish = start + cost;
  const Position position(call.rank, start, ++m_last_arrival);
  m_positions[call.id] = position;
  m_calls.emplace(position, std::move(call));
}

bool WaitingCalls::Remove(std::uint64_t id) {
  const auto position = m_positions.find(id);
  if (position == m_positions.end()) {
    return false;
  }
  const Position removed_at = position->second;
  const auto node = m_calls.extract(removed_at);
  m_positions.erase(position);
  Refund(node.mapped(), removed_at);
  return true;
}

void WaitingCalls::Refund(const WaitingCall& removed,
                          const Position& removed_at) {
  const double cost = std::max(removed.cost, kMinimumCost);
  const auto finish = m_finishes.find(Share(removed.rank, removed.workspace));
  if (finish != m_finishes.end()) {
    finish->second -= cost;
  }
  std::vector<Position> later;
  for (auto call = m_calls.upper_bound(removed_at);
       call != m_calls.end() && call->second.rank == removed.rank; ++call) {
    if (call->second.workspace == removed.workspace) {
      later.push_back(call->first);
    }
  }
  for (const Position& position : later) {
    auto node = m_calls.extract(position);
    std::get<double>(node.key()) -= cost;
    m_positions[node.mapped().id] = node.key();
    m_calls.insert(std::move(node));
  }
}

void WaitingCalls::OnSent(std::uint64_t id) {
  const auto position = m_positions.find(id);
  if (position == m_positions.end()) {
    return;
  }
  const auto& [rank, start, arrival] = position->second;
  m_virtual_times[rank] = std::max(m_virtual_times[rank], start);
  m_calls.erase(position->second);
  m_positions.erase(position);
}

std::vector<WaitingCall> WaitingCalls::TakeExpired(kernel::Time now) {
  std::vector<WaitingCall> expired;
  for (const auto& [position, call] : m_calls) {
    if (call.give_up <= now) {
      expired.push_back(call);
    }
  }
  for (const WaitingCall& call : expired) {
    Remove(call.id);
  }
  return expired;
}

std::vector<std::uint64_t> WaitingCalls::InOrder() const {
  std::vector<std::uint64_t> ids;
  ids.reserve(m_calls.size());
  for (const auto& [position, call] : m_calls) {
    ids.push_back(call.id);
  }
  return ids;
}

std::size_t WaitingCalls::CountUpTo(std::uint32_t rank) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_calls, [rank](const auto& item) { return item.second.rank <= rank; }));
}

}  // namespace radishrudder::admission
