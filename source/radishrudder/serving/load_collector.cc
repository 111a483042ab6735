#include "radishrudder/serving/load_collector.h"

#include <set>
#include <utility>
#include <vector>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"
#include "radishrudder/serving/load_reporter.h"

namespace radishrudder::serving {
namespace {

// Reports of a service have stopped when none came for this long, of any of
// its endpoints.
constexpr std::chrono::milliseconds kReportLifetime{1000};

}  // namespace

LoadCollector::LoadCollector(asio::io_context& context,
                             LoadCollectorSettings settings,
                             Handler handler)
    : m_settings(std::move(settings)),
      m_handler(std::move(handler)),
      m_socket(
          context,
          [this](std::string_view sender, std::string_view bytes) {
            OnDatagram(sender, bytes);
          },
          [this](exchange::DatagramSocket::Operation operation,
                 std::error_code error) {
            LogDatagramProblem(m_settings.instance, operation, error);
          }) {}

void LoadCollector::SetEndpoints(
    kernel::Time now,
    std::span<const direct::ReportedEndpoint> endpoints) {
  if (m_settings.address.empty() || (endpoints.empty() && !m_open_attempted)) {
    return;
  }
  Open();
  std::vector<peers::ReportedAgent> agents;
  std::set<std::string, std::less<>> services;
  m_services.clear();
  for (const direct::ReportedEndpoint& endpoint : endpoints) {
    // An endpoint's agent runs on the same machine and has the same IP.
    agents.push_back(
        {.endpoint = endpoint.id,
         .address = endpoint.address.substr(0, endpoint.address.find(':')) +
                    ":" + std::to_string(m_settings.agents_port),
         .started_at_ms = endpoint.started});
    m_services.emplace(endpoint.id, endpoint.service);
    services.insert(endpoint.service);
  }
  std::erase_if(m_states, [&services](const auto& item) {
    return !services.contains(item.first);
  });
  m_subscriber.SetAgents(now, agents);
}

void LoadCollector::Open() {
  if (std::exchange(m_open_attempted, true)) {
    return;
  }
  if (const std::error_code error = m_socket.Open(m_settings.address)) {
    logging::Log(logging::kDatagramFailed, {{"instance", m_settings.instance},
                                            {"operation", "open"},
                                            {"problem", error.message()}});
  }
}

void LoadCollector::OnTick(kernel::Time now) {
  m_subscriber.OnTick(now);
  for (const peers::SendLoadDatagram& output : m_subscriber.TakeOutputs()) {
    m_socket.Send(output.address, output.bytes);
  }
  LogChanges(now);
}

void LoadCollector::OnDatagram(std::string_view sender,
                               std::string_view bytes) {
  const kernel::Time now = kernel::Now();
  const auto received = m_subscriber.OnDatagram(now, sender, bytes);
  if (!received) {
    return;
  }
  const std::string& service = m_services.at(received->endpoint);
  m_states[service].received_at = now;
  const peers::EndpointLoad& load = received->load;
  m_handler({.service = service,
             .endpoint = received->endpoint,
             .started = load.started_at_ms,
             .running = load.running,
             .waiting = load.waiting,
             .pace = load.pace,
             .takes_no_new_calls = load.takes_no_new_calls,
             .model_version = load.version,
             .measured_at = received->measured_at});
}

void LoadCollector::LogChanges(kernel::Time now) {
  for (auto& [service, state] : m_states) {
    const bool arrive =
        state.received_at && now - *state.received_at < kReportLifetime;
    if (std::exchange(state.arrive, arrive) != arrive) {
      logging::Log(
          arrive ? logging::kLoadReportsArrive : logging::kLoadReportsStopped,
          {{"instance", m_settings.instance}, {"service", service}});
    }
  }
}

}  // namespace radishrudder::serving
