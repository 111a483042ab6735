#ifndef RADISHRUDDER_KERNEL_PROCESS_SIGNALS_H_
#define RADISHRUDDER_KERNEL_PROCESS_SIGNALS_H_

namespace radishrudder::kernel {

// Ignores the signals whose default action ends a process although they report
// no fault of it and do not ask it to stop: SIGHUP, SIGPIPE, the user-defined
// ones and those of timers, input and power. Signals that already have another
// disposition keep it. To be called first in the `main` of a server.
void IgnoreStraySignals();

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_PROCESS_SIGNALS_H_
