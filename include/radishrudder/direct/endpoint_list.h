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
  // An endpoint writes its entry to the list about this often. The list drops
  // an entry that was not written for three intervals.
  kernel::Duration heartbeat_interval = std::chrono::milliseconds(1200);
  // Endpoints whose entries expired while the store was away are kept for this
  // long after its return, so that they can reappear.
  kernel::Duration expired_endpoint_grace = std::chrono::seconds(2);
  // An expired endpoint that is still missing after this many returns of the
  // store is removed.
  std::uint32_t maximum_returns = 3;
};

// The endpoints as last read from the store. An update with a lower era and
// revision than the known ones of its endpoint is ignored. A store that comes
// back from an older copy, in a new era, brings back nothing that was known to
// leave or to be removed.
//
// A missing entry counts as removed, unless it may have expired because the
// store was away: it had not been written for some time, and the store has just
// come back from an absence that was long enough to miss a heartbeat. Single
// requests that fail between successful ones are no absence.
class EndpointList {
 public:
  explicit EndpointList(EndpointListSettings settings) : m_settings(settings) {}

  // The store answered a request that was sent at `requested_at`. Counts for
  // requests of any kind; to be called before what the answer contains is
  // passed on.
  void OnStoreAnswered(kernel::Time now, kernel::Time requested_at);
  // The same for a request for the list itself. Entries of its answer were
  // written at any time since the preceding one.
  void OnListAnswered(kernel::Time now, kernel::Time requested_at);
  // Each returns whether the list changed.
  bool OnUpdate(kernel::Time now, const ListedEndpoint& endpoint);
  bool OnRemoved(kernel::Time now,
                 std::string_view id,
                 std::uint64_t revision,
                 std::uint64_t era = 0);
  // The complete list as of `revision`.
  bool OnSnapshot(kernel::Time now,
                  const std::vector<ListedEndpoint>& endpoints,
                  std::uint64_t revision,
                  std::uint64_t era = 0);
  // Removes expired endpoints whose grace period is over.
  bool OnTick(kernel::Time now);

  // Returns all known endpoints, including those that are leaving.
  std::vector<ListedEndpoint> Endpoints() const;
  const ListedEndpoint* Find(std::string_view id) const;
  std::size_t Size() const { return m_endpoints.size(); }

 private:
  struct TrackedEndpoint {
    ListedEndpoint endpoint;
    // When the latest version of its entry arrived, or before it was written
    // if it may have waited for the end of an absence.
    kernel::Time heard_at{};
    // Set if the endpoint expired: when it is removed.
    std::optional<kernel::Time> remove_at;
    // Returns of the store since it expired.
    std::uint32_t returns = 0;
  };

  // Of the run that was removed.
  struct Removal {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    std::uint64_t started = 0;
    bool leaving = false;
  };

  // Whether the store may be away, or was in the time up to `now`.
  bool IsAway(kernel::Time now) const;
  // Whether the absence of the store, and not the endpoint, may be the reason
  // why its entry is missing.
  bool MayHaveExpired(kernel::Time now, const TrackedEndpoint& tracked) const;
  // Keeps the endpoint for the grace period that began at `returned_at`.
  void KeepExpired(kernel::Time returned_at, TrackedEndpoint& tracked) const;
  // Returns whether the entry of an older copy of the list says less than what
  // is known of the endpoint. If so, later changes are compared with the entry.
  bool IsOutdatedCopy(const ListedEndpoint& copied);

  EndpointListSettings m_settings;
  std::map<std::string, TrackedEndpoint, std::less<>> m_endpoints;
  // By id, so that an older update does not add them again.
  std::map<std::string, Removal, std::less<>> m_removed;
  std::optional<std::uint64_t> m_era{};  // Of the latest snapshot.
  // When the store answered last; nothing: not yet.
  std::optional<kernel::Time> m_answered_at;
  // When it answered a request for the list last.
  std::optional<kernel::Time> m_list_answered_at;
  // Set if the list was not read for a time before its latest answer: when that
  // time began.
  std::optional<kernel::Time> m_unread_since;
  // When it answered first after an absence.
  std::optional<kernel::Time> m_returned_at;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_
