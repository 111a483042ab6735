#include "serve.h"

#include <csignal>
#include <iostream>

#include "radishrudder/kernel/findings.h"
#include "radishrudder/kernel/process_signals.h"
#include "radishrudder/settings/settings.h"

namespace radishrudder::standin {
namespace {

constexpr std::size_t kMaximumBodyBytes = 64U << 20U;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

int Serve(std::uint16_t port, const MakeStandIn& make) {
  kernel::IgnoreStraySignals();
  // Blocked before the first thread starts, which inherits this.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Scheduler scheduler;
  const auto stand_in = make(scheduler);
  http::Server server(
      {.port = port, .maximum_body_bytes = kMaximumBodyBytes},
      [&](const http::Request& request, const ResponderPointer& responder) {
        stand_in->Handle(request, responder);
      });
  if (const std::error_code error = server.Start()) {
    kernel::Findings findings;
    findings.Error({"--port", 0, 0, ""},
                   std::to_string(port) + ": " + error.message(),
                   "a free port, or 0 for any");
    std::cerr << kernel::Format(findings);
    return settings::kExitFailure;
  }
  std::cout << "listening " << server.Port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop();
  return settings::kExitSuccess;
}

}  // namespace radishrudder::standin
