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
  // Failures without a success between them that eject an endpoint.
  std::uint32_t failures_in_a_row = 3;
  // Share of failures in recent attempts that ejects an endpoint.
  double failure_share = 0.6;
  // Time of the first ejection; each further one takes twice as long.
  kernel::Duration first_time = std::chrono::seconds(2);
  kernel::Duration longest_time = std::chrono::seconds(60);
  // An endpoint without failures for this long starts at `first_time` again.
  kernel::Duration forget_after = std::chrono::minutes(5);
  // Largest share of the endpoints that is ejected at once, rounded down.
  double maximum_share = 0.5;
};

// Takes failing endpoints out of the choice for a growing time and lets one
// call at a time through afterwards, until one succeeds.
class Ejection {
 public:
  explicit Ejection(EjectionSettings settings) : m_settings(settings) {}

  void Add(Slot slot);
  void Remove(Slot slot);

  void OnSent(kernel::Time now, Slot slot);
  void OnSucceeded(kernel::Time now, Slot slot);
  void OnFailed(kernel::Time now, Slot slot, kernel::Random& random);
  // The attempt ended without saying anything about the endpoint.
  void OnUndecided(Slot slot);

  // Whether a call may go there: not ejected, or the probe that is due.
  bool Admits(kernel::Time now, Slot slot) const;
  bool IsEjected(Slot slot) const { return m_states[slot].ejected; }
  // When a probe of an ejected endpoint becomes due.
  kernel::Time EjectedUntil(Slot slot) const { return m_states[slot].until; }
  // Smoothed share of failures in recent attempts, in [0, 1].
  double FailureShare(Slot slot) const { return m_states[slot].failure_share; }

 private:
  struct State {
    bool present = false;
    bool ejected = false;
    bool probe_on_its_way = false;
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t results = 0;  // Counted up to what is needed to judge.
    std::uint32_t times = 0;    // Ejections so far, for the time of the next.
    double failure_share = 0;
    kernel::Time until{};
    kernel::Time last_failure{};
  };

  bool ShouldEject(const State& state) const;
  bool MayEjectOneMore() const;
  void Eject(kernel::Time now, State& state, kernel::Random& random);

  EjectionSettings m_settings;
  std::vector<State> m_states;  // By slot.
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_EJECTION_H_
