#include "radishrudder/routing/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::routing {
namespace {

constexpr double kNewestSampleWeight = 0.2;
// Time without samples in which the weight of the smoothed latency halves.
constexpr double kHalfLifeSeconds = 5;

}  // namespace

void LatencyEstimate::OnSample(kernel::Time now, kernel::Duration latency) {
  const double sample = std::chrono::duration<double>(latency).count();
  m_seconds = m_seconds == 0
                  ? sample
                  : m_seconds + kNewestSampleWeight * (sample - m_seconds);
  m_sampled_at = now;
}

double LatencyEstimate::Seconds(kernel::Time now,
                                double typical_seconds) const {
  if (!HasSample()) {
    return typical_seconds;
  }
  const std::chrono::duration<double> age = now - m_sampled_at;
  const double weight =
      std::exp2(-std::max(0.0, age.count()) / kHalfLifeSeconds);
  return weight * m_seconds + (1 - weight) * typical_seconds;
}

}  // namespace radishrudder::routing
