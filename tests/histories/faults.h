#ifndef TESTS_HISTORIES_FAULTS_H_
#define TESTS_HISTORIES_FAULTS_H_

#include <cstdint>

#include "radishrudder/kernel/random.h"

namespace radishrudder::histories {

// Kinds, probabilities and numbers of the faults injected into one history.
struct Faults {
  std::uint64_t seed = 0;
  bool only_planned_stops = false;
  // Only for a broken variant that the checks must detect.
  bool same_incarnation_after_restart = false;
  // Probabilities per message.
  double loss = 0;
  double duplication = 0;
  double moderate_delay = 0;  // Delays of up to 0.7 s, which reorder messages.
  double long_delay = 0;      // Delays of up to 15 minutes.
  // Probabilities per step of an answer and per call.
  double endpoint_failure = 0;
  double caller_disconnect = 0;
  // Number of occurrences.
  int restarts = 0;  // Of agents.
  int entry_restarts = 0;
  int pauses = 0;
  int partitions = 0;
  int departures = 0;
  int entry_departures = 0;
  int reloads = 0;
};

// Draws random faults; each kind occurs in about half of the histories.
inline Faults DrawFaults(std::uint64_t seed) {
  kernel::Random random(seed * 2 + 1);
  const auto probability = [&](double maximum) {
    return random.Chance(0.5) ? random.Uniform() * maximum : 0;
  };
  const auto count = [&](std::uint64_t maximum) {
    return random.Chance(0.5) ? static_cast<int>(random.Below(maximum + 1)) : 0;
  };
  return {.seed = seed,
          .loss = probability(0.1),
          .duplication = probability(0.3),
          .moderate_delay = probability(0.5),
          .long_delay = probability(0.1),
          .endpoint_failure = probability(0.1),
          .caller_disconnect = probability(0.2),
          .restarts = count(5),
          .entry_restarts = count(3),
          .pauses = count(4),
          .partitions = count(8),
          .departures = count(3),
          .entry_departures = count(2),
          .reloads = count(4)};
}

// Draws only planned stops, duplication and reordering, which must not
// interrupt any call.
inline Faults DrawPlannedStops(std::uint64_t seed) {
  kernel::Random random(seed * 2 + 1);
  return {.seed = seed,
          .only_planned_stops = true,
          .duplication = random.Uniform() * 0.2,
          .moderate_delay = random.Uniform() * 0.2,
          .departures = static_cast<int>(random.Below(4)),
          .entry_departures = static_cast<int>(random.Below(3)),
          .reloads = static_cast<int>(random.Below(4))};
}

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_FAULTS_H_
