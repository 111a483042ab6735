#ifndef RADISHRUDDER_DIRECT_SERVICE_CHECKS_H_
#define RADISHRUDDER_DIRECT_SERVICE_CHECKS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "radishrudder/direct/configuration_check.h"

namespace radishrudder::direct {

// Returns how many endpoints of a service are listed and not leaving.
std::size_t CountEndpoints(std::string_view service,
                           const std::vector<ListedEndpoint>& endpoints);

// Checks that services have endpoints, and their cold rates.
void CheckServiceRules(const Configuration& candidate,
                       const CheckContext& context,
                       kernel::Findings& findings);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_SERVICE_CHECKS_H_
