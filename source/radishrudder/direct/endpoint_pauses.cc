#include "source/radishrudder/direct/endpoint_pauses.h"

#include <algorithm>

namespace radishrudder::direct {
namespace {

// An endpoint that asks for more than this is tried after this time.
constexpr std::chrono::minutes kMaximumPause{10};
// After a pause, one call is sent in each interval until the endpoint answers.
constexpr std::chrono::milliseconds kTrialInterval{500};
// Time after its pause at which an endpoint that got no call is trusted again.
constexpr std::chrono::seconds kMaximumTrialTime{30};

}  // namespace

std::optional<kernel::Time> EndpointPauses::OnRequested(
    kernel::Time now,
    const routing::EndpointRun& run,
    kernel::Duration pause) {
  const kernel::Time until =
      now + std::min<kernel::Duration>(pause, kMaximumPause);
  if (until <= now) {
    return std::nullopt;
  }
  Pause& known = m_pauses[Run(run.instance, run.incarnation)];
  if (until <= known.until) {
    return std::nullopt;
  }
  known = {.until = until, .next_trial = until};
  return until;
}

void EndpointPauses::OnSelected(kernel::Time now,
                                const routing::EndpointRun& run) {
  const auto found = m_pauses.find(Run(run.instance, run.incarnation));
  if (found != m_pauses.end() && now >= found->second.until) {
    found->second.next_trial = now + kTrialInterval;
  }
}

void EndpointPauses::OnAnswered(kernel::Time now,
                                const routing::EndpointRun& run) {
  if (!IsEmpty() && !IsPaused(now, run)) {
    m_pauses.erase(Run(run.instance, run.incarnation));
  }
}

void EndpointPauses::OnTick(kernel::Time now) {
  std::erase_if(m_pauses, [now](const auto& item) {
    return now >= item.second.until + kMaximumTrialTime;
  });
}

bool EndpointPauses::IsPaused(kernel::Time now,
                              const routing::EndpointRun& run) const {
  const Pause* pause = Find(run);
  return pause != nullptr && now < pause->until;
}

kernel::Time EndpointPauses::AvailableAt(
    const routing::EndpointRun& run) const {
  const Pause* pause = Find(run);
  return pause != nullptr ? pause->next_trial : kernel::Time{};
}

const EndpointPauses::Pause* EndpointPauses::Find(
    const routing::EndpointRun& run) const {
  if (m_pauses.empty()) {
    return nullptr;
  }
  const auto found = m_pauses.find(Run(run.instance, run.incarnation));
  return found != m_pauses.end() ? &found->second : nullptr;
}

}  // namespace radishrudder::direct
