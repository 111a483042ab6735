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

// Watches the members whose heartbeats come directly. Silence makes a member
// suspected; a suspicion that nobody refutes makes it dead.
class FailureDetector {
 public:
  FailureDetector(MemberTable& table,
                  kernel::Duration suspect_after,
                  kernel::Duration dead_after)
      : m_table(table),
        m_suspect_after(suspect_after),
        m_dead_after(dead_after) {}

  // `followed` send half as often as `neighbours` and get twice the time.
  void Watch(kernel::Time now,
             const std::set<std::string>& neighbours,
             const std::set<std::string>& followed);
  // Tells that a member became suspected, here or elsewhere.
  void OnSuspected(std::string_view instance);
  // Returns the members whose state changed for their silence. After a pause
  // of this process nobody is blamed for what it did not hear.
  std::vector<std::string> Check(kernel::Time now);

 private:
  struct Watched {
    kernel::Time since{};
    kernel::Duration patience{};
  };

  bool IsSilent(kernel::Time now,
                const Record& record,
                const Watched& watched) const;
  void Suspect(kernel::Time now, std::vector<std::string>& changed);
  void Bury(kernel::Time now, std::vector<std::string>& changed);

  MemberTable& m_table;
  kernel::Duration m_suspect_after;
  kernel::Duration m_dead_after;
  void WatchOne(kernel::Time now,
                const std::string& member,
                kernel::Duration patience,
                std::map<std::string, Watched, std::less<>>& watched) const;

  std::map<std::string, Watched, std::less<>> m_watched;
  std::set<std::string, std::less<>> m_suspected;
  kernel::Time m_last_check{};
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_FAILURE_DETECTOR_H_
