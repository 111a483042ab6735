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

// A call that waits for its turn.
struct QueuedCall {
  std::uint64_t id = 0;
  std::string workspace{};
  std::uint32_t priority = 0;  // Higher goes first within its workspace.
  kernel::Time deadline{};
};

// Bounded queue with fair shares by start-time fair queueing: each workspace
// gets turns in proportion to its share, whatever the others send. Within a
// workspace calls of higher priority go first, then those whose deadline is
// earlier.
class FairQueue {
 public:
  explicit FairQueue(std::size_t maximum) : m_maximum(maximum) {}

  void SetMaximum(std::size_t maximum) { m_maximum = maximum; }
  void SetShares(const std::vector<document::WorkspaceSection>& workspaces);

  // Adds a call. When the queue is full, the workspace that holds most for its
  // share gives one up, its last in order; returns the id of that call, which
  // may be the new one.
  std::optional<std::uint64_t> Push(QueuedCall call);
  // Puts back a call that was popped before, with its turn already paid for.
  void PushBack(QueuedCall call);
  // Takes the next call in turn.
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
  struct Place {
    bool returned = false;  // Put back: goes before the others.
    std::uint32_t priority = 0;
    kernel::Time deadline;
    std::uint64_t arrival = 0;

    bool operator<(const Place& other) const;
  };
  struct Workspace {
    double share = 1;
    double next_start = 0;  // Virtual time of its next turn.
    std::map<Place, QueuedCall> calls;
  };
  struct Position {
    std::string workspace;
    Place place;
  };

  static constexpr std::size_t kMaximumIdleWorkspaces = 256;

  void Insert(QueuedCall call, bool returned);
  // Forgets workspaces that neither wait nor owe a turn.
  void DropIdleWorkspaces();
  Workspace& Longest();
  QueuedCall Extract(Workspace& workspace,
                     std::map<Place, QueuedCall>::iterator position);

  std::size_t m_maximum;
  double m_virtual_time = 0;
  std::uint64_t m_arrivals = 0;
  std::map<std::string, double> m_shares;
  std::map<std::string, Workspace> m_workspaces;
  std::map<std::uint64_t, Position> m_calls;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_FAIR_QUEUE_H_
