#include "radishrudder/routing/endpoint_subset.h"

#include <algorithm>
#include <cstdint>
#include <map>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::routing {
namespace {

struct RankedEndpoint {
  std::size_t index = 0;
  double distance_seconds = 0;
  std::uint64_t weight = 0;
};

// Returns the endpoints that are not leaving, ordered by distance and, within
// one distance, by descending rendezvous weight.
std::vector<RankedEndpoint> RankEndpoints(std::string_view entry,
                                          std::span<const Endpoint> endpoints) {
  std::vector<RankedEndpoint> ranked;
  ranked.reserve(endpoints.size());
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (!endpoints[i].leaving) {
      ranked.push_back({i, endpoints[i].distance_seconds,
                        kernel::StableHash(entry, endpoints[i].instance)});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedEndpoint& a, const RankedEndpoint& b) {
              return a.distance_seconds != b.distance_seconds
                         ? a.distance_seconds < b.distance_seconds
                         : a.weight > b.weight;
            });
  return ranked;
}

// Appends endpoints of `ranked` to `subset` until `count` endpoints that are
// not suspected have been appended, but no more than twice `count` in total,
// which bounds the subset while many endpoints are suspected.
// Returns the number of appended endpoints that are not suspected.
std::size_t AppendEndpoints(std::span<const RankedEndpoint> ranked,
                            std::span<const Endpoint> endpoints,
                            std::size_t count,
                            std::vector<std::size_t>& subset) {
  std::size_t unsuspected = 0;
  std::size_t appended = 0;
  for (const RankedEndpoint& endpoint : ranked) {
    if (unsuspected == count || appended == 2 * count) {
      break;
    }
    subset.push_back(endpoint.index);
    ++appended;
    unsuspected += endpoints[endpoint.index].suspected ? 0 : 1;
  }
  return unsuspected;
}

// Appends endpoints of the data centres that have too few in `subset`.
void AppendMissing(std::span<const RankedEndpoint> ranked,
                   std::span<const Endpoint> endpoints,
                   std::size_t minimum,
                   std::vector<std::size_t>& subset) {
  if (minimum == 0 || subset.size() == ranked.size()) {
    return;
  }
  std::map<std::string_view, std::size_t> counts;
  std::vector<bool> selected(endpoints.size());
  for (const std::size_t index : subset) {
    ++counts[endpoints[index].data_centre];
    selected[index] = true;
  }
  for (const RankedEndpoint& endpoint : ranked) {
    std::size_t& count = counts[endpoints[endpoint.index].data_centre];
    if (!selected[endpoint.index] && count < minimum) {
      ++count;
      subset.push_back(endpoint.index);
    }
  }
}

}  // namespace

std::vector<std::size_t> SelectSubset(std::string_view entry,
                                      std::span<const Endpoint> endpoints,
                                      const SubsetSettings& settings) {
  const std::vector<RankedEndpoint> ranked = RankEndpoints(entry, endpoints);
  std::vector<std::size_t> subset;
  if (ranked.empty()) {
    return subset;
  }
  const double nearest_seconds = ranked.front().distance_seconds;
  const auto remote_begin = std::find_if(
      ranked.begin(), ranked.end(), [&](const RankedEndpoint& endpoint) {
        return endpoint.distance_seconds > nearest_seconds;
      });
  const std::span<const RankedEndpoint> near(ranked.begin(), remote_begin);
  const std::span<const RankedEndpoint> remote(remote_begin, ranked.end());
  const auto reserved =
      static_cast<std::size_t>(settings.remote_fraction * settings.size);
  const std::size_t remote_places = std::min(reserved, remote.size());
  const std::size_t near_unsuspected =
      AppendEndpoints(near, endpoints, settings.size - remote_places, subset);
  AppendEndpoints(remote, endpoints, settings.size - near_unsuspected, subset);
  AppendMissing(ranked, endpoints, settings.minimum_per_data_centre, subset);
  return subset;
}

}  // namespace radishrudder::routing
