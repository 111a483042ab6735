#include "radishrudder/routing/ejection.h"

#include <algorithm>

namespace radishrudder::routing {
namespace {

// Weight of the newest result in the failure rate.
constexpr double kNewestResultWeight = 0.1;
// Number of results from which the failure rate can eject an endpoint.
constexpr std::uint32_t kMinimumResultsForRate = 20;
constexpr std::uint32_t kMaximumDoublings = 16;
// An ejection is extended by a random part of up to this fraction, so that
// entries which eject an endpoint at the same time do not probe it at the same
// time.
constexpr double kMaximumJitterFraction = 0.5;

}  // namespace

void Ejection::Add(Slot slot) {
  if (slot >= m_states.size()) {
    m_states.resize(slot + 1);
  }
  m_states[slot] = State{.present = true};
}

void Ejection::Remove(Slot slot) {
  m_states[slot] = State();
}

void Ejection::OnSent(kernel::Time now, Slot slot) {
  if (m_states[slot].ejected) {
    m_states[slot].probe_in_flight = true;
  }
}

void Ejection::OnSucceeded(kernel::Time now, Slot slot) {
  State& state = m_states[slot];
  state.consecutive_failures = 0;
  state.result_count = std::min(state.result_count + 1, kMinimumResultsForRate);
  state.failure_rate *= 1 - kNewestResultWeight;
  // Only a probe ends the ejection, not a call sent before the ejection.
  if (state.ejected && state.probe_in_flight) {
    state = State{.present = true,
                  .ejection_count = state.ejection_count,
                  .last_failure = state.last_failure};
  }
}

void Ejection::OnFailed(kernel::Time now, Slot slot, kernel::Random& random) {
  State& state = m_states[slot];
  if (now - state.last_failure > m_settings.reset_after) {
    state.ejection_count = 0;
  }
  state.last_failure = now;
  ++state.consecutive_failures;
  state.result_count = std::min(state.result_count + 1, kMinimumResultsForRate);
  state.failure_rate += kNewestResultWeight * (1 - state.failure_rate);
  if (state.ejected) {
    if (state.probe_in_flight) {
      Eject(now, state, random);
    }
  } else if (ShouldEject(state) && CanEjectAnother()) {
    Eject(now, state, random);
  }
}

void Ejection::OnInconclusive(Slot slot) {
  m_states[slot].probe_in_flight = false;
}

bool Ejection::Admits(kernel::Time now, Slot slot) const {
  const State& state = m_states[slot];
  return !state.ejected ||
         (now >= state.ejected_until && !state.probe_in_flight);
}

bool Ejection::ShouldEject(const State& state) const {
  return state.consecutive_failures >=
             m_settings.consecutive_failure_threshold ||
         (state.result_count >= kMinimumResultsForRate &&
          state.failure_rate >= m_settings.failure_rate_threshold);
}

bool Ejection::CanEjectAnother() const {
  std::size_t present = 0;
  std::size_t ejected = 0;
  for (const State& state : m_states) {
    present += state.present ? 1 : 0;
    ejected += state.ejected ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         m_settings.maximum_ejected_fraction * static_cast<double>(present);
}

void Ejection::Eject(kernel::Time now, State& state, kernel::Random& random) {
  const std::uint32_t doublings =
      std::min(state.ejection_count, kMaximumDoublings);
  const kernel::Duration duration =
      std::min(m_settings.initial_duration * (1 << doublings),
               m_settings.maximum_duration);
  const auto jitter = std::chrono::duration_cast<kernel::Duration>(
      duration * (kMaximumJitterFraction * random.Uniform()));
  state.ejected = true;
  state.probe_in_flight = false;
  state.ejected_until = now + duration + jitter;
  ++state.ejection_count;
}

}  // namespace radishrudder::routing
