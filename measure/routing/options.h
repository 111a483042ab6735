#ifndef RADISHRUDDER_MEASURE_ROUTING_OPTIONS_H_
#define RADISHRUDDER_MEASURE_ROUTING_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::measure {

// Options of `measure_routing`.
struct Options {
  std::uint64_t seed = 1;
  std::uint32_t endpoints = 16;
  std::uint32_t entries = 4;
  std::uint32_t lag_ms = 250;
  std::uint32_t workspaces = 10;
  double gap_percent = 5;
  // Calls whose prompt prefix other calls share.
  double shared_percent = 100;
  // Mean rate over what the engines do with half of the prefixes cached.
  double load_factor = 0.8;
  double seconds = 300;  // Virtual time that is measured.
  // Engines with the figures published in docs/design/limited-capacity.md and
  // no prefix cache. The options below need them.
  bool published_engine = false;
  // Standard deviation of the natural logarithm of the ratio of the answer's
  // length to the caller's estimate.
  double output_spread = 0.7;
  std::uint32_t deadline_ms = 6'000;  // Calls are cut after it.
  // Endpoints that are slow by `pace_factor`, drawn again every `pace_ms`.
  double slow_percent = 0;
  double pace_factor = 2.5;
  std::uint32_t pace_ms = 600;
  bool router_state = true;  // Measure the state of a large router as well.
  // Empty: all registered ones. "least-predicted-wait:exact" knows the length
  // of each answer.
  std::vector<std::string> policies;
};

inline constexpr std::string_view kExactSuffix = ":exact";

// Returns the registered name of a policy in `Options::policies`.
std::string_view RegisteredName(std::string_view policy);

// Parses the command line. Prints what is wrong, or the help, to standard
// error and returns nothing if the program should not go on.
std::optional<Options> ParseOptions(int argc, char** argv);

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_OPTIONS_H_
