#ifndef RADISHRUDDER_ROUTING_LATENCY_ESTIMATE_H_
#define RADISHRUDDER_ROUTING_LATENCY_ESTIMATE_H_

#include "radishrudder/kernel/time.h"

namespace radishrudder::routing {

// Exponentially smoothed time to the first byte of one endpoint. Without new
// samples the estimate decays towards the typical latency of the service, so
// that an endpoint that was slow for a while receives calls again.
class LatencyEstimate {
 public:
  void OnSample(kernel::Time now, kernel::Duration latency);
  bool HasSample() const { return m_seconds > 0; }
  // Returns the smoothed latency, in seconds, without decay since the last
  // sample; 0 without samples.
  double SecondsAtLastSample() const { return m_seconds; }
  // Returns the estimate for `now` in seconds, or `typical_seconds` without
  // samples.
  double Seconds(kernel::Time now, double typical_seconds) const;

 private:
  double m_seconds = 0;
  kernel::Time m_sampled_at{};
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LATENCY_ESTIMATE_H_
