#ifndef RADISHRUDDER_ROUTING_LOAD_VIEW_H_
#define RADISHRUDDER_ROUTING_LOAD_VIEW_H_

#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"
#include "radishrudder/routing/load_estimate.h"

namespace radishrudder::routing {

struct LoadSettings {
  // Age of a report that does not say when it was measured.
  kernel::Duration report_lag = std::chrono::milliseconds(250);
  // Time in which a report loses half of its weight against the mean of all
  // endpoints.
  kernel::Duration report_half_life = std::chrono::milliseconds(1'500);
};

// Estimated calls of all endpoints of one service now, from reports that come
// late, one's own calls in flight, and the load that answers carry.
class LoadView {
 public:
  explicit LoadView(LoadSettings settings) : m_settings(settings) {}

  // Capacity of endpoints that report none.
  void SetDefaultCapacity(double calls) { m_default_capacity = calls; }
  // Begins to follow an endpoint, or another run of it, without any load known.
  void Add(Slot slot);
  void Remove(Slot slot);

  // A report out of band. One without a time that equals the newest known one
  // is taken as the same report read again.
  void OnReport(kernel::Time now, Slot slot, const LoadReport& report);
  // Load carried by an answer, `delay` ago.
  void OnAnswerLoad(kernel::Time now,
                    Slot slot,
                    const LoadReport& report,
                    kernel::Duration delay);
  void OnStarted(kernel::Time now, Slot slot);
  void OnEnded(kernel::Time now, Slot slot);

  // Computes what all estimates share; call it before `EstimatedCalls`.
  void Refresh(kernel::Time now);
  // Running and waiting calls of an endpoint, estimated for `now`.
  double EstimatedCalls(kernel::Time now, Slot slot) const;
  double Capacity(Slot slot) const;
  std::uint32_t OwnCalls(Slot slot) const {
    return m_estimates[slot].OwnCalls();
  }

 private:
  double Freshness(kernel::Time now, const LoadEstimate& estimate) const;

  LoadSettings m_settings;
  double m_default_capacity = 1;
  std::vector<LoadEstimate> m_estimates;  // By slot.
  std::vector<bool> m_present;            // By slot.
  // Calls of others for each unit of capacity, mean over fresh reports.
  double m_mean_others = 0;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LOAD_VIEW_H_
