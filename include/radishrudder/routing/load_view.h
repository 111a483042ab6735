#ifndef RADISHRUDDER_ROUTING_LOAD_VIEW_H_
#define RADISHRUDDER_ROUTING_LOAD_VIEW_H_

#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"
#include "radishrudder/routing/load_estimate.h"

namespace radishrudder::routing {

struct LoadSettings {
  // Assumed age on arrival of a report without a measurement time.
  kernel::Duration report_lag = std::chrono::milliseconds(250);
  // Age at which a report and the mean over all endpoints have equal weight in
  // an estimate.
  kernel::Duration report_half_life = std::chrono::milliseconds(1'500);
};

// Estimates the current calls at all endpoints of one service from delayed load
// reports, the load carried by responses, and the calls of this entry in
// flight.
class LoadView {
 public:
  explicit LoadView(LoadSettings settings) : m_settings(settings) {}

  // Sets the capacity, in calls, assumed for endpoints that report none.
  void SetDefaultCapacity(double calls) { m_default_capacity = calls; }
  // Starts tracking an endpoint, or a new run of it, with no load known.
  void Add(Slot slot);
  void Remove(Slot slot);

  // Applies a report that did not come with a response. A report without a
  // measurement time that equals the newest one is taken for a repetition of it
  // and ignored.
  void OnReport(kernel::Time now, Slot slot, const LoadReport& report);
  // Applies the load that a response carries, measured `delay` ago.
  void OnResponseLoad(kernel::Time now,
                      Slot slot,
                      const LoadReport& report,
                      kernel::Duration delay);
  void OnStarted(kernel::Time now, Slot slot);
  void OnEnded(kernel::Time now, Slot slot);

  // Updates the mean load that all estimates use. Call it before
  // `EstimatedCalls`.
  void Refresh(kernel::Time now);
  // Returns the running and waiting calls of an endpoint, estimated for `now`.
  double EstimatedCalls(kernel::Time now, Slot slot) const;
  double Capacity(Slot slot) const;
  std::uint32_t LocalCalls(Slot slot) const {
    return m_estimates[slot].LocalCalls();
  }

 private:
  // Returns the weight, in [0, 1], of the newest report at `now`.
  double Freshness(kernel::Time now, const LoadEstimate& estimate) const;

  LoadSettings m_settings;
  double m_default_capacity = 1;
  std::vector<LoadEstimate> m_estimates;  // By slot.
  std::vector<bool> m_present;            // By slot.
  // Calls of other entries per unit of capacity, averaged over the endpoints
  // with the freshness of their reports as weight.
  double m_mean_other_load = 0;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LOAD_VIEW_H_
