#include "radishrudder/serving/call_journal.h"

#include <chrono>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::serving {
namespace {

constexpr std::size_t kMaximumSeries = 512;
// Log lines about calls that a process may write: sustained rate and burst.
constexpr double kLinesPerSecond = 40;
constexpr double kMaximumLineBurst = 200;
// One of this many successes is logged.
constexpr std::uint64_t kSuccessSampleInterval = 64;
constexpr int kFirstError = 400;
// Delays of the process from here on are logged.
constexpr std::chrono::milliseconds kLoggedDelay{250};

const logging::Event& EventOf(const direct::CallRecord& record) {
  switch (record.kind) {
    case direct::CallRecord::Kind::kAttemptFailed:
      return logging::kAttemptFailed;
    case direct::CallRecord::Kind::kAttemptRefused:
      return logging::kAttemptRefused;
    case direct::CallRecord::Kind::kCallerLeft:
      return logging::kCallerLeft;
    case direct::CallRecord::Kind::kEnded:
      break;
  }
  if (record.reason == direct::Reason::kNone) {
    return logging::kCallAnswered;
  }
  return record.status == 0 || record.attempts > 0 ? logging::kCallFailed
                                                   : logging::kCallRefused;
}

bool IsSuccess(const direct::CallRecord& record) {
  return record.kind == direct::CallRecord::Kind::kEnded &&
         record.reason == direct::Reason::kNone && record.status < kFirstError;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

}  // namespace

CallJournal::CallJournal(std::string instance)
    : m_instance(std::move(instance)),
      m_metrics(kMaximumSeries),
      m_line_budget(kLinesPerSecond, kMaximumLineBurst, kernel::Now()) {}

bool CallJournal::MayLog(kernel::Time now, const direct::CallRecord& record) {
  if (IsSuccess(record) && m_successes++ % kSuccessSampleInterval != 0) {
    return false;
  }
  return TryTakeLine(now);
}

bool CallJournal::TryTakeLine(kernel::Time now) {
  if (m_line_budget.TryTake(now, 1)) {
    return true;
  }
  ++m_suppressed_lines;
  return false;
}

void CallJournal::RecordCut(kernel::Time now,
                            const direct::CallRecord& record,
                            std::chrono::milliseconds after_stop) {
  m_metrics.Count("radishrudder_calls_cut_total",
                  {{"service", record.service}});
  if (!TryTakeLine(now)) {
    return;
  }
  logging::Log(logging::kCallCut,
               {{"id", record.attempt_id},
                {"route", record.route},
                {"service", record.service},
                {"endpoint", record.endpoint},
                {"attempts", std::to_string(record.attempts)},
                {"events", std::to_string(record.events)},
                {"elapsed_ms", std::to_string(record.elapsed.count())},
                {"after_stop_ms", std::to_string(after_stop.count())},
                {"lines_left_out",
                 std::to_string(std::exchange(m_suppressed_lines, 0))}});
}

void CallJournal::RecordCallerLeft(kernel::Time now,
                                   const direct::CallRecord& record,
                                   const CallerConnections& connections) {
  const std::string stage(direct::ToText(record.stage));
  m_metrics.Count("radishrudder_callers_gone_total",
                  {{"service", record.service}, {"stage", stage}});
  if (!TryTakeLine(now)) {
    return;
  }
  logging::Log(logging::kCallerLeft,
               {{"id", record.attempt_id},
                {"route", record.route},
                {"service", record.service},
                {"endpoint", record.endpoint},
                {"stage", stage},
                {"attempts", std::to_string(record.attempts)},
                {"elapsed_ms", std::to_string(record.elapsed.count())},
                {"sent_ms", std::to_string(record.sent_for.count())},
                {"unacknowledged_bytes",
                 std::to_string(connections.unacknowledged_bytes)},
                {"bytes_behind", std::to_string(connections.bytes_behind)},
                {"lines_left_out",
                 std::to_string(std::exchange(m_suppressed_lines, 0))}});
}

void CallJournal::RecordDelay(std::chrono::milliseconds delay) {
  m_metrics.Observe("radishrudder_process_delay_seconds", {},
                    std::chrono::duration<double>(delay).count());
  if (delay >= kLoggedDelay) {
    logging::Log(logging::kProcessDelayed,
                 {{"instance", m_instance},
                  {"delay_ms", std::to_string(delay.count())}});
  }
}

void CallJournal::RecordPause(kernel::Time now,
                              const direct::EndpointPaused& pause) {
  m_metrics.Count("radishrudder_endpoint_pauses_total",
                  {{"service", pause.service}});
  if (TryTakeLine(now)) {
    logging::Log(logging::kEndpointPaused,
                 {{"instance", m_instance},
                  {"service", pause.service},
                  {"endpoint", pause.endpoint},
                  {"id", pause.attempt_id},
                  {"requested_ms", std::to_string(pause.requested.count())},
                  {"duration_ms", std::to_string(pause.duration.count())}});
  }
}

void CallJournal::RecordLeaving(kernel::Time now,
                                const direct::EndpointLeaves& leaves) {
  m_metrics.Count("radishrudder_endpoints_leaving_total",
                  {{"service", leaves.service}});
  if (TryTakeLine(now)) {
    logging::Log(logging::kEndpointLeaves, {{"instance", m_instance},
                                            {"service", leaves.service},
                                            {"endpoint", leaves.endpoint},
                                            {"id", leaves.attempt_id}});
  }
}

void CallJournal::RecordLimit(kernel::Time now,
                              const direct::EndpointLimited& limit) {
  m_metrics.Count("radishrudder_endpoint_limit_changes_total",
                  {{"service", limit.service}});
  if (TryTakeLine(now)) {
    logging::Log(
        logging::kEndpointLimited,
        {{"instance", m_instance},
         {"service", limit.service},
         {"endpoint", limit.endpoint},
         {"id", limit.attempt_id},
         {"requests_per_second",
          limit.requests_per_second ? std::to_string(*limit.requests_per_second)
                                    : std::string()}});
  }
}

void CallJournal::RecordNoAllowedRegion(
    kernel::Time now,
    const direct::NoAllowedRegion& refusal) {
  m_metrics.Count("radishrudder_routes_without_region_total", {});
  if (TryTakeLine(now)) {
    logging::Log(logging::kNoAllowedRegion,
                 {{"instance", m_instance},
                  {"route", refusal.route},
                  {"workspace", refusal.workspace},
                  {"configuration", std::to_string(refusal.configuration)}});
  }
}

void CallJournal::RecordEvacuation(
    const direct::DataCentreEvacuated& evacuation) {
  // Any name can be written to the store; each would be a series of its own.
  m_metrics.Count(
      "radishrudder_evacuation_changes_total",
      {{"data_centre", evacuation.known ? evacuation.data_centre : "unknown"}});
  logging::Log(
      evacuation.evacuated ? logging::kEvacuated : logging::kEvacuationEnded,
      {{"instance", m_instance},
       {"data_centre", evacuation.data_centre},
       {"known", evacuation.known ? "yes" : "no"}});
}

void CallJournal::RecordCold(kernel::Time now,
                             const direct::EndpointCold& cold) {
  m_metrics.Count("radishrudder_endpoint_cold_changes_total",
                  {{"service", cold.service}});
  if (TryTakeLine(now)) {
    logging::Log(logging::kEndpointCold,
                 {{"instance", m_instance},
                  {"service", cold.service},
                  {"endpoint", cold.endpoint},
                  {"cold", cold.cold ? "yes" : "no"},
                  {"duration_ms", std::to_string(cold.duration.count())}});
  }
}

void CallJournal::Record(kernel::Time now, const direct::CallRecord& record) {
  const std::string reason(direct::ToText(record.reason));
  if (record.kind == direct::CallRecord::Kind::kEnded) {
    m_metrics.Count("radishrudder_calls_total",
                    {{"service", record.service},
                     {"status", std::to_string(record.status)},
                     {"reason", reason}});
    m_metrics.Observe("radishrudder_call_seconds",
                      {{"service", record.service}},
                      std::chrono::duration<double>(record.elapsed).count());
    if (record.waited.count() > 0) {
      m_metrics.Observe(
          "radishrudder_call_wait_seconds",
          {{"service", record.service}, {"rank", std::to_string(record.rank)}},
          std::chrono::duration<double>(record.waited).count());
    }
  } else {
    m_metrics.Count("radishrudder_attempts_failed_total",
                    {{"service", record.service}, {"reason", reason}});
  }
  if (!MayLog(now, record)) {
    return;
  }
  const std::uint64_t suppressed_lines = std::exchange(m_suppressed_lines, 0);
  logging::Log(EventOf(record),
               {{"id", record.attempt_id},
                {"route", record.route},
                {"service", record.service},
                {"endpoint", record.endpoint},
                {"status", std::to_string(record.status)},
                {"reason", reason},
                {"attempts", std::to_string(record.attempts)},
                {"elapsed_ms", std::to_string(record.elapsed.count())},
                {"rank", std::to_string(record.rank)},
                {"waited_ms", std::to_string(record.waited.count())},
                {"configuration_age_ms",
                 std::to_string(record.configuration_age.count())},
                {"detail", record.detail},
                {"events", std::to_string(record.events)},
                {"prompt_parts", Join(record.prompt_parts)},
                {"request", record.request_digest},
                {"lines_left_out", std::to_string(suppressed_lines)}});
}

void CallJournal::RecordLoadReports(kernel::Time now,
                                    const LoadCollector& collector) {
  if (!collector.WasUsed()) {
    return;
  }
  const peers::LoadSubscriber::Counters& reports =
      collector.Subscriber().Count();
  const exchange::DatagramSocket::Counters& datagrams =
      collector.Socket().Count();
  const std::string dropped = "radishrudder_load_datagrams_dropped_total";
  CountTotal("radishrudder_load_datagrams_sent_total", "", datagrams.sent);
  CountTotal("radishrudder_load_datagrams_received_total", "",
             datagrams.received);
  CountTotal(dropped, "malformed", reports.malformed);
  CountTotal(dropped, "unknown_sender", reports.unknown_sender);
  CountTotal(dropped, "other_run", reports.other_run);
  CountTotal(dropped, "out_of_order", reports.out_of_order);
  CountTotal(dropped, "too_long", datagrams.too_long);
  CountTotal(dropped, "send_failed", datagrams.send_failed);
  CountTotal(dropped, "receive_failed", datagrams.receive_failed);
  m_metrics.Gauge("radishrudder_endpoints_with_load_report", {},
                  static_cast<double>(collector.FreshReports(now)));
}

void CallJournal::RecordGauges(const direct::EntryGauges& gauges) {
  for (const direct::ServiceGauges& service : gauges.services) {
    const std::vector<metrics::Label> labels{{"service", service.service}};
    m_metrics.Gauge("radishrudder_calls_waiting", labels,
                    static_cast<double>(service.waiting_calls));
    m_metrics.Gauge("radishrudder_endpoints_cold", labels,
                    static_cast<double>(service.cold_endpoints));
  }
  m_metrics.Gauge("radishrudder_data_centres_evacuated", {},
                  static_cast<double>(gauges.evacuated_data_centres));
  // Without answers there is no error; 0 would look like a perfect estimate.
  if (gauges.median_cost_error > 0) {
    const std::string error = "radishrudder_answer_length_error";
    m_metrics.Gauge(error, {{"quantile", "0.5"}}, gauges.median_cost_error);
    m_metrics.Gauge(error, {{"quantile", "0.9"}}, gauges.high_cost_error);
  }
}

void CallJournal::RecordCallerMemory(const exchange::MemoryAccount& account) {
  m_metrics.Gauge("radishrudder_caller_memory_bytes", {},
                  static_cast<double>(account.BytesHeld()));
  m_metrics.Gauge("radishrudder_caller_connections", {},
                  static_cast<double>(account.Connections()));
  CountTotal("radishrudder_callers_ended_total", "", account.Shortages());
}

void CallJournal::CountTotal(const std::string& name,
                             const std::string& reason,
                             std::uint64_t total) {
  std::vector<metrics::Label> labels;
  if (!reason.empty()) {
    labels.push_back({"reason", reason});
  }
  std::uint64_t& counted = m_totals[{name, reason}];
  m_metrics.Count(name, labels, static_cast<double>(total - counted));
  counted = total;
}

void CallJournal::LogFindings(const kernel::Findings& findings) {
  for (const kernel::Finding& finding : findings.Items()) {
    logging::Log(logging::kDocumentRejected,
                 {{"finding", kernel::Format(finding)}});
  }
}

}  // namespace radishrudder::serving
