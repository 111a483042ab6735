#ifndef RADISHRUDDER_ROUTING_EJECTION_H_
#define RADISHRUDDER_ROUTING_EJECTION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

struct EjectionSettings {
  // Consecutive failures after which an endpoint is ejected.
  std::uint32_t consecutive_failure_threshold = 3;
  // Smoothed failure rate, in [0, 1], at which an endpoint is ejected.
  double failure_rate_threshold = 0.6;
  // Duration of the first ejection; it doubles with each further one, up to
  // `maximum_duration`.
  kernel::Duration initial_duration = std::chrono::seconds(2);
  kernel::Duration maximum_duration = std::chrono::seconds(60);
  // The first failure after a longer time without any resets the ejection
  // duration to `initial_duration`.
  kernel::Duration reset_after = std::chrono::minutes(5);
  // Fraction of the endpoints that may be ejected at the same time. The
  // resulting number of endpoints is rounded down.
  double maximum_ejected_fraction = 0.5;
};

// Excludes failing endpoints from routing for an exponentially growing time.
// After that time it admits one call at a time as a probe, until a probe
// succeeds.
class Ejection {
 public:
  explicit Ejection(EjectionSettings settings) : m_settings(settings) {}

  void Add(Slot slot);
  void Remove(Slot slot);

  void OnSent(kernel::Time now, Slot slot);
  void OnSucceeded(kernel::Time now, Slot slot);
  void OnFailed(kernel::Time now, Slot slot, kernel::Random& random);
  // The attempt ended without a result that tells whether the endpoint works.
  void OnInconclusive(Slot slot);

  // Returns whether a call may be sent to the endpoint: either it is not
  // ejected, or a probe is due and none is in flight.
  bool Admits(kernel::Time now, Slot slot) const;
  bool IsEjected(Slot slot) const { return m_states[slot].ejected; }
  // Returns when a probe of an ejected endpoint becomes due.
  kernel::Time EjectedUntil(Slot slot) const {
    return m_states[slot].ejected_until;
  }
  // Returns the exponentially smoothed failure rate of attempts, in [0, 1].
  double FailureRate(Slot slot) const { return m_states[slot].failure_rate; }

 private:
  struct State {
    bool present = false;
    bool ejected = false;
    bool probe_in_flight = false;
    std::uint32_t consecutive_failures = 0;
    // Number of results. It stops growing at the number from which the failure
    // rate can eject the endpoint.
    std::uint32_t result_count = 0;
    // Ejections since the last reset; sets the duration of the next one.
    std::uint32_t ejection_count = 0;
    double failure_rate = 0;
    kernel::Time ejected_until{};
    kernel::Time last_failure{};
  };

  bool ShouldEject(const State& state) const;
  bool CanEjectAnother() const;
  void Eject(kernel::Time now, State& state, kernel::Random& random);

  EjectionSettings m_settings;
  std::vector<State> m_states;  // By slot.
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_EJECTION_H_
