#include "radishrudder/weights/source_schedule.h"

#include <algorithm>

namespace radishrudder::weights {
namespace {

constexpr std::chrono::milliseconds kFirstRest(250);
constexpr std::uint32_t kMaximumDoublings = 6;

std::size_t IndexOf(Source source) {
  return source == Source::kOrigin ? 0 : 1;
}

}  // namespace

std::optional<Source> SourceSchedule::Choose(kernel::Time now) const {
  for (const Source source : {Source::kOrigin, Source::kStore}) {
    const bool exists = source != Source::kStore || m_has_store;
    if (exists && now >= m_states[IndexOf(source)].rests_until) {
      return source;
    }
  }
  return std::nullopt;
}

void SourceSchedule::OnSuccess(Source source) {
  // Halved, not cleared: a rate-limited source refuses again soon.
  State& state = m_states[IndexOf(source)];
  state.failures /= 2;
  state.rests_until = kernel::Time();
  m_failing_since.reset();
}

void SourceSchedule::OnFailure(kernel::Time now,
                               Source source,
                               kernel::Random& random) {
  State& state = m_states[IndexOf(source)];
  if (now < state.rests_until) {
    return;  // Fails for the reason already known.
  }
  const std::uint32_t doublings = std::min(state.failures, kMaximumDoublings);
  ++state.failures;
  const auto rest = std::min<kernel::Duration>(kFirstRest * (1U << doublings),
                                               m_longest_rest);
  const double factor = 0.5 + random.Uniform();
  state.rests_until =
      now + std::chrono::duration_cast<kernel::Duration>(rest * factor);
  if (!m_failing_since) {
    m_failing_since = now;
  }
}

bool SourceSchedule::FailedFor(kernel::Time now, kernel::Duration limit) const {
  return m_failing_since && now - *m_failing_since >= limit;
}

kernel::Time SourceSchedule::NextChoice() const {
  const kernel::Time origin = m_states[IndexOf(Source::kOrigin)].rests_until;
  return m_has_store
             ? std::min(origin, m_states[IndexOf(Source::kStore)].rests_until)
             : origin;
}

}  // namespace radishrudder::weights
