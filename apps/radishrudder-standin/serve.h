#ifndef RADISHRUDDER_STANDIN_SERVE_H_
#define RADISHRUDDER_STANDIN_SERVE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "stand_in.h"

namespace radishrudder::standin {

using MakeStandIn = std::function<std::unique_ptr<StandIn>(Scheduler&)>;

// Serves a stand-in on 127.0.0.1 until SIGTERM or SIGINT; prints
// "listening PORT" first. Returns the exit code.
int Serve(std::uint16_t port, const MakeStandIn& make);

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_SERVE_H_
