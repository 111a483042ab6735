#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_FAILURE_DETECTOR_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "member_table.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::membership {

// Monitors the members that send heartbeats directly to this process. A member
// without a heartbeat within its timeout becomes suspected; a suspected member
// whose suspicion is not refuted in time becomes dead.
class FailureDetector {
 public:
  FailureDetector(MemberTable& table,
                  kernel::Duration suspect_after,
                  kernel::Duration dead_after)
      : m_table(table),
        m_suspect_after(suspect_after),
        m_dead_after(dead_after) {}

  // Replaces the monitored members. `followed` members send heartbeats half as
  // often as `neighbours` and get twice the timeout.
  void SetMonitored(kernel::Time now,
                    const std::set<std::string>& neighbours,
                    const std::set<std::string>& followed);
  // Records that a peer reported a member as suspected.
  void OnSuspected(std::string_view instance);
  // Marks unresponsive members and returns those whose state changed. After a
  // pause of this process, the timeouts start again, because it may not have
  // received heartbeats during the pause.
  std::vector<std::string> MarkUnresponsive(kernel::Time now);

 private:
  struct Monitored {
    // Start of the monitoring, or end of the last pause of this process.
    kernel::Time since{};
    kernel::Duration timeout{};
  };

  bool IsUnresponsive(kernel::Time now,
                      const Record& record,
                      const Monitored& monitored) const;
  void MarkSuspected(kernel::Time now, std::vector<std::string>& changed);
  void MarkDead(kernel::Time now, std::vector<std::string>& changed);

  MemberTable& m_table;
  kernel::Duration m_suspect_after;
  kernel::Duration m_dead_after;
  void AddMonitored(
      kernel::Time now,
      const std::string& member,
      kernel::Duration timeout,
      std::map<std::string, Monitored, std::less<>>& monitored) const;

  std::map<std::string, Monitored, std::less<>> m_monitored;
  std::set<std::string, std::less<>> m_suspected;
  kernel::Time m_last_check{};
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_FAILURE_DETECTOR_H_
