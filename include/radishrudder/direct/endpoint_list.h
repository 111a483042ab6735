#ifndef RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_
#define RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::direct {

// One endpoint as the platform's list names it.
struct ListedEndpoint {
  std::string id{};
  std::string service{};
  std::string address{};  // "IP:PORT".
  std::string data_centre{};
  std::uint32_t slots = 0;    // Calls that it works on at once; 0: not stated.
  std::uint64_t started = 0;  // Unix milliseconds of its start; 0: not stated.
  bool leaving = false;
  std::string model{};              // Empty: it holds no whole model.
  std::uint64_t model_version = 0;  // Version of all its layers; 0: none.
  std::uint64_t revision = 0;       // Of the list, at this entry's last change.
};

struct EndpointListSettings {
  // Entries that lapsed while the list was out of reach have this long, from
  // its return, to come back.
  kernel::Duration lapse_grace = std::chrono::seconds(2);
  // A list that was sound for so long has no lapsed entries any more.
  kernel::Duration settle = std::chrono::seconds(3);
};

// What a source said of the endpoints, never going back: what carries a lower
// revision than is known of an endpoint is ignored.
class EndpointList {
 public:
  explicit EndpointList(EndpointListSettings settings) : m_settings(settings) {}

  // Each returns whether something changed.
  bool OnEntry(const ListedEndpoint& entry);
  bool OnRemoved(kernel::Time now, std::string_view id, std::uint64_t revision);
  // The whole list as of `revision`.
  bool OnSnapshot(kernel::Time now,
                  const std::vector<ListedEndpoint>& entries,
                  std::uint64_t revision);
  // Reading the list failed, or works again.
  void OnUnreachable(kernel::Time now);
  void OnReachable(kernel::Time now);
  // Drops lapsed entries whose time is over.
  bool OnTick(kernel::Time now);

  // Every endpoint that is known, with those that leave.
  std::vector<ListedEndpoint> Endpoints() const;
  const ListedEndpoint* Find(std::string_view id) const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Known {
    ListedEndpoint entry;
    std::optional<kernel::Time> drop_at;  // Lapsed: gone from then on.
  };

  bool MayHaveLapsed(kernel::Time now) const;

  EndpointListSettings m_settings;
  std::map<std::string, Known, std::less<>> m_entries;
  // Revisions at which ids were removed, so that older news does not revive
  // them.
  std::map<std::string, std::uint64_t, std::less<>> m_removed;
  bool m_unreachable = false;
  std::optional<kernel::Time> m_returned;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENDPOINT_LIST_H_
