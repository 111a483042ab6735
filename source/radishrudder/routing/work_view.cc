#include "radishrudder/routing/work_view.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::routing {
namespace {

// Age at which a reported pace and the mean over all endpoints have equal
// weight. The pace of an endpoint changes about every 600 ms.
constexpr double kPaceHalfLifeSeconds = 0.3;
// Share of the distance to the 90th percentile that a call which exceeds its
// expected length has left: the tail of the lengths is long.
constexpr double kOverrunShare = 0.5;
// Smallest remainder of a call that has not ended, in tokens.
constexpr double kMinimumRemainingTokens = 5;
constexpr double kMinimumPace = 0.01;
constexpr double kMaximumPace = 100;

double Freshness(kernel::Time now, kernel::Time measured_at) {
  const std::chrono::duration<double> age = now - measured_at;
  return std::exp2(-std::max(0.0, age.count()) / kPaceHalfLifeSeconds);
}

bool IsSame(const LoadReport& a, const LoadReport& b) {
  return a.running == b.running && a.waiting == b.waiting &&
         a.capacity == b.capacity && a.pace == b.pace;
}

}  // namespace

void WorkView::Add(Slot slot) {
  if (slot >= m_endpoints.size()) {
    m_endpoints.resize(slot + 1);
  }
  m_endpoints[slot] = EndpointState();
}

void WorkView::Remove(Slot slot) {
  m_endpoints[slot] = EndpointState();
}

void WorkView::OnStarted(Slot slot, CallId id, const CallCost& cost) {
  EndpointState& state = m_endpoints[slot];
  if (Find(state, id) == nullptr) {
    state.calls.push_back({id, cost});
    Sum(state);
  }
}

void WorkView::OnProgress(Slot slot,
                          CallId id,
                          std::uint32_t events,
                          double tokens_per_event) {
  EndpointState& state = m_endpoints[slot];
  if (OwnCall* call = Find(state, id)) {
    call->generated_tokens = events * tokens_per_event;
    Sum(state);
  }
}

void WorkView::OnEnded(Slot slot, CallId id) {
  EndpointState& state = m_endpoints[slot];
  std::erase_if(state.calls,
                [id](const OwnCall& call) { return call.id == id; });
  Sum(state);
}

void WorkView::OnReport(kernel::Time now, Slot slot, const LoadReport& report) {
  if (report.measured_at) {
    OnMeasured(*report.measured_at, slot, report);
    return;
  }
  std::optional<LoadReport>& newest = m_endpoints[slot].newest_untimed;
  if (!newest || !IsSame(*newest, report)) {
    newest = report;
    OnMeasured(now - m_report_lag, slot, report);
  }
}

void WorkView::OnMeasured(kernel::Time measured_at,
                          Slot slot,
                          const LoadReport& report) {
  EndpointState& state = m_endpoints[slot];
  const bool sane = report.pace && *report.pace >= kMinimumPace &&
                    *report.pace <= kMaximumPace;
  if (sane && (!state.pace || measured_at >= state.pace_at)) {
    state.pace = report.pace;
    state.pace_at = measured_at;
  }
}

void WorkView::Refresh(kernel::Time now) {
  double sum = 0;
  double weight = 0;
  for (const EndpointState& state : m_endpoints) {
    if (state.pace) {
      const double freshness = Freshness(now, state.pace_at);
      sum += freshness * *state.pace;
      weight += freshness;
    }
  }
  // With only very old reports the weights vanish, and so does what they say.
  constexpr double kMinimumWeight = 1e-6;
  m_mean_pace = weight > kMinimumWeight ? sum / weight : 1;
}

EndpointWork WorkView::WorkAt(kernel::Time now,
                              Slot slot,
                              double estimated_calls,
                              double capacity) const {
  const EndpointState& state = m_endpoints[slot];
  EndpointWork work;
  work.running = std::min(estimated_calls, capacity);
  work.waiting = std::max(0.0, estimated_calls - capacity);
  work.pace = m_mean_pace;
  if (state.pace) {
    const double freshness = Freshness(now, state.pace_at);
    work.pace = freshness * *state.pace + (1 - freshness) * m_mean_pace;
    work.report_age_s =
        std::chrono::duration<double>(now - state.pace_at).count();
  }
  work.own_calls = static_cast<double>(state.calls.size());
  work.own_unread_prompt_tokens = state.unread_prompt_tokens;
  work.own_remaining_answer_tokens = state.remaining_answer_tokens;
  work.own_largest_tokens = state.largest_tokens;
  return work;
}

double WorkView::RemainingTokens(const OwnCall& call) {
  const CallCost& cost = call.cost;
  const double left = cost.answer_tokens - call.generated_tokens;
  const double overrun =
      kOverrunShare * (cost.answer_tokens_high - call.generated_tokens);
  return std::max({left, overrun, kMinimumRemainingTokens});
}

void WorkView::Sum(EndpointState& state) {
  state.unread_prompt_tokens = 0;
  state.remaining_answer_tokens = 0;
  state.largest_tokens = 0;
  for (const OwnCall& call : state.calls) {
    if (call.generated_tokens == 0) {
      state.unread_prompt_tokens += call.cost.prompt_tokens;
    }
    state.remaining_answer_tokens += RemainingTokens(call);
    state.largest_tokens =
        std::max(state.largest_tokens,
                 call.cost.prompt_tokens + call.cost.answer_tokens_high);
  }
}

WorkView::OwnCall* WorkView::Find(EndpointState& state, CallId id) {
  const auto found = std::ranges::find(state.calls, id, &OwnCall::id);
  return found == state.calls.end() ? nullptr : &*found;
}

}  // namespace radishrudder::routing
