#include "radishrudder/daemon/agent_status.h"

#include <nlohmann/json.hpp>

namespace radishrudder::daemon {

nlohmann::json ToJson(const AgentStatus& status) {
  nlohmann::json weights{{"manifest_digest", status.wanted_digest},
                         {"chunks_present", status.progress.chunks_present},
                         {"chunks_total", status.progress.chunks_total},
                         {"origin_bytes", status.progress.origin_bytes},
                         {"peer_bytes", status.progress.peer_bytes},
                         {"complete", status.progress.complete}};
  return {{"instance", status.self.instance},
          // A text, since 64 bits do not fit the numbers of many readers.
          {"incarnation", std::to_string(status.self.incarnation)},
          {"service", status.service},
          {"data_centre", status.data_centre},
          {"document_revision", status.document_revision},
          {"ready_revision", status.ready_revision},
          {"running_digest", status.running_digest},
          {"gate", status.gate_open ? "open" : "closed"},
          {"weights", std::move(weights)},
          {"waiting_for", status.waiting_for},
          {"calls_in_progress", status.load.running},
          {"calls_waiting", status.load.waiting},
          {"draining", status.draining}};
}

}  // namespace radishrudder::daemon
