#include "radishrudder/calls/fair_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishrudder::calls {

bool FairQueue::SortKey::operator<(const SortKey& other) const {
  return std::tuple(!requeued, ~priority, deadline, arrival_number) <
         std::tuple(!other.requeued, ~other.priority, other.deadline,
                    other.arrival_number);
}

void FairQueue::SetShares(
    const std::vector<document::WorkspaceSection>& workspaces) {
  m_shares.clear();
  for (const auto& workspace : workspaces) {
    m_shares[workspace.name] = std::max(workspace.share, 1e-6);
  }
  for (auto& [name, workspace] : m_workspaces) {
    const auto share = m_shares.find(name);
    workspace.share = share == m_shares.end() ? 1 : share->second;
  }
}

std::optional<std::uint64_t> FairQueue::Push(QueuedCall call) {
  Insert(std::move(call), false);
  if (m_calls.size() <= m_maximum) {
    return std::nullopt;
  }
  Workspace& longest = FindLongestQueue();
  return Extract(longest, std::prev(longest.calls.end())).id;
}

void FairQueue::Requeue(QueuedCall call) {
  Insert(std::move(call), true);
}

std::optional<QueuedCall> FairQueue::Pop() {
  Workspace* next = nullptr;
  for (auto& [name, workspace] : m_workspaces) {
    if (workspace.calls.empty()) {
      continue;
    }
    if (workspace.calls.begin()->first.requeued) {
      return Extract(workspace, workspace.calls.begin());
    }
    if (next == nullptr || workspace.next_start < next->next_start) {
      next = &workspace;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  m_virtual_time = std::max(m_virtual_time, next->next_start);
  next->next_start += 1 / next->share;
  return Extract(*next, next->calls.begin());
}

bool FairQueue::Remove(std::uint64_t id) {
  const auto position = m_calls.find(id);
  if (position == m_calls.end()) {
    return false;
  }
  Workspace& workspace = m_workspaces[position->second.workspace];
  Extract(workspace, workspace.calls.find(position->second.sort_key));
  return true;
}

std::vector<QueuedCall> FairQueue::TakeAll() {
  return TakeExpired(kernel::Time::max());
}

std::vector<QueuedCall> FairQueue::TakeExpired(kernel::Time limit) {
  std::vector<QueuedCall> expired;
  for (auto& [name, workspace] : m_workspaces) {
    for (auto next = workspace.calls.begin(); next != workspace.calls.end();) {
      const auto current = next++;
      if (current->second.deadline <= limit) {
        expired.push_back(Extract(workspace, current));
      }
    }
  }
  return expired;
}

std::size_t FairQueue::SizeOf(const std::string& workspace) const {
  const auto found = m_workspaces.find(workspace);
  return found == m_workspaces.end() ? 0 : found->second.calls.size();
}

void FairQueue::Insert(QueuedCall call, bool requeued) {
  if (m_workspaces.size() >= kMaximumIdleWorkspaces) {
    DropIdleWorkspaces();
  }
  const auto [found, added] = m_workspaces.try_emplace(call.workspace);
  Workspace& workspace = found->second;
  if (added) {
    const auto share = m_shares.find(call.workspace);
    workspace.share = share == m_shares.end() ? 1 : share->second;
  }
  if (workspace.calls.empty()) {
    workspace.next_start = std::max(workspace.next_start, m_virtual_time);
  }
  const SortKey sort_key{.requeued = requeued,
                         .priority = call.priority,
                         .deadline = call.deadline,
                         .arrival_number = ++m_last_arrival_number};
  m_calls[call.id] = {.workspace = call.workspace, .sort_key = sort_key};
  workspace.calls.emplace(sort_key, std::move(call));
}

void FairQueue::DropIdleWorkspaces() {
  std::erase_if(m_workspaces, [this](const auto& item) {
    return item.second.calls.empty() &&
           item.second.next_start <= m_virtual_time;
  });
}

FairQueue::Workspace& FairQueue::FindLongestQueue() {
  const auto longest = std::max_element(
      m_workspaces.begin(), m_workspaces.end(),
      [](const auto& a, const auto& b) {
        return static_cast<double>(a.second.calls.size()) / a.second.share <
               static_cast<double>(b.second.calls.size()) / b.second.share;
      });
  return longest->second;
}

QueuedCall FairQueue::Extract(
    Workspace& workspace,
    std::map<SortKey, QueuedCall>::iterator position) {
  QueuedCall call = std::move(position->second);
  workspace.calls.erase(position);
  m_calls.erase(call.id);
  return call;
}

}  // namespace radishrudder::calls
