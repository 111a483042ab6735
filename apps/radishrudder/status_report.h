#ifndef RADISHRUDDER_APPS_RADISHRUDDER_STATUS_REPORT_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_STATUS_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishrudder::command_line {

// What an agent says of itself.
struct AgentStatus {
  std::string instance;
  std::string service;
  std::string data_centre;
  std::uint64_t document_revision = 0;  // In force; 0: none.
  std::uint64_t ready_revision = 0;     // The newest it is ready on.
  std::string running_digest;
  std::string gate;  // "open" or "closed".
  std::string manifest_digest;
  std::uint64_t chunks_present = 0;
  std::uint64_t chunks_total = 0;
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  bool weights_complete = false;
  std::string waiting_for;  // Where its rollout stands, in words.
  std::uint64_t calls_in_progress = 0;
  std::uint64_t calls_waiting = 0;
  bool draining = false;
};

struct DocumentInForce {
  std::string service;
  std::uint64_t revision = 0;
};

// An endpoint as an entry sees it.
struct EndpointView {
  std::string instance;
  std::string service;
  std::string state;
  std::string running_digest;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  std::uint64_t capacity = 0;
};

// What an entry says of itself.
struct EntryStatus {
  std::string instance;
  std::string data_centre;
  std::vector<DocumentInForce> documents;
  std::vector<EndpointView> endpoints;
  std::uint64_t calls_in_progress = 0;
  std::uint64_t calls_waiting = 0;
  bool draining = false;
};

// Why a process has no status to show.
struct NoStatus {
  std::string reason;
};

// The answer of one process.
struct ProcessStatus {
  std::string url;
  std::string json;  // As answered; empty without an answer.
  std::variant<NoStatus, AgentStatus, EntryStatus> status;
};

// Reads the JSON of /status. Members that are missing keep their defaults; a
// text that is of neither an agent nor an entry gives `NoStatus`.
ProcessStatus ParseStatus(std::string url, std::string_view json);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_STATUS_REPORT_H_
