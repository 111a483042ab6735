#include "radishrudder/routing/load_estimate.h"

#include <algorithm>

namespace radishrudder::routing {
namespace {

// Older changes are dropped; the calls behind them count as present at the
// time of the next report.
constexpr std::size_t kMaximumChanges = 64;

}  // namespace

void LoadEstimate::OnReport(kernel::Time measured, const LoadReport& report) {
  if (m_has_report && measured < m_measured) {
    return;
  }
  m_own_at_report = OwnCallsAt(measured);
  m_has_report = true;
  m_measured = measured;
  m_report = report;
  const double total = static_cast<double>(report.running) + report.waiting;
  m_others = std::max(0.0, total - m_own_at_report);
  if (report.capacity > 0) {
    m_capacity = report.capacity;
  }
  while (!m_changes.empty() && m_changes.front().at <= measured) {
    m_changes.pop_front();
  }
}

void LoadEstimate::OnStarted(kernel::Time now) {
  ++m_own_calls;
  Record(now, 1);
}

void LoadEstimate::OnEnded(kernel::Time now) {
  if (m_own_calls == 0) {
    return;
  }
  --m_own_calls;
  Record(now, -1);
}

void LoadEstimate::Record(kernel::Time now, int delta) {
  m_changes.push_back({now, delta});
  if (m_changes.size() > kMaximumChanges) {
    m_changes.pop_front();
  }
}

double LoadEstimate::OwnCallsAt(kernel::Time time) const {
  double calls = m_own_calls;
  for (const Change& change : m_changes) {
    if (change.at > time) {
      calls -= change.delta;
    }
  }
  return std::max(0.0, calls);
}

}  // namespace radishrudder::routing
