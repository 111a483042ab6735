#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_SELF_REPORT_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_SELF_REPORT_H_

#include <string>

#include "radishrudder/membership/membership.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::membership {

// Builds the heartbeats that describe this process. They contain no process
// key, because the envelope of the message names the sender.
class SelfReport {
 public:
  explicit SelfReport(LocalMember self);

  void SetLeaving();
  void SetReady(std::string running_digest,
                std::uint64_t revision,
                std::uint64_t accepted_revision);
  void SetLoad(Load load) { m_load = load; }
  // Overrides a wrong state that a peer reported about this process with
  // `sequence`: the next heartbeat gets a higher sequence.
  void Refute(std::uint64_t sequence);

  // Increments the sequence for a new heartbeat.
  void Advance();
  bool IsLeaving() const { return m_leaving; }
  // Returns whether the status changed since the last heartbeat.
  bool HasUnsentChanges() const { return m_has_unsent_changes; }
  // Returns the status, the load and the location.
  wire::Heartbeat MakeFull() const;
  // Returns the status and the load; after a change, and regularly, also the
  // location.
  wire::Heartbeat MakePeriodic() const;
  // Returns the state and the load alone, for followers and followed agents.
  wire::Heartbeat MakeLoadOnly() const;

 private:
  wire::Heartbeat MakeStatus() const;

  LocalMember m_self;
  std::string m_running_digest;
  std::uint64_t m_ready_revision = 0;
  std::uint64_t m_accepted_revision = 0;
  std::uint64_t m_sequence = 0;
  std::uint32_t m_full_heartbeats_left;
  Load m_load;
  bool m_leaving = false;
  bool m_has_unsent_changes = true;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_SELF_REPORT_H_
