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

// What may be repeated on a route.
enum class RouteKind {
  kIdempotent,
  kOnce,    // Runs at most once.
  kStream,  // A series of events; runs at most once unless resumable.
};

struct WeightedService {
  std::string service{};
  std::uint32_t weight = 1;
};

// How the calls of one host and path prefix are treated.
struct RouteRule {
  std::string name{};
  std::string host{};
  std::string prefix{};  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kOnce;
  bool resumable = false;
  bool without_key = false;  // No workspace key is asked for.
  std::uint32_t maximum_attempts = 1;
  std::uint32_t priority = 0;                   // 0 is the most urgent.
  std::chrono::milliseconds timeout{0};         // 0: none.
  std::chrono::milliseconds latency_target{0};  // 0: none.
  std::chrono::milliseconds pause_target{0};    // Between events; 0: none.
  std::vector<WeightedService> services{};      // At least one.

  // Whether a call may run again after an attempt that may have run.
  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

// Time model of a model engine, as the operator publishes it.
struct EngineRule {
  std::uint32_t slots = 0;            // Calls in one batch.
  double step_ms = 0;                 // One token for every running call.
  double step_ms_per_call = 0;        // Added for each running call.
  double step_ms_per_1k_context = 0;  // Added for each 1,000 tokens held.
  double prompt_tokens_per_s = 0;
  std::uint32_t steps_a_pass = 1;  // Tokens that one event holds.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  std::chrono::milliseconds report_lag{0};
  std::uint32_t chunks = 0;  // Pieces of a version's weights.
  std::uint32_t chunk_bytes = 0;
  std::string model{};  // Name of the model that it runs.
};

struct ServiceRule {
  std::string name{};
  std::optional<EngineRule> engine{};
  std::uint32_t maximum_connections = 0;  // 0: not stated.
  // Address of the server of weights; such a service takes no calls.
  std::string origin{};
  double origin_bytes_per_second = 0;
  std::string origin_data_centre{};
};

struct WorkspaceRule {
  std::string name{};
  std::vector<std::string> keys{};
  std::optional<std::uint32_t> priority{};  // Goes before the route's.
};

struct CallerBounds {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = 4194304;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of what the operator publishes for all entries.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes{};
  std::vector<ServiceRule> services{};
  std::vector<WorkspaceRule> workspaces{};
  CallerBounds bounds{};
};

// A configuration with its tables for lookups. Never goes back: an older
// version than the one in force is refused.
class ConfigurationTable {
 public:
  // Returns whether the configuration is in force now.
  bool Apply(Configuration configuration);
  bool HasConfiguration() const { return m_known; }
  const Configuration& Current() const { return m_configuration; }

  // Returns the route of that host with the longest prefix of `path`, or null.
  // `host` is as a caller sends it: case and a port do not matter.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;
  // Returns the workspace that holds a key, or null.
  const WorkspaceRule* FindWorkspace(std::string_view key) const;
  const ServiceRule* FindService(std::string_view name) const;
  bool AsksForKeys() const { return !m_configuration.workspaces.empty(); }

 private:
  bool m_known = false;
  Configuration m_configuration;
  // Indices of the routes of a host, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_by_host;
  std::map<std::string, std::size_t, std::less<>> m_by_key;
  std::map<std::string, std::size_t, std::less<>> m_by_service;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CONFIGURATION_H_
