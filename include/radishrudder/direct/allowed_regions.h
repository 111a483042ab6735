#ifndef RADISHRUDDER_DIRECT_ALLOWED_REGIONS_H_
#define RADISHRUDDER_DIRECT_ALLOWED_REGIONS_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::direct {

// Region of each data centre.
using RegionsByDataCentre = std::map<std::string, std::string, std::less<>>;

// The data centres, sorted, whose endpoints may take a call that its route and
// its workspace limit to regions. An empty list limits nothing; regions must be
// in both lists otherwise. Nothing: no limit applies. A data centre without a
// region is in none of them.
std::optional<std::vector<std::string>> AllowedDataCentres(
    std::span<const std::string> route_regions,
    std::span<const std::string> workspace_regions,
    const RegionsByDataCentre& regions);

// Whether a data centre is among those that `AllowedDataCentres` returned.
bool IsAllowed(std::optional<std::span<const std::string>> allowed,
               std::string_view data_centre);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ALLOWED_REGIONS_H_
