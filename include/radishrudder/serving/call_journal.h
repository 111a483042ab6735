#ifndef RADISHRUDDER_SERVING_CALL_JOURNAL_H_
#define RADISHRUDDER_SERVING_CALL_JOURNAL_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "radishrudder/direct/call.h"
#include "radishrudder/direct/entry_gauges.h"
#include "radishrudder/exchange/memory_account.h"
#include "radishrudder/kernel/findings.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/kernel/token_bucket.h"
#include "radishrudder/metrics/metrics.h"
#include "radishrudder/serving/load_collector.h"

namespace radishrudder::serving {

// What the connections of a call showed when its caller left.
struct CallerConnections {
  std::size_t bytes_behind = 0;  // Of the caller's further requests.
  // Of the request, on the connection to the endpoint.
  std::size_t unacknowledged_bytes = 0;
};

// Logs the outcomes of calls and attempts and counts them in metrics. The log
// is bounded under load: only a sample of the successes is logged, and lines
// beyond a maximum rate are suppressed and counted.
class CallJournal {
 public:
  explicit CallJournal(std::string instance);

  void Record(kernel::Time now, const direct::CallRecord& record);
  // A call that a planned stop cut; it arrived `after_stop` after the stop
  // began, or, if negative, before.
  void RecordCut(kernel::Time now,
                 const direct::CallRecord& record,
                 std::chrono::milliseconds after_stop);
  // A call whose caller left before it ended.
  void RecordCallerLeft(kernel::Time now,
                        const direct::CallRecord& record,
                        const CallerConnections& connections);
  // The process did not get to its work for this long.
  void RecordDelay(std::chrono::milliseconds delay);
  void RecordPause(kernel::Time now, const direct::EndpointPaused& pause);
  void RecordLeaving(kernel::Time now, const direct::EndpointLeaves& leaves);
  void RecordLimit(kernel::Time now, const direct::EndpointLimited& limit);
  void RecordNoAllowedRegion(kernel::Time now,
                             const direct::NoAllowedRegion& refusal);
  void RecordEvacuation(const direct::DataCentreEvacuated& evacuation);
  void RecordCold(kernel::Time now, const direct::EndpointCold& cold);
  // Updates the metrics of load reports, if there are any.
  void RecordLoadReports(kernel::Time now, const LoadCollector& collector);
  void RecordGauges(const direct::EntryGauges& gauges);
  void RecordCallerMemory(const exchange::MemoryAccount& account);
  void LogFindings(const kernel::Findings& findings);
  void CountStoreEra() { m_metrics.Count("radishrudder_store_eras_total", {}); }
  std::string MetricsText() const { return m_metrics.PrometheusText(); }

 private:
  bool MayLog(kernel::Time now, const direct::CallRecord& record);
  // Takes a line from the budget, or counts it as suppressed.
  bool TryTakeLine(kernel::Time now);

  // Counts what a total has grown by since the last call for the series.
  void CountTotal(const std::string& name,
                  const std::string& reason,
                  std::uint64_t total);

  std::string m_instance;
  metrics::Metrics m_metrics;
  kernel::TokenBucket m_line_budget;
  std::uint64_t m_successes = 0;
  // Lines suppressed since the last written one.
  std::uint64_t m_suppressed_lines = 0;
  // Totals that have been counted, by name and reason.
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_totals;
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_CALL_JOURNAL_H_
