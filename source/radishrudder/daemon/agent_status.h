#ifndef RADISHRUDDER_DAEMON_AGENT_STATUS_H_
#define RADISHRUDDER_DAEMON_AGENT_STATUS_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "radishrudder/membership/membership.h"
#include "radishrudder/weights/transfer.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::daemon {

// What an agent shows its operators.
struct AgentStatus {
  wire::ProcessKey self;
  std::string service;
  std::string data_centre;
  std::uint64_t document_revision = 0;
  std::uint64_t ready_revision = 0;
  std::string running_digest;
  bool gate_open = false;
  bool draining = false;
  std::string wanted_digest;
  weights::TransferProgress progress;
  std::string waiting_for;
  membership::Load load;
};

nlohmann::json ToJson(const AgentStatus& status);

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_AGENT_STATUS_H_
