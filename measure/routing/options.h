#ifndef RADISHRUDDER_MEASURE_ROUTING_OPTIONS_H_
#define RADISHRUDDER_MEASURE_ROUTING_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
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
  double seconds = 300;               // Virtual time that is measured.
  std::vector<std::string> policies;  // Empty: all registered ones.
};

// Parses the command line. Prints what is wrong, or the help, to standard
// error and returns nothing if the program should not go on.
std::optional<Options> ParseOptions(int argc, char** argv);

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_OPTIONS_H_
