#include "radishrudder/kernel/process_signals.h"

#include <csignal>

namespace radishrudder::kernel {

void IgnoreStraySignals() {
  constexpr int kStraySignals[] = {SIGHUP,    SIGPIPE,   SIGUSR1, SIGUSR2,
                                   SIGALRM,   SIGVTALRM, SIGPROF, SIGIO,
                                   SIGSTKFLT, SIGPWR};
  for (const int signal : kStraySignals) {
    struct sigaction current {};
    if (sigaction(signal, nullptr, &current) == 0 &&
        (current.sa_flags & SA_SIGINFO) == 0 && current.sa_handler == SIG_DFL) {
      std::signal(signal, SIG_IGN);
    }
  }
}

}  // namespace radishrudder::kernel
