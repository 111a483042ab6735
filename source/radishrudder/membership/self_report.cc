#include "self_report.h"

#include <algorithm>
#include <utility>

namespace radishrudder::membership {
namespace {

// Number of full heartbeats after a change, so that losing one does not delay
// the change.
constexpr std::uint32_t kFullHeartbeatsAfterChange = 3;
constexpr std::uint64_t kHeartbeatsPerFullHeartbeat = 10;

}  // namespace

SelfReport::SelfReport(LocalMember self)
    : m_self(std::move(self)),
      m_full_heartbeats_left(kFullHeartbeatsAfterChange) {}

void SelfReport::SetLeaving() {
  m_leaving = true;
  m_has_unsent_changes = true;
}

void SelfReport::SetReady(std::string running_digest,
                          std::uint64_t revision,
                          std::uint64_t accepted_revision) {
  if (running_digest == m_running_digest && revision == m_ready_revision &&
      accepted_revision == m_accepted_revision) {
    return;
  }
  m_running_digest = std::move(running_digest);
  m_ready_revision = revision;
  m_accepted_revision = accepted_revision;
  m_has_unsent_changes = true;
}

void SelfReport::Refute(std::uint64_t sequence) {
  m_sequence = std::max(m_sequence, sequence);
  m_has_unsent_changes = true;
}

void SelfReport::Advance() {
  ++m_sequence;
  if (m_has_unsent_changes) {
    m_full_heartbeats_left = kFullHeartbeatsAfterChange;
    m_has_unsent_changes = false;
  } else if (m_full_heartbeats_left != 0) {
    --m_full_heartbeats_left;
  }
}

wire::Heartbeat SelfReport::MakeStatus() const {
  wire::Heartbeat heartbeat = MakeLoadOnly();
  heartbeat.set_role(m_self.listed.role == Role::kEntry ? "entry" : "agent");
  heartbeat.set_running_digest(m_running_digest);
  heartbeat.set_ready_revision(m_ready_revision);
  heartbeat.set_accepted_revision(m_accepted_revision);
  return heartbeat;
}

wire::Heartbeat SelfReport::MakeFull() const {
  const ListedInstance& listed = m_self.listed;
  wire::Heartbeat heartbeat = MakeStatus();
  heartbeat.set_service(listed.service);
  heartbeat.set_address(listed.address);
  heartbeat.set_data_centre(listed.data_centre);
  return heartbeat;
}

wire::Heartbeat SelfReport::MakePeriodic() const {
  const bool is_full = m_full_heartbeats_left != 0 ||
                       m_sequence % kHeartbeatsPerFullHeartbeat == 0;
  return is_full ? MakeFull() : MakeStatus();
}

wire::Heartbeat SelfReport::MakeLoadOnly() const {
  wire::Heartbeat heartbeat;
  heartbeat.set_sequence(m_sequence);
  heartbeat.set_state(m_leaving ? wire::INSTANCE_STATE_LEAVING
                                : wire::INSTANCE_STATE_LIVE);
  wire::EndpointLoad* load = heartbeat.mutable_load();
  load->set_running(m_load.running);
  load->set_waiting(m_load.waiting);
  load->set_capacity(m_load.capacity);
  return heartbeat;
}

}  // namespace radishrudder::membership
