#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/membership/membership.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::membership {

// What one heartbeat changed.
enum class Change {
  kNone,
  kHeard,  // Only the sequence, the time or the load is new.
  kFacts,  // The state, the run, the version or the readiness is new.
  kStale,  // It was older than what is known.
};

// A member with what orders the news of it.
struct Record {
  Member member;
  std::uint64_t sequence = 0;
  kernel::Time heard_directly{};
  kernel::Time suspected_at{};
  kernel::Time delisted_at{};
  bool listed = false;
  bool was_listed = false;
};

// All members known, by name. News of a member is ordered by incarnation, then
// by sequence, then by the severity of the state.
class MemberTable {
 public:
  // Takes the platform's list; returns the names that changed.
  std::vector<std::string> ApplyList(kernel::Time now,
                                     std::vector<ListedInstance> instances,
                                     std::string_view self);
  // Takes a heartbeat. `is_direct`: it came from the member itself.
  Change Apply(kernel::Time now,
               const wire::Heartbeat& heartbeat,
               bool is_direct);
  // Forgets members that the list dropped, or never named, long ago. Returns
  // the names forgotten.
  std::vector<std::string> Forget(kernel::Time now, kernel::Duration after);

  Record* Find(std::string_view instance);
  const Record* Find(std::string_view instance) const;
  std::map<std::string, Record, std::less<>>& Records() { return m_records; }
  const std::map<std::string, Record, std::less<>>& Records() const {
    return m_records;
  }

 private:
  // Takes a heartbeat with the load alone. It leaves the sequence as it is, so
  // that old facts are never told under a newer sequence.
  Change ApplyShort(kernel::Time now, const wire::Heartbeat& heartbeat);
  void ApplyListed(ListedInstance listed, std::vector<std::string>& changed);

  std::map<std::string, Record, std::less<>> m_records;
};

// Describes a member to others. `with_place` adds where it is and whom it
// serves, for those whose list does not have it yet.
wire::Heartbeat Describe(const Record& record, bool with_place);

wire::InstanceState ToWire(State state);

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
