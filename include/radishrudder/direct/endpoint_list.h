#ifndef RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_
#define RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::direct {

// One endpoint as the platform's endpoint list describes it.
struct ListedEndpoint {
  std::string id{};
  std::string service{};
  std::string address{};  // "IP:PORT".
  std::string data_centre{};
  std::uint32_t slots = 0;    // Maximum concurrent calls; 0: not stated.
  std::uint64_t started = 0;  // Unix time in milliseconds; 0: not stated.
  bool leaving = false;
  // How long the endpoint stays cold, as of its entry in the list.
  std::chrono::milliseconds cold_time{0};
  std::string model{};  // Empty: the endpoint holds no complete model.
  std::uint64_t model_version = 0;  // Version of all layers; 0: none, or mixed.
  // Store revision of the last change, and the era of the store that counts it.
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

struct EndpointListSettings {
  // Endpoints that expired while the list was unreachable are kept for this
  // long after it is reachable again, so that they can reappear.
  kernel::Duration expired_endpoint_grace = std::chrono::seconds(2);
  // After the list has been reachable for this long, a missing endpoint counts
  // as removed at once.
  kernel::Duration settling_time = std::chrono::seconds(3);
};

// The endpoints as last read from the store. An update with a lower era and
// revision than the known ones of its endpoint is ignored. A store that comes
// back from an older copy, in a new era, brings back nothing that was known to
// leave or to be removed.
class EndpointList {
 public:
  explicit EndpointList(EndpointListSettings settings) : m_settings(settings) {}

  // Each returns whether the list changed.
  bool OnUpdate(const ListedEndpoint& endpoint);
  bool OnRemoved(kernel::Time now,
                 std::string_view id,
                 std::uint64_t revision,
                 std::uint64_t era = 0);
  // The complete list as of `revision`.
  bool OnSnapshot(kernel::Time now,
                  const std::vector<ListedEndpoint>& endpoints,
                  std::uint64_t revision,
                  std::uint64_t era = 0);
  // Reading the list failed, or succeeded again.
  void OnUnreachable(kernel::Time now);
  void OnReachable(kernel::Time now);
  // Removes expired endpoints whose grace period is over.
  bool OnTick(kernel::Time now);

  // Returns all known endpoints, including those that are leaving.
  std::vector<ListedEndpoint> Endpoints() const;
  const ListedEndpoint* Find(std::string_view id) const;
  std::size_t Size() const { return m_endpoints.size(); }

 private:
  struct TrackedEndpoint {
    ListedEndpoint endpoint;
    // Set if the endpoint expired: when it is removed.
    std::optional<kernel::Time> remove_at;
  };

  // Of the run that was removed.
  struct Removal {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    std::uint64_t started = 0;
    bool leaving = false;
  };

  bool MayHaveExpired(kernel::Time now) const;
  // Returns whether the entry of an older copy of the list says less than what
  // is known of the endpoint. If so, later changes are compared with the entry.
  bool IsOutdatedCopy(const ListedEndpoint& copied);

  EndpointListSettings m_settings;
  std::map<std::string, TrackedEndpoint, std::less<>> m_endpoints;
  // By id, so that an older update does not add them again.
  std::map<std::string, Removal, std::less<>> m_removed;
  std::uint64_t m_era = 0;  // Of the latest snapshot; 0: none.
  bool m_unreachable = false;
  std::optional<kernel::Time> m_reachable_since;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_
