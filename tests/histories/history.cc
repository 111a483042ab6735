#include "history.h"

#include <algorithm>
#include <map>

namespace radishrudder::histories {

namespace {

constexpr kernel::Duration kDepartureGracePeriod = std::chrono::seconds(2);

class Checker {
 public:
  explicit Checker(const History& history) : m_history(history) {}

  std::vector<Violation> Run() {
    CheckAtMostOnce();
    for (std::size_t i = 0; i < m_history.invocations.size(); ++i) {
      CheckInvocation(static_cast<int>(i));
    }
    CheckDepartures();
    return std::move(m_violations);
  }

 private:
  void Add(Rule rule, int operation, const std::string& detail) {
    m_violations.push_back(
        {.rule = rule,
         .detail = "operation " + std::to_string(operation) + ": " + detail});
  }

  void CheckAtMostOnce() {
    std::map<int, int> runs;
    for (const Execution& execution : m_history.executions) {
      const Invocation& by = m_history.invocations.at(execution.invocation);
      if (by.kind != OperationKind::kIdempotent &&
          ++runs[execution.operation] == 2) {
        Add(Rule::kAtMostOnce, execution.operation, "executed twice");
      }
    }
  }

  void CheckInvocation(int index) {
    const Invocation& call = m_history.invocations.at(index);
    if (call.outputs_after_end > 0 ||
        call.final_outputs != (call.lost ? 0 : 1)) {
      Add(Rule::kSingleFinalOutput, call.operation,
          std::to_string(call.final_outputs) + " final outputs, then " +
              std::to_string(call.outputs_after_end) + " further outputs");
    }
    if (call.failed == wire::OUTCOME_NOT_RUN && Ran(index)) {
      Add(Rule::kNotRunOutcomeIsCorrect, call.operation,
          "executed although reported as not run");
    }
    if (call.complete) {
      CheckAnswer(call);
    }
    if (m_history.only_planned_stops &&
        call.failed != wire::OUTCOME_UNSPECIFIED && Ran(index)) {
      Add(Rule::kPlannedStopInterruptsNoCall, call.operation,
          "interrupted during planned stops");
    }
  }

  bool Ran(int invocation) const {
    return std::any_of(
        m_history.executions.begin(), m_history.executions.end(),
        [&](const Execution& e) { return e.invocation == invocation; });
  }

  void CheckAnswer(const Invocation& call) {
    const auto source =
        std::find_if(m_history.executions.begin(), m_history.executions.end(),
                     [&](const Execution& e) {
                       return e.operation == call.operation && e.complete &&
                              e.body == call.body;
                     });
    if (source == m_history.executions.end()) {
      Add(Rule::kCompleteAnswerOfSameOperation, call.operation,
          "no complete execution of it returned \"" + call.body + "\"");
      return;
    }
    if (source->version_changed || source->digest != call.digest) {
      Add(Rule::kSingleDigest, call.operation,
          "the digest changed during the execution or differs from the answer");
    }
  }

  void CheckDepartures() {
    for (const Departure& departure : m_history.departures) {
      for (const Execution& execution : m_history.executions) {
        if (execution.agent.instance == departure.instance &&
            execution.started > departure.at + kDepartureGracePeriod) {
          Add(Rule::kNoNewCallsAfterDeparture, execution.operation,
              "started at " + departure.instance + " after its departure");
        }
      }
    }
  }

  const History& m_history;
  std::vector<Violation> m_violations;
};

}  // namespace

std::vector<Violation> Check(const History& history) {
  return Checker(history).Run();
}

std::string_view Name(Rule rule) {
  switch (rule) {
    case Rule::kAtMostOnce:
      return "at most once";
    case Rule::kNotRunOutcomeIsCorrect:
      return "not-run outcome is correct";
    case Rule::kCompleteAnswerOfSameOperation:
      return "complete answer of the same operation";
    case Rule::kSingleDigest:
      return "single digest";
    case Rule::kNoNewCallsAfterDeparture:
      return "no new calls after departure";
    case Rule::kPlannedStopInterruptsNoCall:
      return "planned stop interrupts no call";
    case Rule::kSingleFinalOutput:
      return "single final output";
  }
  return "";
}

}  // namespace radishrudder::histories
