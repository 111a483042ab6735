#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_GOSSIP_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_GOSSIP_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "member_table.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::membership {

// Queues the members whose status changed until the change is sent to the
// neighbours, and iterates over all members in round-robin order, which repairs
// lost updates.
class MemberGossip {
 public:
  // Queues an update of a member that was received from `source` (empty:
  // detected by this process).
  void Add(kernel::Time now,
           std::string_view instance,
           std::string_view source);
  bool IsEmpty() const { return m_pending_updates.empty(); }
  // Returns when the queued updates must be sent; `Time::max()` if there are
  // none.
  kernel::Time NextSend() const { return m_next_send; }
  void Clear();

  // Adds to `batch` the queued updates, except those that came from `receiver`
  // or describe it. Suspicions are always added, so that the suspected member
  // can refute them.
  void AppendUpdates(const MemberTable& table,
                     std::string_view receiver,
                     wire::HeartbeatBatch& batch) const;
  // Adds the next `count` members in round-robin order to `batch`, skipping
  // those without a heartbeat.
  void AppendRoundRobin(const MemberTable& table,
                        std::size_t count,
                        wire::HeartbeatBatch& batch);

 private:
  // Maps queued instances to the sources of their updates.
  std::map<std::string, std::string, std::less<>> m_pending_updates;
  kernel::Time m_next_send = kernel::Time::max();
  std::string m_round_robin_position;  // Instance visited last.
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_MEMBER_GOSSIP_H_
