#ifndef RADISHRUDDER_SERVING_LOAD_COLLECTOR_H_
#define RADISHRUDDER_SERVING_LOAD_COLLECTOR_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "radishrudder/direct/load_report.h"
#include "radishrudder/exchange/datagram_socket.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/peers/load_reports.h"

namespace radishrudder::serving {

struct LoadCollectorSettings {
  std::string instance{};
  // "IP:PORT" of this process for datagrams; empty: takes no reports.
  std::string address{};
  std::uint16_t agents_port = 0;  // The same on all instances.
};

// Connects an entry's `peers::LoadSubscriber` with a datagram socket. The
// socket is opened when there is an endpoint to subscribe to. One thread: that
// of the context.
class LoadCollector {
 public:
  using Handler = std::function<void(const direct::EndpointLoadReport& report)>;

  LoadCollector(asio::io_context& context,
                LoadCollectorSettings settings,
                Handler handler);

  // Replaces the endpoints that reports are wanted of.
  void SetEndpoints(kernel::Time now,
                    std::span<const direct::ReportedEndpoint> endpoints);
  // Sends subscriptions that are due; must be called every few tens of
  // milliseconds.
  void OnTick(kernel::Time now);

  // Whether there has been an endpoint to subscribe to.
  bool WasUsed() const { return m_open_attempted; }
  std::size_t FreshReports(kernel::Time now) const {
    return m_subscriber.FreshReports(now);
  }
  const peers::LoadSubscriber& Subscriber() const { return m_subscriber; }
  const exchange::DatagramSocket& Socket() const { return m_socket; }

 private:
  // Whether reports of a service arrive, as last logged.
  struct ServiceState {
    std::optional<kernel::Time> received_at{};
    bool arrive = false;
  };

  void Open();
  void OnDatagram(std::string_view sender, std::string_view bytes);
  void LogChanges(kernel::Time now);

  LoadCollectorSettings m_settings;
  Handler m_handler;
  peers::LoadSubscriber m_subscriber{peers::LoadSubscriberSettings{}};
  exchange::DatagramSocket m_socket;
  bool m_open_attempted = false;
  std::map<std::string, std::string, std::less<>> m_services;  // By endpoint.
  std::map<std::string, ServiceState, std::less<>> m_states;   // By service.
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_LOAD_COLLECTOR_H_
