#ifndef RADISHRUDDER_ROUTING_WORK_VIEW_H_
#define RADISHRUDDER_ROUTING_WORK_VIEW_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/call_cost.h"
#include "radishrudder/routing/endpoint.h"
#include "radishrudder/routing/engine_model.h"

namespace radishrudder::routing {

// Work that the endpoints of one service still have to do: the remaining work
// of this entry's calls, and the pace in the endpoints' reports. The number of
// calls comes from `LoadView`, which already separates own from other calls.
class WorkView {
 public:
  // `report_lag` is the assumed age on arrival of a report without a
  // measurement time.
  explicit WorkView(
      kernel::Duration report_lag = std::chrono::milliseconds(250))
      : m_report_lag(report_lag) {}

  void Add(Slot slot);
  void Remove(Slot slot);

  // A call was sent to the endpoint. `id` must not be 0.
  void OnStarted(Slot slot, CallId id, const CallCost& cost);
  // Sets the number of events that a call has received, each of
  // `tokens_per_event` tokens. Ignored for unknown calls.
  void OnProgress(Slot slot,
                  CallId id,
                  std::uint32_t events,
                  double tokens_per_event);
  void OnEnded(Slot slot, CallId id);
  // Takes the pace in a report, unless there is none or a newer one is known. A
  // report without a measurement time that equals the one before is taken for a
  // repetition of it and ignored.
  void OnReport(kernel::Time now, Slot slot, const LoadReport& report);
  // Takes the pace in a report that was measured at a known time.
  void OnMeasured(kernel::Time measured_at,
                  Slot slot,
                  const LoadReport& report);

  // Updates the mean pace that all endpoints use. Call it before `WorkAt`.
  void Refresh(kernel::Time now);
  // Returns the work of an endpoint at `now`. `estimated_calls` are the running
  // and waiting calls of all entries, `capacity` those that can run.
  EndpointWork WorkAt(kernel::Time now,
                      Slot slot,
                      double estimated_calls,
                      double capacity) const;

 private:
  struct OwnCall {
    CallId id = 0;
    CallCost cost;
    double generated_tokens = 0;  // 0: the prompt may not have been read.
  };
  struct EndpointState {
    std::vector<OwnCall> calls;
    // Sums over `calls`.
    double unread_prompt_tokens = 0;
    double remaining_answer_tokens = 0;
    double largest_tokens = 0;
    std::optional<double> pace{};
    kernel::Time pace_at{};
    std::optional<LoadReport> newest_untimed{};  // Without measurement time.
  };

  static double RemainingTokens(const OwnCall& call);
  static void Sum(EndpointState& state);
  static OwnCall* Find(EndpointState& state, CallId id);

  kernel::Duration m_report_lag;
  std::vector<EndpointState> m_endpoints;  // By slot.
  double m_mean_pace = 1;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_WORK_VIEW_H_
