#ifndef RADISHRUDDER_CALLS_FAIR_QUEUE_H_
#define RADISHRUDDER_CALLS_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/document/service_document.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::calls {

// A call waiting in a queue.
struct QueuedCall {
  std::uint64_t id = 0;
  std::string workspace{};
  std::uint32_t priority = 0;  // Higher goes first within its workspace.
  kernel::Time deadline{};
};

// Bounded queue that uses start-time fair queueing: each workspace is served in
// proportion to its share, independent of the load of other workspaces. Within
// a workspace, calls are ordered by priority, highest first, and then by
// deadline, earliest first.
class FairQueue {
 public:
  explicit FairQueue(std::size_t maximum) : m_maximum(maximum) {}

  void SetMaximum(std::size_t maximum) { m_maximum = maximum; }
  void SetShares(const std::vector<document::WorkspaceSection>& workspaces);

  // Adds a call. If the queue is full, removes the last call in order of the
  // workspace with the most calls in relation to its share, and returns the id
  // of the removed call, which may be the new one.
  std::optional<std::uint64_t> Push(QueuedCall call);
  // Puts back a call that was popped before. It is not charged to its workspace
  // a second time.
  void Requeue(QueuedCall call);
  // Removes and returns the next call in order.
  std::optional<QueuedCall> Pop();
  // Removes a call; returns whether it was there.
  bool Remove(std::uint64_t id);
  // Removes and returns all calls.
  std::vector<QueuedCall> TakeAll();
  // Removes and returns the calls whose deadline is at or before `limit`.
  std::vector<QueuedCall> TakeExpired(kernel::Time limit);

  bool Empty() const { return m_calls.empty(); }
  std::size_t Size() const { return m_calls.size(); }
  std::size_t SizeOf(const std::string& workspace) const;

 private:
  struct SortKey {
    bool requeued = false;  // Put back: precedes all other calls.
    std::uint32_t priority = 0;
    kernel::Time deadline;
    std::uint64_t arrival_number = 0;

    bool operator<(const SortKey& other) const;
  };
  struct Workspace {
    double share = 1;
    double next_start = 0;  // Virtual start time of its next call.
    std::map<SortKey, QueuedCall> calls;
  };
  struct Position {
    std::string workspace;
    SortKey sort_key;
  };

  static constexpr std::size_t kMaximumIdleWorkspaces = 256;

  void Insert(QueuedCall call, bool requeued);
  // Removes workspaces that have no queued calls and whose next start is not
  // ahead of the virtual time.
  void DropIdleWorkspaces();
  Workspace& FindLongestQueue();
  QueuedCall Extract(Workspace& workspace,
                     std::map<SortKey, QueuedCall>::iterator position);

  std::size_t m_maximum;
  double m_virtual_time = 0;
  std::uint64_t m_last_arrival_number = 0;
  std::map<std::string, double> m_shares;
  std::map<std::string, Workspace> m_workspaces;
  std::map<std::uint64_t, Position> m_calls;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_FAIR_QUEUE_H_
