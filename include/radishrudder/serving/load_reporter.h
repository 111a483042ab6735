#ifndef RADISHRUDDER_SERVING_LOAD_REPORTER_H_
#define RADISHRUDDER_SERVING_LOAD_REPORTER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

#include "radishrudder/exchange/datagram_socket.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/peers/load_reports.h"
#include "radishrudder/staging/stager.h"

namespace radishrudder::serving {

// Connects an agent's `peers::LoadPublisher` with a datagram socket, a timer
// and the local endpoint. One thread: that of the context.
class LoadReporter {
 public:
  using Done = std::function<void(const staging::EndpointReport& report)>;
  // Requests the endpoint's report. Calls `done` once, not before it returns,
  // with an unreachable one if there is none.
  using ReadReport = std::function<void(Done done)>;

  LoadReporter(asio::io_context& context,
               std::string instance,
               ReadReport read_report);

  // Takes subscriptions at "IP:PORT". A failure is logged and returned; the
  // agent does its other work without reports.
  std::error_code Listen(std::string_view address);
  void OnOrderSent(kernel::Time now);
  void OnOrderResult(kernel::Time now, staging::OrderResult result);

  std::string Address() const { return m_socket.Address(); }
  const peers::LoadPublisher& Publisher() const { return m_publisher; }

 private:
  void OnReport(const staging::EndpointReport& report);
  void OnTimer();
  // Carries out the outputs and sets the timer.
  void Advance(kernel::Time now);

  std::string m_instance;
  ReadReport m_read_report;
  peers::LoadPublisher m_publisher;
  exchange::DatagramSocket m_socket;
  asio::steady_timer m_timer;
  kernel::Time m_timer_due = kernel::Time::max();
};

// Writes the event for a problem of a datagram socket.
void LogDatagramProblem(std::string_view instance,
                        exchange::DatagramSocket::Operation operation,
                        std::error_code error);

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_LOAD_REPORTER_H_
