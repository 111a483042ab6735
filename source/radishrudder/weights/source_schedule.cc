#include "radishrudder/weights/source_schedule.h"

#include <algorithm>

namespace radishrudder::weights {
namespace {

constexpr std::chrono::milliseconds kInitialBackoff(250);
constexpr std::uint32_t kMaximumDoublings = 6;

std::size_t IndexOf(Source source) {
  return source == Source::kOrigin ? 0 : 1;
}

}  // namespace

std::optional<Source> SourceSchedule::Choose(kernel::Time now) const {
  for (const Source source : {Source::kOrigin, Source::kStore}) {
    const bool exists = source != Source::kStore || m_has_store;
    if (exists && now >= m_states[IndexOf(source)].backoff_until) {
      return source;
    }
  }
  return std::nullopt;
}

void SourceSchedule::OnSuccess(Source source) {
  // The count is halved instead of reset because a rate-limited source soon
  // refuses again.
  State& state = m_states[IndexOf(source)];
  state.failures /= 2;
  state.backoff_until = kernel::Time();
  m_failing_since.reset();
}

void SourceSchedule::OnFailure(kernel::Time now,
                               Source source,
                               kernel::Random& random) {
  State& state = m_states[IndexOf(source)];
  if (now < state.backoff_until) {
    return;  // The backoff already covers this failure.
  }
  const std::uint32_t doublings = std::min(state.failures, kMaximumDoublings);
  ++state.failures;
  const auto backoff = std::min<kernel::Duration>(
      kInitialBackoff * (1U << doublings), m_maximum_backoff);
  const double factor = 0.5 + random.Uniform();
  state.backoff_until =
      now + std::chrono::duration_cast<kernel::Duration>(backoff * factor);
  if (!m_failing_since) {
    m_failing_since = now;
  }
}

bool SourceSchedule::HasFailedFor(kernel::Time now,
                                  kernel::Duration limit) const {
  return m_failing_since && now - *m_failing_since >= limit;
}

kernel::Time SourceSchedule::NextAvailable() const {
  const kernel::Time origin = m_states[IndexOf(Source::kOrigin)].backoff_until;
  return m_has_store
             ? std::min(origin, m_states[IndexOf(Source::kStore)].backoff_until)
             : origin;
}

}  // namespace radishrudder::weights
