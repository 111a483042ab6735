#include "heartbeat_targets.h"

#include <algorithm>
#include <utility>

#include "radishrudder/dissemination/neighbours.h"
#include "radishrudder/kernel/hash.h"

namespace radishrudder::membership {
namespace {

// A follower without a heartbeat for this long receives no more heartbeats.
constexpr kernel::Duration kFollowerTimeout = std::chrono::seconds(24);

}  // namespace

void HeartbeatTargets::Update() {
  std::vector<dissemination::GossipNode> nodes;
  nodes.reserve(m_table.Records().size());
  const std::string& self = m_settings.self.key.instance;
  for (const auto& [name, record] : m_table.Records()) {
    const bool is_listed_or_reported =
        record.is_listed || record.member.incarnation != 0;
    if (name != self && is_listed_or_reported) {
      nodes.push_back({name, record.member.listed.data_centre});
    }
  }
  const dissemination::GossipNode self_node{self,
                                            m_settings.self.listed.data_centre};
  const std::vector<std::string> chosen =
      dissemination::ChooseNeighbours(self_node, nodes, m_settings.local_rings);
  m_neighbours = {chosen.begin(), chosen.end()};
  m_is_list_watcher = dissemination::IsSelectedByRendezvous(
      "list-reader", self_node, nodes,
      m_settings.list_watchers_per_data_centre);
  if (!m_has_explicit_followed) {
    m_followed = SelectDefaultFollowed();
  }
}

void HeartbeatTargets::Follow(std::vector<std::string> instances) {
  m_has_explicit_followed = true;
  m_followed = {instances.begin(), instances.end()};
}

void HeartbeatTargets::OnDirectHeartbeat(kernel::Time now,
                                         std::string_view instance) {
  if (!m_neighbours.contains(std::string(instance))) {
    m_followers.insert_or_assign(std::string(instance), now);
  }
}

std::vector<std::string> HeartbeatTargets::Followers(kernel::Time now) {
  std::erase_if(m_followers, [&](const auto& follower) {
    return now - follower.second > kFollowerTimeout;
  });
  std::vector<std::string> names;
  for (const auto& follower : m_followers) {
    names.push_back(follower.first);
  }
  return names;
}

std::set<std::string> HeartbeatTargets::SelectDefaultFollowed() const {
  if (m_settings.self.listed.role != Role::kEntry) {
    return {};
  }
  std::vector<std::string> agents;
  for (const auto& [name, record] : m_table.Records()) {
    if (record.member.listed.role == Role::kAgent &&
        record.member.state != State::kDead) {
      agents.push_back(name);
    }
  }
  const std::vector<std::size_t> order =
      kernel::RendezvousOrder(m_settings.self.key.instance, agents);
  std::set<std::string> followed;
  for (const std::size_t index : order) {
    if (followed.size() == m_settings.maximum_followed_agents) {
      break;
    }
    followed.insert(agents[index]);
  }
  return followed;
}

}  // namespace radishrudder::membership
