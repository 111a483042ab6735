#ifndef RADISHRUDDER_DIRECT_CONFIGURATION_CHECK_H_
#define RADISHRUDDER_DIRECT_CONFIGURATION_CHECK_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/kernel/findings.h"

namespace radishrudder::direct {

// What a configuration is checked against. Checks that need a missing part are
// left out.
struct CheckContext {
  std::optional<Configuration> in_force{};
  std::optional<std::vector<ListedEndpoint>> endpoints{};
  std::optional<std::set<std::string, std::less<>>> regions{};
};

// Checks a decoded configuration before it is sent to the entries. The place of
// a finding names the route, workspace, service or limit. An error is an entry
// that can't have any effect or that rejects calls; what an operator may want
// is a warning.
kernel::Findings CheckConfiguration(const Configuration& candidate,
                                    const CheckContext& context);

// Returns the first characters of a key, at most four and never all of them,
// followed by "...".
std::string AbbreviatedKey(std::string_view key);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CONFIGURATION_CHECK_H_
