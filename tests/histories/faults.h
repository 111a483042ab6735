#ifndef TESTS_HISTORIES_FAULTS_H_
#define TESTS_HISTORIES_FAULTS_H_

#include <cstdint>

#include "radishrudder/kernel/random.h"

namespace radishrudder::histories {

// How much of which fault happens in one history.
struct Faults {
  std::uint64_t seed = 0;
  bool only_planned_stops = false;
  // For a variant that must be caught.
  bool same_incarnation_after_restart = false;
  // Probabilities for each message.
  double loss = 0;
  double duplication = 0;
  double slow = 0;       // Up to 0.7 s, which reorders.
  double very_late = 0;  // Up to 15 minutes.
  // Probabilities for each step of an answer and each call.
  double endpoint_failure = 0;
  double caller_leaves = 0;
  // Number of times.
  int restarts = 0;
  int entry_restarts = 0;
  int pauses = 0;
  int partitions = 0;
  int departures = 0;
  int entry_departures = 0;
  int reloads = 0;
};

// Draws faults of every kind, several at once.
inline Faults DrawFaults(std::uint64_t seed) {
  kernel::Random random(seed * 2 + 1);
  const auto some = [&](double most) {
    return random.Chance(0.5) ? random.Uniform() * most : 0;
  };
  const auto times = [&](std::uint64_t most) {
    return random.Chance(0.5) ? static_cast<int>(random.Below(most + 1)) : 0;
  };
  return {.seed = seed,
          .loss = some(0.1),
          .duplication = some(0.3),
          .slow = some(0.5),
          .very_late = some(0.1),
          .endpoint_failure = some(0.1),
          .caller_leaves = some(0.2),
          .restarts = times(5),
          .entry_restarts = times(3),
          .pauses = times(4),
          .partitions = times(8),
          .departures = times(3),
          .entry_departures = times(2),
          .reloads = times(4)};
}

// Draws planned stops and reordering only, which must interrupt nothing.
inline Faults DrawPlannedStops(std::uint64_t seed) {
  kernel::Random random(seed * 2 + 1);
  return {.seed = seed,
          .only_planned_stops = true,
          .duplication = random.Uniform() * 0.2,
          .slow = random.Uniform() * 0.2,
          .departures = static_cast<int>(random.Below(4)),
          .entry_departures = static_cast<int>(random.Below(3)),
          .reloads = static_cast<int>(random.Below(4))};
}

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_FAULTS_H_
