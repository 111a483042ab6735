#include "radishrudder/direct/configuration.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace radishrudder::direct {
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  std::ranges::transform(normalized, normalized.begin(),
                         [](unsigned char character) {
                           return static_cast<char>(std::tolower(character));
                         });
  return normalized;
}

bool ConfigurationTable::Apply(Configuration configuration) {
  if (m_has_configuration && configuration.version <= m_configuration.version) {
    return false;
  }
  m_has_configuration = true;
  m_configuration = std::move(configuration);
  m_by_host.clear();
  m_by_key.clear();
  m_by_service.clear();
  const auto& routes = m_configuration.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    m_by_host[NormalizeHost(routes[i].host)].push_back(i);
  }
  for (auto& [host, indices] : m_by_host) {
    std::ranges::stable_sort(indices, [&routes](std::size_t a, std::size_t b) {
      return std::pair(routes[a].prefix.size(), !routes[a].readable) >
             std::pair(routes[b].prefix.size(), !routes[b].readable);
    });
  }
  for (std::size_t i = 0; i < m_configuration.workspaces.size(); ++i) {
    for (const std::string& key : m_configuration.workspaces[i].keys) {
      if (!key.empty()) {
        m_by_key.emplace(key, i);
      }
    }
  }
  for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
    m_by_service.emplace(m_configuration.services[i].name, i);
  }
  return true;
}

const RouteRule* ConfigurationTable::FindRoute(std::string_view host,
                                               std::string_view path) const {
  const auto found = m_by_host.find(NormalizeHost(host));
  if (found == m_by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const RouteRule& route = m_configuration.routes[index];
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const WorkspaceRule* ConfigurationTable::FindWorkspace(
    std::string_view key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr
                                 : &m_configuration.workspaces[found->second];
}

const WorkspaceRule* ConfigurationTable::FindWorkspaceByName(
    std::string_view name) const {
  const auto found =
      std::ranges::find(m_configuration.workspaces, name, &WorkspaceRule::name);
  return found == m_configuration.workspaces.end() ? nullptr : &*found;
}

bool ConfigurationTable::LimitsRegions() const {
  const auto is_limited = [](const auto& rule) {
    return !rule.allowed_regions.empty();
  };
  return std::ranges::any_of(m_configuration.routes, is_limited) ||
         std::ranges::any_of(m_configuration.workspaces, is_limited);
}

const ServiceRule* ConfigurationTable::FindService(
    std::string_view name) const {
  const auto found = m_by_service.find(name);
  return found == m_by_service.end() ? nullptr
                                     : &m_configuration.services[found->second];
}

}  // namespace radishrudder::direct
