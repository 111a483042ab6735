#ifndef RADISHRUDDER_ROUTING_LATENCY_ESTIMATE_H_
#define RADISHRUDDER_ROUTING_LATENCY_ESTIMATE_H_

#include "radishrudder/kernel/time.h"

namespace radishrudder::routing {

// Smoothed time to the first byte from one endpoint. Without new samples it
// fades to what is typical, so that an endpoint that was slow once is tried
// again.
class LatencyEstimate {
 public:
  void OnSample(kernel::Time now, kernel::Duration latency);
  bool HasSample() const { return m_seconds > 0; }
  // Returns the smoothed latency at the last sample, in seconds.
  double AtLastSample() const { return m_seconds; }
  // Returns the estimate in seconds; `typical_seconds` without samples.
  double Seconds(kernel::Time now, double typical_seconds) const;

 private:
  double m_seconds = 0;
  kernel::Time m_sampled{};
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LATENCY_ESTIMATE_H_
