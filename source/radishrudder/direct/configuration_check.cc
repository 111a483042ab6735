#include "radishrudder/direct/configuration_check.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <utility>

#include "source/radishrudder/direct/service_checks.h"

namespace radishrudder::direct {
namespace {

constexpr std::size_t kShownKeyCharacters = 4;

// A larger step is more likely a mistake, which can't be undone: the entries
// ignore lower versions from then on.
constexpr std::uint64_t kMaximumVersionStep = 1'000'000;

using Names = std::span<const std::string>;

kernel::Place PlaceOf(std::string_view subject) {
  return {std::string(subject), 0, 0, ""};
}

kernel::Place PlaceOf(std::string_view kind, std::string_view name) {
  return PlaceOf(std::string(kind) + " \"" + std::string(name) + "\"");
}

kernel::Place PlaceOf(const RouteRule& route) {
  return PlaceOf("route",
                 route.name.empty() ? route.host + route.prefix : route.name);
}

std::string Join(const auto& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

// Reports the second and later elements of the same name.
template <typename Rule>
void CheckNames(std::string_view kind,
                const std::vector<Rule>& rules,
                kernel::Findings& findings) {
  std::set<std::string_view> seen;
  for (const Rule& rule : rules) {
    if (rule.name.empty()) {
      findings.Error(PlaceOf(kind, ""), "has no name", "a name");
    } else if (!seen.insert(rule.name).second) {
      findings.Error(PlaceOf(kind, rule.name), "is defined twice",
                     "one definition of each name");
    }
  }
}

void CheckMatching(const RouteRule& route,
                   std::map<std::string, std::string>& seen,
                   kernel::Findings& findings) {
  if (NormalizeHost(route.host).empty()) {
    findings.Error(PlaceOf(route), "can never match: it has no host",
                   "the name of a host");
  }
  if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
    findings.Error(PlaceOf(route), "prefix \"" + route.prefix + "\"",
                   "a path that starts and ends with a slash");
  }
  // A space is in no host, so that different pairs give different keys.
  const auto [first, added] = seen.emplace(
      NormalizeHost(route.host) + " " + route.prefix, PlaceOf(route).source);
  if (!added) {
    findings.Error(
        PlaceOf(route),
        "is hidden behind " + first->second + " with the same host and prefix",
        "another host or prefix");
  }
}

void CheckServices(const RouteRule& route,
                   const Configuration& candidate,
                   kernel::Findings& findings) {
  std::uint64_t total = 0;
  for (const WeightedService& part : route.services) {
    total += part.weight;
    const auto found =
        std::ranges::find(candidate.services, part.service, &ServiceRule::name);
    if (found == candidate.services.end()) {
      std::vector<std::string> names;
      for (const ServiceRule& service : candidate.services) {
        names.push_back(service.name);
      }
      findings.Error(PlaceOf(route),
                     "service \"" + part.service + "\" does not exist",
                     names.empty() ? "a service that is defined" : Join(names));
    } else if (!found->origin.empty()) {
      findings.Error(
          PlaceOf(route),
          "service \"" + part.service + "\" has an origin and takes no calls",
          "a service without an origin");
    }
  }
  if (total == 0) {
    findings.Error(
        PlaceOf(route),
        "the weights of its services sum to 0: the first one gets all "
        "calls",
        "a weight above 0 for at least one service");
  }
}

void CheckTimes(const RouteRule& route, kernel::Findings& findings) {
  if (route.maximum_attempts == 0) {
    findings.Error(PlaceOf(route), "maximum attempts is 0", "1 or more");
  }
  const auto check = [&](std::chrono::milliseconds target, const char* name) {
    if (route.timeout.count() > 0 && target > route.timeout) {
      findings.Error(PlaceOf(route),
                     "timeout of " + std::to_string(route.timeout.count()) +
                         " ms is shorter than the " + name + " of " +
                         std::to_string(target.count()) + " ms",
                     "a timeout of at least the target, or 0 for none");
    }
  };
  check(route.latency_target, "latency target");
  check(route.event_gap_target, "event gap target");
}

void CheckRegions(const kernel::Place& place,
                  Names allowed,
                  const CheckContext& context,
                  kernel::Findings& findings) {
  for (const std::string& region : allowed) {
    if (region.empty() ||
        (context.regions && !context.regions->contains(region))) {
      findings.Error(
          place, "region \"" + region + "\" does not exist",
          context.regions ? Join(*context.regions) : "the name of a region");
    }
  }
}

void CheckPair(const RouteRule& route,
               const WorkspaceRule& workspace,
               kernel::Findings& findings) {
  // A call of an exempt route belongs to no workspace.
  if (route.key_exempt) {
    return;
  }
  const Names of_route = route.allowed_regions;
  const Names of_workspace = workspace.allowed_regions;
  const bool limited = !of_route.empty() && !of_workspace.empty();
  if (limited &&
      std::ranges::find_first_of(of_route, of_workspace) == of_route.end()) {
    findings.Warning(PlaceOf(route),
                     "shares no region with workspace \"" + workspace.name +
                         "\": its calls are rejected with 503",
                     "a region of both lists, or an empty list");
  }
}

void CheckAttempts(const RouteRule& route,
                   const CheckContext& context,
                   kernel::Findings& findings) {
  if (!context.endpoints) {
    return;
  }
  std::set<std::string_view> names;
  for (const WeightedService& part : route.services) {
    names.insert(part.service);
  }
  std::size_t endpoints = 0;
  for (const std::string_view name : names) {
    endpoints += CountEndpoints(name, *context.endpoints);
  }
  if (endpoints > 0 && route.maximum_attempts > endpoints) {
    findings.Warning(PlaceOf(route),
                     "maximum attempts is " +
                         std::to_string(route.maximum_attempts) + " with " +
                         std::to_string(endpoints) + " endpoints",
                     "at most the number of endpoints");
  }
}

// Checks what depends on members that a route must have.
void CheckReadableRoute(const RouteRule& route,
                        const Configuration& candidate,
                        const CheckContext& context,
                        std::map<std::string, std::string>& seen,
                        kernel::Findings& findings) {
  CheckMatching(route, seen, findings);
  CheckServices(route, candidate, findings);
  CheckTimes(route, findings);
  CheckRegions(PlaceOf(route), route.allowed_regions, context, findings);
  CheckAttempts(route, context, findings);
  for (const WorkspaceRule& workspace : candidate.workspaces) {
    CheckPair(route, workspace, findings);
  }
}

void CheckRoutes(const Configuration& candidate,
                 const CheckContext& context,
                 kernel::Findings& findings) {
  if (candidate.routes.empty()) {
    findings.Error(PlaceOf("routes"), "there are none: no call is served",
                   "at least one route");
  }
  std::map<std::string, std::string> seen;
  std::set<std::string_view> names;
  for (const RouteRule& route : candidate.routes) {
    if (!route.name.empty() && !names.insert(route.name).second) {
      findings.Error(PlaceOf(route), "is defined twice",
                     "one definition of each name");
    }
    if (route.readable) {
      CheckReadableRoute(route, candidate, context, seen, findings);
    } else {
      findings.Error(PlaceOf(route),
                     "can't be read: calls below " + route.host + route.prefix +
                         " are rejected with 503",
                     "a route with all its members");
    }
  }
}

void CheckKeys(const WorkspaceRule& workspace,
               std::map<std::string_view, std::string_view>& owners,
               kernel::Findings& findings) {
  const kernel::Place place = PlaceOf("workspace", workspace.name);
  if (workspace.keys.empty()) {
    findings.Warning(place, "has no keys: nobody can call as this workspace",
                     "at least one key");
  }
  for (const std::string& key : workspace.keys) {
    if (key.empty()) {
      findings.Error(place, "has an empty key", "a key of some characters");
      continue;
    }
    const auto [owner, added] = owners.emplace(key, workspace.name);
    if (!added) {
      findings.Error(place,
                     "key " + AbbreviatedKey(key) +
                         " already belongs to workspace \"" +
                         std::string(owner->second) + "\"",
                     "each key once");
    }
  }
}

void CheckWorkspaces(const Configuration& candidate,
                     const CheckContext& context,
                     kernel::Findings& findings) {
  if (candidate.workspaces.empty()) {
    const bool lost = context.in_force && !context.in_force->workspaces.empty();
    const kernel::Place place = PlaceOf("workspaces");
    const char* text =
        candidate.RequiresKeys()
            ? "there are none: every call is rejected with 401, unless its "
              "route is exempt"
            : "they are not defined: every call is served without a key";
    if (lost) {
      findings.Error(place, text, "the workspaces in force");
    } else {
      findings.Warning(place, text, "at least one workspace");
    }
  }
  CheckNames("workspace", candidate.workspaces, findings);
  std::map<std::string_view, std::string_view> owners;
  for (const WorkspaceRule& workspace : candidate.workspaces) {
    CheckKeys(workspace, owners, findings);
    CheckRegions(PlaceOf("workspace", workspace.name),
                 workspace.allowed_regions, context, findings);
  }
}

void CheckVersion(std::uint64_t version,
                  std::uint64_t in_force,
                  kernel::Findings& findings) {
  const kernel::Place place = PlaceOf("version");
  if (version <= in_force) {
    findings.Error(place,
                   std::to_string(version) +
                       " is not higher than the one in force: the entries "
                       "ignore the configuration",
                   "more than " + std::to_string(in_force));
  } else if (version - in_force > kMaximumVersionStep) {
    findings.Warning(place,
                     std::to_string(version) +
                         " is far above the one in force: all later ones must "
                         "be higher still",
                     "usually " + std::to_string(in_force + 1));
  }
}

void CheckLimits(const CallerLimits& limits, kernel::Findings& findings) {
  if (limits.head_bytes == 0) {
    findings.Error(PlaceOf("limits"), "head bytes is 0: all calls are rejected",
                   "1 or more");
  }
  if (limits.body_bytes == 0) {
    findings.Error(PlaceOf("limits"),
                   "body bytes is 0: all calls with a body are rejected",
                   "1 or more");
  }
}

}  // namespace

std::string AbbreviatedKey(std::string_view key) {
  const std::size_t shown =
      key.empty() ? 0 : std::min(kShownKeyCharacters, key.size() - 1);
  return std::string(key.substr(0, shown)) + "...";
}

kernel::Findings CheckConfiguration(const Configuration& candidate,
                                    const CheckContext& context) {
  kernel::Findings findings;
  if (context.in_force) {
    CheckVersion(candidate.version, context.in_force->version, findings);
  }
  CheckRoutes(candidate, context, findings);
  CheckNames("service", candidate.services, findings);
  CheckServiceRules(candidate, context, findings);
  CheckWorkspaces(candidate, context, findings);
  CheckLimits(candidate.caller_limits, findings);
  return findings;
}

}  // namespace radishrudder::direct
