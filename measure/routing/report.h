#ifndef RADISHRUDDER_MEASURE_ROUTING_REPORT_H_
#define RADISHRUDDER_MEASURE_ROUTING_REPORT_H_

#include <optional>
#include <span>
#include <string>

#include "measure/routing/figures.h"
#include "measure/routing/options.h"
#include "measure/routing/router_state.h"

namespace radishrudder::measure {

struct PolicyFigures {
  std::string policy;
  Figures figures;
};

// Returns the last line of the program: one JSON object.
std::string FormatReport(const Options& options,
                         std::span<const PolicyFigures> policies,
                         const std::optional<RouterState>& state);

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_REPORT_H_
