#include "radishrudder/routing/ejection.h"

#include <algorithm>

namespace radishrudder::routing {
namespace {

constexpr double kSmoothing = 0.1;  // Weight of the newest result.
constexpr std::uint32_t kResultsToJudge = 20;
constexpr std::uint32_t kMaximumDoublings = 16;
// An ejection is longer by up to this share, so that entries which ejected an
// endpoint together do not probe it together.
constexpr double kJitterShare = 0.5;

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
    m_states[slot].probe_on_its_way = true;
  }
}

void Ejection::OnSucceeded(kernel::Time now, Slot slot) {
  State& state = m_states[slot];
  state.failures_in_a_row = 0;
  state.results = std::min(state.results + 1, kResultsToJudge);
  state.failure_share *= 1 - kSmoothing;
  // A success that was sent before the ejection does not end it.
  if (state.ejected && state.probe_on_its_way) {
    state = State{.present = true,
                  .times = state.times,
                  .last_failure = state.last_failure};
  }
}

void Ejection::OnFailed(kernel::Time now, Slot slot, kernel::Random& random) {
  State& state = m_states[slot];
  if (now - state.last_failure > m_settings.forget_after) {
    state.times = 0;
  }
  state.last_failure = now;
  ++state.failures_in_a_row;
  state.results = std::min(state.results + 1, kResultsToJudge);
  state.failure_share += kSmoothing * (1 - state.failure_share);
  if (state.ejected) {
    if (state.probe_on_its_way) {
      Eject(now, state, random);
    }
  } else if (ShouldEject(state) && MayEjectOneMore()) {
    Eject(now, state, random);
  }
}

void Ejection::OnUndecided(Slot slot) {
  m_states[slot].probe_on_its_way = false;
}

bool Ejection::Admits(kernel::Time now, Slot slot) const {
  const State& state = m_states[slot];
  return !state.ejected || (now >= state.until && !state.probe_on_its_way);
}

bool Ejection::ShouldEject(const State& state) const {
  return state.failures_in_a_row >= m_settings.failures_in_a_row ||
         (state.results >= kResultsToJudge &&
          state.failure_share >= m_settings.failure_share);
}

bool Ejection::MayEjectOneMore() const {
  std::size_t present = 0;
  std::size_t ejected = 0;
  for (const State& state : m_states) {
    present += state.present ? 1 : 0;
    ejected += state.ejected ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         m_settings.maximum_share * static_cast<double>(present);
}

void Ejection::Eject(kernel::Time now, State& state, kernel::Random& random) {
  const std::uint32_t doublings = std::min(state.times, kMaximumDoublings);
  const kernel::Duration time = std::min(
      m_settings.first_time * (1 << doublings), m_settings.longest_time);
  const auto jitter = std::chrono::duration_cast<kernel::Duration>(
      time * (kJitterShare * random.Uniform()));
  state.ejected = true;
  state.probe_on_its_way = false;
  state.until = now + time + jitter;
  ++state.times;
}

}  // namespace radishrudder::routing
