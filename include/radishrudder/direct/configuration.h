#ifndef RADISHRUDDER_DIRECT_CONFIGURATION_H_
#define RADISHRUDDER_DIRECT_CONFIGURATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::direct {

// Which calls of a route may be executed more than once.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,  // Executed at most once.
  kStream,  // A series of events; executed at most once unless resumable.
};

struct WeightedService {
  std::string service{};
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// How the calls of one host and path prefix are treated.
struct RouteRule {
  std::string name{};
  std::string host{};
  std::string prefix{};  // Starts and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  bool key_exempt = false;  // Calls need no workspace key.
  std::uint32_t maximum_attempts = 1;
  std::uint32_t priority = 0;                     // 0 is the highest.
  std::chrono::milliseconds timeout{0};           // 0: none.
  std::chrono::milliseconds latency_target{0};    // 0: none.
  std::chrono::milliseconds event_gap_target{0};  // Between events; 0: none.
  std::vector<WeightedService> services{};        // At least one.
  // Regions whose endpoints may take the calls; empty: all.
  std::vector<std::string> allowed_regions{};
  // False: only the host and the prefix are known, so its calls are rejected.
  bool readable = true;

  // Whether a call may be retried after an attempt that may have been executed.
  bool IsRepeatable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

// Performance model of an inference engine, as the operator publishes it.
struct EngineRule {
  std::uint32_t slots = 0;  // Maximum calls in one batch.
  double step_ms = 0;  // Time to generate one token for every running call.
  double step_ms_per_call = 0;  // Added to a step for each running call.
  // Added to a step for each 1,000 tokens of context.
  double step_ms_per_1k_context = 0;
  double prompt_tokens_per_s = 0;
  // Added for each million pairs of a prompt token and an earlier one.
  double prompt_ms_per_million_pairs = 0;
  std::uint32_t prompt_tokens_per_step = 0;  // At most; 0: not stated.
  std::uint32_t tokens_per_event =
      1;  // Generated in one pass, sent as one event.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  std::chrono::milliseconds report_lag{0};
  std::uint32_t chunks = 0;  // Number of chunks of a version's weights.
  std::uint32_t chunk_bytes = 0;
  std::string model{};  // Name of the model that the engine runs.
};

struct ServiceRule {
  std::string name{};
  std::optional<EngineRule> engine{};
  std::uint32_t maximum_connections = 0;  // 0: not stated.
  // Address of the origin server of weights; a service with an origin takes no
  // calls.
  std::string origin{};
  double origin_bytes_per_second = 0;
  std::string origin_data_centre{};
  // An endpoint is cold for this long after its start, and takes this many
  // requests a second, from all entries together, while it is cold. 0:
  // endpoints are never cold.
  std::chrono::milliseconds cold_start{0};
  double cold_requests_per_second = 0;
};

struct WorkspaceRule {
  std::string name{};
  std::vector<std::string> keys{};
  std::optional<std::uint32_t> priority{};  // Overrides the route's priority.
  // Regions whose endpoints may take the calls; empty: all.
  std::vector<std::string> allowed_regions{};
};

struct CallerLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = 4194304;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the configuration that the operator publishes to all entries.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes{};
  std::vector<ServiceRule> services{};
  std::vector<WorkspaceRule> workspaces{};
  // Whether workspaces are defined, even if none of them is left or readable.
  bool defines_workspaces = false;
  CallerLimits caller_limits{};

  // Whether calls need the key of a workspace, unless their route is exempt.
  bool RequiresKeys() const {
    return defines_workspaces || !workspaces.empty();
  }
};

// Returns a Host header in lower case and without its port.
std::string NormalizeHost(std::string_view host);

// The configuration in force, indexed for lookups. A configuration whose
// version is not newer than the one in force is rejected.
class ConfigurationTable {
 public:
  // Returns whether the configuration was accepted and is now in force.
  bool Apply(Configuration configuration);
  bool HasConfiguration() const { return m_has_configuration; }
  const Configuration& Current() const { return m_configuration; }

  // Returns the route of that host with the longest prefix of `path`, or null.
  // Of two with the same prefix, one that is not readable comes first.
  // `host` is the Host header as received: case and port are ignored.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;
  // Returns the workspace that owns a key, or null. Nobody owns an empty key.
  const WorkspaceRule* FindWorkspace(std::string_view key) const;
  const WorkspaceRule* FindWorkspaceByName(std::string_view name) const;
  const ServiceRule* FindService(std::string_view name) const;
  // Whether a route or a workspace allows only some regions.
  bool LimitsRegions() const;
  bool RequiresKeys() const { return m_configuration.RequiresKeys(); }

 private:
  bool m_has_configuration = false;
  Configuration m_configuration;
  // Indices of the routes of a host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_by_host;
  std::map<std::string, std::size_t, std::less<>> m_by_key;
  std::map<std::string, std::size_t, std::less<>> m_by_service;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CONFIGURATION_H_
