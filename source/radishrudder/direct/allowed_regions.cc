#include "radishrudder/direct/allowed_regions.h"

#include <algorithm>

namespace radishrudder::direct {
namespace {

bool Allows(std::span<const std::string> list, std::string_view region) {
  return list.empty() || std::ranges::find(list, region) != list.end();
}

}  // namespace

std::optional<std::vector<std::string>> AllowedDataCentres(
    std::span<const std::string> route_regions,
    std::span<const std::string> workspace_regions,
    const RegionsByDataCentre& regions) {
  if (route_regions.empty() && workspace_regions.empty()) {
    return std::nullopt;
  }
  std::vector<std::string> allowed;
  for (const auto& [data_centre, region] : regions) {
    if (!region.empty() && Allows(route_regions, region) &&
        Allows(workspace_regions, region)) {
      allowed.push_back(data_centre);
    }
  }
  return allowed;
}

bool IsAllowed(std::optional<std::span<const std::string>> allowed,
               std::string_view data_centre) {
  return !allowed || std::ranges::find(*allowed, data_centre) != allowed->end();
}

}  // namespace radishrudder::direct
