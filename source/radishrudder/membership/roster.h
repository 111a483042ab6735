#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_ROSTER_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_ROSTER_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "member_table.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::membership {

// To whom this process sends its heartbeats: its neighbours in the gossip
// graph, the agents that it follows, and the entries that follow it.
class Roster {
 public:
  Roster(const MembershipSettings& settings, const MemberTable& table)
      : m_settings(settings), m_table(table) {}

  // Chooses anew after the members changed.
  void Update();
  void Follow(std::vector<std::string> instances);
  // A process that is no neighbour sent its heartbeat: it wants ours.
  void OnFollower(kernel::Time now, std::string_view instance);

  const std::set<std::string>& Neighbours() const { return m_neighbours; }
  const std::set<std::string>& Followed() const { return m_followed; }
  // Returns the followers heard from lately.
  std::vector<std::string> Followers(kernel::Time now);
  // Returns whether this process is one of those that watch the list.
  bool IsListWatcher() const { return m_is_list_watcher; }

 private:
  std::set<std::string> DefaultFollowed() const;

  const MembershipSettings& m_settings;
  const MemberTable& m_table;
  std::set<std::string> m_neighbours;
  std::set<std::string> m_followed;
  std::map<std::string, kernel::Time, std::less<>> m_followers;
  bool m_chosen_by_caller = false;
  bool m_is_list_watcher = false;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_ROSTER_H_
