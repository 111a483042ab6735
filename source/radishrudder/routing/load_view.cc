#include "radishrudder/routing/load_view.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::routing {
namespace {

bool HasSameLoad(const LoadReport& a, const LoadReport& b) {
  return a.running == b.running && a.waiting == b.waiting &&
         a.capacity == b.capacity;
}

}  // namespace

void LoadView::Add(Slot slot) {
  if (slot >= m_estimates.size()) {
    m_estimates.resize(slot + 1);
    m_present.resize(slot + 1);
  }
  m_estimates[slot] = LoadEstimate();
  m_present[slot] = true;
}

void LoadView::Remove(Slot slot) {
  m_estimates[slot] = LoadEstimate();
  m_present[slot] = false;
}

void LoadView::OnReport(kernel::Time now, Slot slot, const LoadReport& report) {
  LoadEstimate& estimate = m_estimates[slot];
  if (report.measured_at) {
    estimate.OnReport(*report.measured_at, report);
    return;
  }
  if (!estimate.HasReport() || !HasSameLoad(estimate.NewestReport(), report)) {
    estimate.OnReport(now - m_settings.report_lag, report);
  }
}

void LoadView::OnResponseLoad(kernel::Time now,
                              Slot slot,
                              const LoadReport& report,
                              kernel::Duration delay) {
  m_estimates[slot].OnReport(now - delay, report);
}

void LoadView::OnStarted(kernel::Time now, Slot slot) {
  m_estimates[slot].OnStarted(now);
}

void LoadView::OnEnded(kernel::Time now, Slot slot) {
  m_estimates[slot].OnEnded(now);
}

void LoadView::Refresh(kernel::Time now) {
  double other_calls = 0;
  double capacity = 0;
  for (Slot slot = 0; slot < m_estimates.size(); ++slot) {
    const LoadEstimate& estimate = m_estimates[slot];
    if (m_present[slot] && estimate.HasReport()) {
      const double weight = Freshness(now, estimate);
      other_calls += weight * estimate.OtherCalls();
      capacity += weight * Capacity(slot);
    }
  }
  m_mean_other_load = capacity > 0 ? other_calls / capacity : 0;
}

double LoadView::EstimatedCalls(kernel::Time now, Slot slot) const {
  const LoadEstimate& estimate = m_estimates[slot];
  const double typical = m_mean_other_load * Capacity(slot);
  const double freshness = Freshness(now, estimate);
  const double other_calls =
      freshness * estimate.OtherCalls() + (1 - freshness) * typical;
  return estimate.LocalCalls() + other_calls;
}

double LoadView::Capacity(Slot slot) const {
  const double reported = m_estimates[slot].Capacity();
  return reported > 0 ? reported : m_default_capacity;
}

double LoadView::Freshness(kernel::Time now,
                           const LoadEstimate& estimate) const {
  if (!estimate.HasReport()) {
    return 0;
  }
  const std::chrono::duration<double> age = now - estimate.MeasuredAt();
  const std::chrono::duration<double> half_life = m_settings.report_half_life;
  return std::exp2(-std::max(0.0, age.count()) / half_life.count());
}

}  // namespace radishrudder::routing
