#ifndef RADISHRUDDER_DIRECT_CONFIGURATION_DIFF_H_
#define RADISHRUDDER_DIRECT_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "radishrudder/direct/configuration.h"

namespace radishrudder::direct {

enum class ChangeKind { kAdded, kRemoved, kChanged };

// One difference between two configurations.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string subject{};  // For example `route "chat"`.
  std::string detail{};   // For example "timeout: 500 ms -> 800 ms", or empty.
  std::string effect{};   // What it does to callers, in one sentence.
};

// Returns every difference that the entries act on, except the version: routes,
// then services, workspaces with their keys, and limits. Routes are matched by
// name, or by host and prefix if they have none.
std::vector<ConfigurationChange> CompareConfigurations(
    const Configuration& in_force,
    const Configuration& candidate);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CONFIGURATION_DIFF_H_
