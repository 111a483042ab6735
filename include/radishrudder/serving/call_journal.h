#ifndef RADISHRUDDER_SERVING_CALL_JOURNAL_H_
#define RADISHRUDDER_SERVING_CALL_JOURNAL_H_

#include <cstdint>
#include <string>

#include "radishrudder/direct/call.h"
#include "radishrudder/kernel/findings.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/kernel/token_bucket.h"
#include "radishrudder/metrics/metrics.h"

namespace radishrudder::serving {

// Log lines and metrics of the decisions about calls, bounded under load:
// failures are logged up to a rate and counted beyond it, successes sampled.
class CallJournal {
 public:
  explicit CallJournal(std::string instance);

  void Tell(kernel::Time now, const direct::Note& note);
  void TellFindings(const kernel::Findings& findings);
  void CountGone() { m_metrics.Count("radishrudder_callers_gone_total", {}); }
  std::string MetricsText() const { return m_metrics.PrometheusText(); }

 private:
  bool MayLog(kernel::Time now, const direct::Note& note);

  std::string m_instance;
  metrics::Metrics m_metrics;
  kernel::TokenBucket m_lines;
  std::uint64_t m_successes = 0;
  std::uint64_t m_left_out = 0;  // Lines since the last that was written.
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_CALL_JOURNAL_H_
