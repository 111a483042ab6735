#include "radishrudder/routing/endpoint_subset.h"

#include <algorithm>
#include <cstdint>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::routing {
namespace {

struct Ranked {
  std::size_t index = 0;
  double distance_seconds = 0;
  std::uint64_t weight = 0;
};

// Returns the endpoints that are not leaving, nearest first and by rendezvous
// weight inside the same distance.
std::vector<Ranked> Rank(std::string_view entry,
                         std::span<const Endpoint> endpoints) {
  std::vector<Ranked> ranked;
  ranked.reserve(endpoints.size());
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (!endpoints[i].leaving) {
      ranked.push_back({i, endpoints[i].distance_seconds,
                        kernel::StableHash(entry, endpoints[i].instance)});
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.distance_seconds != b.distance_seconds
               ? a.distance_seconds < b.distance_seconds
               : a.weight > b.weight;
  });
  return ranked;
}

// Takes endpoints of `ranked` until `places` unsuspected ones are taken, at
// most twice as many in all. Returns how many places were filled.
std::size_t Take(std::span<const Ranked> ranked,
                 std::span<const Endpoint> endpoints,
                 std::size_t places,
                 std::vector<std::size_t>& subset) {
  std::size_t filled = 0;
  std::size_t taken = 0;
  for (const Ranked& item : ranked) {
    if (filled == places || taken == 2 * places) {
      break;
    }
    subset.push_back(item.index);
    ++taken;
    filled += endpoints[item.index].suspected ? 0 : 1;
  }
  return filled;
}

}  // namespace

std::vector<std::size_t> SelectSubset(std::string_view entry,
                                      std::span<const Endpoint> endpoints,
                                      const SubsetSettings& settings) {
  const std::vector<Ranked> ranked = Rank(entry, endpoints);
  std::vector<std::size_t> subset;
  if (ranked.empty()) {
    return subset;
  }
  const double nearest = ranked.front().distance_seconds;
  const auto farther_begin = std::find_if(
      ranked.begin(), ranked.end(),
      [&](const Ranked& item) { return item.distance_seconds > nearest; });
  const std::span<const Ranked> near(ranked.begin(), farther_begin);
  const std::span<const Ranked> farther(farther_begin, ranked.end());
  const auto reserved =
      static_cast<std::size_t>(settings.farther_share * settings.size);
  const std::size_t farther_places = std::min(reserved, farther.size());
  const std::size_t near_filled =
      Take(near, endpoints, settings.size - farther_places, subset);
  Take(farther, endpoints, settings.size - near_filled, subset);
  return subset;
}

}  // namespace radishrudder::routing
