#ifndef TESTS_HISTORIES_HISTORY_H_
#define TESTS_HISTORIES_HISTORY_H_

#include <optional>
#include <string>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::histories {

enum class OperationKind {
  kIdempotent,
  kNonIdempotent,               // Sent without a key.
  kNonIdempotentWithIssuedKey,  // Sent with a key issued by an agent.
  kNonIdempotentWithCallerKey,  // First sent with a key that the caller chose.
};

// One call and its outputs, as observed by its caller.
struct Invocation {
  int operation = 0;
  OperationKind kind = OperationKind::kIdempotent;
  kernel::Time called{};
  bool lost = false;      // The entry restarted or the caller disconnected.
  int final_outputs = 0;  // Number of final outputs received.
  int outputs_after_end = 0;
  bool complete = false;
  wire::Outcome failed = wire::OUTCOME_UNSPECIFIED;
  std::string digest{};
  std::string body{};
  std::string detail{};  // The key used and the failure message.
};

// One execution of a call at an endpoint.
struct Execution {
  int operation = 0;
  int invocation = 0;
  wire::ProcessKey agent{};
  kernel::Time started{};
  std::string digest{};          // Digest that the endpoint ran at the start.
  bool version_changed = false;  // The endpoint changed its weights meanwhile.
  bool complete = false;
  std::string body{};
};

// Time at which an instance started to leave.
struct Departure {
  std::string instance{};
  kernel::Time at{};
};

// Recorded calls, executions and departures of one simulation run.
struct History {
  bool only_planned_stops = false;
  std::vector<Invocation> invocations{};
  std::vector<Execution> executions{};
  std::vector<Departure> departures{};
};

enum class Rule {
  kAtMostOnce,              // A non-idempotent operation runs at most once.
  kNotRunOutcomeIsCorrect,  // A call reported as not run has not run.
  kCompleteAnswerOfSameOperation,  // A complete answer is that of one execution
                                   // of its operation.
  kSingleDigest,  // An answer comes from one version of the weights.
  kNoNewCallsAfterDeparture,     // A leaving instance starts no calls.
  kPlannedStopInterruptsNoCall,  // Planned stops fail no started call.
  kSingleFinalOutput,  // One final output per call; none for lost calls.
};

struct Violation {
  Rule rule = Rule::kAtMostOnce;
  std::string detail{};
};

// Checks the history of a completed run and returns all violations.
std::vector<Violation> Check(const History& history);

std::string_view Name(Rule rule);

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_HISTORY_H_
