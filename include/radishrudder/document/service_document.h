#ifndef RADISHRUDDER_DOCUMENT_SERVICE_DOCUMENT_H_
#define RADISHRUDDER_DOCUMENT_SERVICE_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/findings.h"

namespace radishrudder::document {

enum class ServiceKind { kModel, kPlain };

// The weights that a model service runs.
struct ModelSection {
  std::string name;
  std::string version;                // A label for people.
  std::string manifest_digest;        // "sha256:" and 64 hex digits.
  std::vector<std::string> adapters;  // Manifest digests of adapters.

  bool operator==(const ModelSection&) const = default;
};

struct WorkspaceSection {
  std::string name;
  double share = 1;  // Weight of its fair share.

  bool operator==(const WorkspaceSection&) const = default;
};

struct RouteSection {
  std::string method;  // Upper case, or "*".
  std::string prefix;  // Path prefix below the service.
  bool idempotent = false;

  bool operator==(const RouteSection&) const = default;
};

struct CallsSection {
  std::chrono::milliseconds timeout{60'000};
  std::uint32_t maximum_queue = 64;        // Waiting calls for each entry.
  std::uint32_t endpoint_concurrency = 8;  // Calls in progress an endpoint.
  double retry_budget = 0.1;               // Retries over calls.
  double hedge_budget = 0;                 // Hedges over calls, a part of it.
  std::string routing_policy = "least-loaded-of-two";
  std::vector<RouteSection> routes;

  bool operator==(const CallsSection&) const = default;
};

struct RolloutSection {
  double ready_floor = 0.75;  // Share of instances that stays ready.
  std::uint32_t pace = 0;     // Instances that change at once; 0: by floor.

  bool operator==(const RolloutSection&) const = default;
};

struct TransferSection {
  // 0 prefers few bytes from the origin, 1 prefers speed.
  double speed = 0.5;

  bool operator==(const TransferSection&) const = default;
};

// What a team publishes for its service.
struct ServiceDocument {
  std::string service;
  ServiceKind kind = ServiceKind::kModel;
  std::optional<ModelSection> model;  // Set for model services.
  std::vector<WorkspaceSection> workspaces;
  CallsSection calls;
  RolloutSection rollout;
  TransferSection transfer;

  bool operator==(const ServiceDocument&) const = default;
};

// Parses a document strictly and collects all findings with line, column and
// JSON pointer. `source` names the text in findings. Returns nothing if there
// are errors.
std::optional<ServiceDocument> Parse(std::string_view source,
                                     std::string_view text,
                                     kernel::Findings& findings);

}  // namespace radishrudder::document

#endif  // RADISHRUDDER_DOCUMENT_SERVICE_DOCUMENT_H_
