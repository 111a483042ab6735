#ifndef RADISHRUDDER_ROUTING_LOAD_ESTIMATE_H_
#define RADISHRUDDER_ROUTING_LOAD_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

// Calls at one endpoint, split into the calls of this entry and those of other
// entries. The former are counted. The latter are the calls in the newest
// report minus the calls of this entry when that report was measured.
class LoadEstimate {
 public:
  // Applies a report unless a newer one has been applied.
  void OnReport(kernel::Time measured_at, const LoadReport& report);
  void OnStarted(kernel::Time now);
  void OnEnded(kernel::Time now);

  std::uint32_t LocalCalls() const { return m_local_calls; }
  // Calls of other entries when the newest report was measured; 0 without
  // reports.
  double OtherCalls() const { return m_other_calls; }
  // Calls of this entry when the newest report was measured.
  double LocalCallsAtReport() const { return m_local_calls_at_report; }
  bool HasReport() const { return m_has_report; }
  kernel::Time MeasuredAt() const { return m_measured_at; }
  // Capacity in the newest report that gave one; 0 without such a report.
  double Capacity() const { return m_capacity; }
  const LoadReport& NewestReport() const { return m_newest_report; }

 private:
  // The start (+1) or the end (-1) of a call of this entry.
  struct Change {
    kernel::Time at;
    int delta = 0;
  };

  void RecordChange(kernel::Time now, int delta);
  double LocalCallsAt(kernel::Time time) const;

  std::deque<Change> m_changes;  // Since the newest report, oldest first.
  std::uint32_t m_local_calls = 0;
  bool m_has_report = false;
  kernel::Time m_measured_at{};
  LoadReport m_newest_report;
  double m_other_calls = 0;
  double m_local_calls_at_report = 0;
  double m_capacity = 0;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LOAD_ESTIMATE_H_
