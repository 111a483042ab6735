#include <cstdlib>
#include <iostream>
#include <optional>

#include "measure/routing/cluster.h"
#include "measure/routing/options.h"
#include "measure/routing/report.h"
#include "measure/routing/router_state.h"
#include "radishrudder/routing/policy.h"

namespace {

using radishrudder::measure::Cluster;
using radishrudder::measure::Options;
using radishrudder::measure::PolicyFigures;

std::vector<PolicyFigures> MeasurePolicies(const Options& options) {
  std::vector<std::string> names = options.policies;
  if (names.empty()) {
    names = radishrudder::routing::PolicyRegistry::Instance().Names();
  }
  std::vector<PolicyFigures> measured;
  for (const std::string& name : names) {
    std::cerr << "measuring " << name << "\n";
    measured.push_back({name, Cluster(options, name).Run()});
  }
  return measured;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = radishrudder::measure::ParseOptions(argc, argv);
  if (!options) {
    return EXIT_FAILURE;
  }
  std::optional<radishrudder::measure::RouterState> state;
  if (options->router_state) {
    state = radishrudder::measure::MeasureRouterState();
  }
  const std::vector<PolicyFigures> measured = MeasurePolicies(*options);
  std::cout << radishrudder::measure::FormatReport(*options, measured, state)
            << "\n";
  return EXIT_SUCCESS;
}
