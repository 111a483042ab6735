#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_HEARTBEAT_TARGETS_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_HEARTBEAT_TARGETS_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "member_table.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::membership {

// Selects the processes that this process sends its heartbeats to: its
// neighbours in the gossip graph, the agents that it follows, and the entries
// that follow it.
class HeartbeatTargets {
 public:
  HeartbeatTargets(const MembershipSettings& settings, const MemberTable& table)
      : m_settings(settings), m_table(table) {}

  // Repeats the selection after the members changed.
  void Update();
  // Replaces the default selection of followed agents.
  void Follow(std::vector<std::string> instances);
  // Handles a direct heartbeat. One from a process that isn't a neighbour
  // requests the heartbeats of this process and makes the sender a follower.
  void OnDirectHeartbeat(kernel::Time now, std::string_view instance);

  const std::set<std::string>& Neighbours() const { return m_neighbours; }
  const std::set<std::string>& Followed() const { return m_followed; }
  // Removes the followers without a recent heartbeat and returns the others.
  std::vector<std::string> Followers(kernel::Time now);
  // Returns whether this process is one of those that watch the instance list.
  bool IsListWatcher() const { return m_is_list_watcher; }

 private:
  std::set<std::string> SelectDefaultFollowed() const;

  const MembershipSettings& m_settings;
  const MemberTable& m_table;
  std::set<std::string> m_neighbours;
  std::set<std::string> m_followed;
  std::map<std::string, kernel::Time, std::less<>> m_followers;
  bool m_has_explicit_followed = false;
  bool m_is_list_watcher = false;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_HEARTBEAT_TARGETS_H_
