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
  kOnce,            // Must not be repeated; sent without a key.
  kOnceWithKey,     // Sent with a key that the system issued.
  kOnceWithOwnKey,  // First sent with a key of the caller's.
};

// One call as its caller made it and saw it end.
struct Invocation {
  int operation = 0;
  OperationKind kind = OperationKind::kIdempotent;
  kernel::Time called{};
  bool lost = false;  // The entry died or the caller left.
  int ends = 0;       // Final outputs seen.
  int outputs_after_end = 0;
  bool whole = false;
  wire::Outcome failed = wire::OUTCOME_UNSPECIFIED;
  std::string digest{};
  std::string body{};
  std::string detail{};  // Key used and text of the failure.
};

// One call as the endpoint saw it.
struct Execution {
  int operation = 0;
  int invocation = 0;
  wire::ProcessKey agent{};
  kernel::Time started{};
  std::string digest{};  // What the endpoint ran when it began to answer.
  bool mixed = false;    // It changed its weights before the end.
  bool complete = false;
  std::string body{};
};

// From when on an instance was leaving.
struct Departure {
  std::string instance{};
  kernel::Time at{};
};

// What a recorder noted of one run.
struct History {
  bool only_planned_stops = false;
  std::vector<Invocation> invocations{};
  std::vector<Execution> executions{};
  std::vector<Departure> departures{};
};

enum class Rule {
  kAtMostOnce,
  kTrueNotRun,
  kWholeAndOwn,
  kOneDigest,
  kNoNewWorkAfterLeaving,
  kPlannedStopInterruptsNothing,
  kOneEnd,
};

struct Violation {
  Rule rule = Rule::kAtMostOnce;
  std::string detail{};
};

// Checks a whole history, in which nothing can happen any more.
std::vector<Violation> Check(const History& history);

std::string_view Name(Rule rule);

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_HISTORY_H_
