#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_SELF_REPORT_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_SELF_REPORT_H_

#include <string>

#include "radishrudder/membership/membership.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::membership {

// What this process says of itself.
class SelfReport {
 public:
  explicit SelfReport(Self self);

  void SetLeaving();
  void SetReady(std::string running_digest,
                std::uint64_t revision,
                std::uint64_t accepted_revision);
  void SetLoad(Load load) { m_load = load; }
  // Somebody suspects this process as of `sequence`: the next heartbeat must
  // be newer.
  void Refute(std::uint64_t sequence);

  // Begins a new heartbeat.
  void Advance();
  bool IsLeaving() const { return m_leaving; }
  // True when facts changed that no heartbeat has carried yet.
  bool HasNews() const { return m_has_news; }
  // Heartbeats of this process name no process: it is the sender.
  wire::Heartbeat Full() const;
  // Returns all facts, but where this process is only now and then.
  wire::Heartbeat Periodic() const;
  // Returns the load alone, for those who follow this process.
  wire::Heartbeat Short() const;

 private:
  wire::Heartbeat Facts() const;

  Self m_self;
  std::string m_running_digest;
  std::uint64_t m_ready_revision = 0;
  std::uint64_t m_accepted_revision = 0;
  std::uint64_t m_sequence = 0;
  std::uint32_t m_full_left;
  Load m_load;
  bool m_leaving = false;
  bool m_has_news = true;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_SELF_REPORT_H_
