#include "radishrudder/serving/call_journal.h"

#include <chrono>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::serving {
namespace {

constexpr std::size_t kMaximumSeries = 512;
// Lines about calls that a process may write, a second and at once.
constexpr double kLinesPerSecond = 40;
constexpr double kLinesAtOnce = 200;
// One of so many successes is logged.
constexpr std::uint64_t kSuccessSample = 64;
constexpr int kFirstError = 400;

const logging::Event& EventOf(const direct::Note& note) {
  switch (note.kind) {
    case direct::Note::Kind::kAttemptFailed:
      return logging::kAttemptFailed;
    case direct::Note::Kind::kAttemptRefused:
      return logging::kAttemptRefused;
    case direct::Note::Kind::kEnded:
      break;
  }
  if (note.reason == direct::Reason::kNone) {
    return logging::kCallAnswered;
  }
  return note.status == 0 || note.attempts > 0 ? logging::kCallFailed
                                               : logging::kCallRefused;
}

bool IsSuccess(const direct::Note& note) {
  return note.kind == direct::Note::Kind::kEnded &&
         note.reason == direct::Reason::kNone && note.status < kFirstError;
}

}  // namespace

CallJournal::CallJournal(std::string instance)
    : m_instance(std::move(instance)),
      m_metrics(kMaximumSeries),
      m_lines(kLinesPerSecond, kLinesAtOnce, kernel::Now()) {}

bool CallJournal::MayLog(kernel::Time now, const direct::Note& note) {
  if (IsSuccess(note) && m_successes++ % kSuccessSample != 0) {
    return false;
  }
  if (m_lines.TryTake(now, 1)) {
    return true;
  }
  ++m_left_out;
  return false;
}

void CallJournal::Tell(kernel::Time now, const direct::Note& note) {
  const std::string reason(direct::ToText(note.reason));
  if (note.kind == direct::Note::Kind::kEnded) {
    m_metrics.Count("radishrudder_calls_total",
                    {{"service", note.service},
                     {"status", std::to_string(note.status)},
                     {"reason", reason}});
    m_metrics.Observe("radishrudder_call_seconds", {{"service", note.service}},
                      std::chrono::duration<double>(note.elapsed).count());
  } else {
    m_metrics.Count("radishrudder_attempts_failed_total",
                    {{"service", note.service}, {"reason", reason}});
  }
  if (!MayLog(now, note)) {
    return;
  }
  const std::uint64_t left_out = std::exchange(m_left_out, 0);
  logging::Log(
      EventOf(note),
      {{"id", note.attempt_id},
       {"route", note.route},
       {"service", note.service},
       {"endpoint", note.endpoint},
       {"status", std::to_string(note.status)},
       {"reason", reason},
       {"attempts", std::to_string(note.attempts)},
       {"elapsed_ms", std::to_string(note.elapsed.count())},
       {"configuration_age_ms", std::to_string(note.configuration_age.count())},
       {"detail", note.detail},
       {"lines_left_out", std::to_string(left_out)}});
}

void CallJournal::TellFindings(const kernel::Findings& findings) {
  for (const kernel::Finding& finding : findings.Items()) {
    logging::Log(logging::kDocumentRejected,
                 {{"finding", kernel::Format(finding)}});
  }
}

}  // namespace radishrudder::serving
