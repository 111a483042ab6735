#include "radishrudder/routing/load_estimate.h"

#include <algorithm>

namespace radishrudder::routing {
namespace {

// The oldest changes beyond this number are dropped, as if they had happened
// before the next report was measured.
constexpr std::size_t kMaximumChanges = 64;

}  // namespace

void LoadEstimate::OnReport(kernel::Time measured_at,
                            const LoadReport& report) {
  if (m_has_report && measured_at < m_measured_at) {
    return;
  }
  m_local_calls_at_report = LocalCallsAt(measured_at);
  m_has_report = true;
  m_measured_at = measured_at;
  m_newest_report = report;
  const double total = static_cast<double>(report.running) + report.waiting;
  m_other_calls = std::max(0.0, total - m_local_calls_at_report);
  if (report.capacity > 0) {
    m_capacity = report.capacity;
  }
  while (!m_changes.empty() && m_changes.front().at <= measured_at) {
    m_changes.pop_front();
  }
}

void LoadEstimate::OnStarted(kernel::Time now) {
  ++m_local_calls;
  RecordChange(now, 1);
}

void LoadEstimate::OnEnded(kernel::Time now) {
  if (m_local_calls == 0) {
    return;
  }
  --m_local_calls;
  RecordChange(now, -1);
}

void LoadEstimate::RecordChange(kernel::Time now, int delta) {
  m_changes.push_back({now, delta});
  if (m_changes.size() > kMaximumChanges) {
    m_changes.pop_front();
  }
}

double LoadEstimate::LocalCallsAt(kernel::Time time) const {
  double calls = m_local_calls;
  for (const Change& change : m_changes) {
    if (change.at > time) {
      calls -= change.delta;
    }
  }
  return std::max(0.0, calls);
}

}  // namespace radishrudder::routing
