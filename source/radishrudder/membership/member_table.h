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

// Effect of one heartbeat on the table.
enum class Change {
  kNone,
  // Only the sequence, the time or the load changed.
  kRefreshed,
  // The state, incarnation, running digest or a revision changed.
  kStatusChanged,
  // The heartbeat was older than the recorded one.
  kStale,
};

// A member with the data that orders the heartbeats about it.
struct Record {
  Member member;
  std::uint64_t sequence = 0;
  kernel::Time last_direct_heartbeat{};
  kernel::Time suspected_at{};
  kernel::Time delisted_at{};
  bool is_listed = false;   // Is in the platform's list.
  bool was_listed = false;  // Has been in the list at any time.
};

// Stores all known members by name. Heartbeats about a member are ordered by
// incarnation, then by sequence, then by the severity of the state.
class MemberTable {
 public:
  // Applies the platform's list and returns the names of changed members.
  std::vector<std::string> ApplyList(kernel::Time now,
                                     std::vector<ListedInstance> instances,
                                     std::string_view self);
  // Applies a heartbeat. `is_direct` states that the member itself sent it.
  Change Apply(kernel::Time now,
               const wire::Heartbeat& heartbeat,
               bool is_direct);
  // Removes members that are not in the list, once more than `after` has passed
  // since their last heartbeat and their removal from the list. Returns the
  // removed names.
  std::vector<std::string> RemoveExpired(kernel::Time now,
                                         kernel::Duration after);

  Record* Find(std::string_view instance);
  const Record* Find(std::string_view instance) const;
  std::map<std::string, Record, std::less<>>& Records() { return m_records; }
  const std::map<std::string, Record, std::less<>>& Records() const {
    return m_records;
  }

 private:
  // Applies a heartbeat that carries the load alone. Doesn't change the
  // sequence, so that old status is never reported with a newer sequence.
  Change ApplyLoadOnly(kernel::Time now, const wire::Heartbeat& heartbeat);
  void ApplyListed(ListedInstance listed, std::vector<std::string>& changed);

  std::map<std::string, Record, std::less<>> m_records;
};

// Returns a heartbeat that reports a member to other processes. `with_location`
// adds its address, data centre and service, for receivers whose list does not
// contain it yet.
wire::Heartbeat MakeHeartbeat(const Record& record, bool with_location);

wire::InstanceState ToWire(State state);

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
