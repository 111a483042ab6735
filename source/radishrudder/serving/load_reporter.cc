#include "radishrudder/serving/load_reporter.h"

#include <chrono>
#include <optional>
#include <utility>
#include <variant>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::serving {
namespace {

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          kernel::SystemClock().WallNow().time_since_epoch())
          .count());
}

peers::EndpointLoad ToLoad(const staging::EndpointReport& report) {
  return {.started_at_ms = report.started_at_ms,
          .running = report.running,
          .waiting = report.waiting,
          .pace = report.pace,
          .takes_no_new_calls = report.busy,
          .model = report.model,
          .version = report.version,
          .cache_used = report.cache_used,
          .cache_total = report.cache_total};
}

}  // namespace

void LogDatagramProblem(std::string_view instance,
                        exchange::DatagramSocket::Operation operation,
                        std::error_code error) {
  logging::Log(
      logging::kDatagramFailed,
      {{"instance", std::string(instance)},
       {"operation", operation == exchange::DatagramSocket::Operation::kSend
                         ? "send"
                         : "receive"},
       {"problem", error.message()}});
}

LoadReporter::LoadReporter(asio::io_context& context,
                           std::string instance,
                           ReadReport read_report)
    : m_instance(std::move(instance)),
      m_read_report(std::move(read_report)),
      m_publisher({.first_sequence = UnixMilliseconds()}),
      m_socket(
          context,
          [this](std::string_view sender, std::string_view bytes) {
            const kernel::Time now = kernel::Now();
            m_publisher.OnDatagram(now, sender, bytes);
            Advance(now);
          },
          [this](exchange::DatagramSocket::Operation operation,
                 std::error_code error) {
            LogDatagramProblem(m_instance, operation, error);
          }),
      m_timer(context) {}

std::error_code LoadReporter::Listen(std::string_view address) {
  const std::error_code error = m_socket.Open(address);
  if (error) {
    logging::Log(logging::kDatagramFailed, {{"instance", m_instance},
                                            {"operation", "open"},
                                            {"problem", error.message()}});
  }
  return error;
}

void LoadReporter::OnOrderSent(kernel::Time now) {
  m_publisher.OnOrderSent(now);
  Advance(now);
}

void LoadReporter::OnOrderResult(kernel::Time now,
                                 staging::OrderResult result) {
  // Without a response, the endpoint may have started to load.
  m_publisher.OnOrderResult(
      now, /*refused=*/result != staging::OrderResult::kStarted &&
               result != staging::OrderResult::kNoResponse);
  Advance(now);
}

void LoadReporter::OnReport(const staging::EndpointReport& report) {
  const kernel::Time now = kernel::Now();
  m_publisher.OnReading(
      now, report.reachable ? std::optional(ToLoad(report)) : std::nullopt);
  Advance(now);
}

void LoadReporter::OnTimer() {
  const kernel::Time now = kernel::Now();
  m_timer_due = kernel::Time::max();
  m_publisher.OnTick(now);
  Advance(now);
}

void LoadReporter::Advance(kernel::Time now) {
  for (const peers::LoadPublisherOutput& output : m_publisher.TakeOutputs()) {
    if (const auto* send = std::get_if<peers::SendLoadDatagram>(&output)) {
      m_socket.Send(send->address, send->bytes);
    } else {
      m_read_report(
          [this](const staging::EndpointReport& report) { OnReport(report); });
    }
  }
  const kernel::Time due = m_publisher.NextTick();
  if (due == m_timer_due) {
    return;
  }
  m_timer_due = due;
  if (due == kernel::Time::max()) {
    m_timer.cancel();
    return;
  }
  m_timer.expires_after(due - now);
  m_timer.async_wait([this](std::error_code error) {
    if (!error) {
      OnTimer();
    }
  });
}

}  // namespace radishrudder::serving
