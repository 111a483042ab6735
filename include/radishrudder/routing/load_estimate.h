#ifndef RADISHRUDDER_ROUTING_LOAD_ESTIMATE_H_
#define RADISHRUDDER_ROUTING_LOAD_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::routing {

// Calls at one endpoint, split into one's own, which are known exactly, and
// those of other entries, known from the newest report less one's own calls
// at the time of that report.
class LoadEstimate {
 public:
  // Takes a report into account unless a newer one is known.
  void OnReport(kernel::Time measured, const LoadReport& report);
  void OnStarted(kernel::Time now);
  void OnEnded(kernel::Time now);

  std::uint32_t OwnCalls() const { return m_own_calls; }
  // Calls of others when the newest report was measured; 0 without reports.
  double OthersReported() const { return m_others; }
  // One's own calls when the newest report was measured.
  double OwnAtReport() const { return m_own_at_report; }
  bool HasReport() const { return m_has_report; }
  kernel::Time Measured() const { return m_measured; }
  // Capacity in the newest report that had one; 0 without.
  double Capacity() const { return m_capacity; }
  // The newest report as it came.
  const LoadReport& Report() const { return m_report; }

 private:
  // A call that started (+1) or ended (-1).
  struct Change {
    kernel::Time at;
    int delta = 0;
  };

  void Record(kernel::Time now, int delta);
  double OwnCallsAt(kernel::Time time) const;

  std::deque<Change> m_changes;  // After the newest report, oldest first.
  std::uint32_t m_own_calls = 0;
  bool m_has_report = false;
  kernel::Time m_measured{};
  LoadReport m_report;
  double m_others = 0;
  double m_own_at_report = 0;
  double m_capacity = 0;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LOAD_ESTIMATE_H_
