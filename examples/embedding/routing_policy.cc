// Embeds the router alone, with a policy of one's own: calls of a workspace
// stay with one endpoint while it has room.

#include <cstddef>
#include <iostream>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "radishrudder/kernel/hash.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/router.h"

namespace {

namespace kernel = radishrudder::kernel;
namespace routing = radishrudder::routing;

class WorkspaceAffinityPolicy final : public routing::Policy {
 public:
  std::size_t Choose(const routing::CallView& call,
                     std::span<const routing::Candidate> candidates,
                     kernel::Random& random) override {
    std::vector<std::string> names;
    for (const routing::Candidate& candidate : candidates) {
      names.push_back(candidate.instance);
    }
    for (const std::size_t index :
         kernel::RendezvousOrder(call.workspace, names)) {
      if (candidates[index].estimated_calls < candidates[index].capacity) {
        return index;
      }
    }
    return random.Below(candidates.size());
  }
};

// Adds the policy to the registry, from which documents choose by name.
const kernel::Registration<routing::PolicyFactory> registration(
    "workspace-affinity",
    [] { return std::make_unique<WorkspaceAffinityPolicy>(); });

routing::Endpoint MakeEndpoint(const std::string& instance) {
  routing::Endpoint endpoint;
  endpoint.instance = instance;
  endpoint.data_centre = "sask-a";
  endpoint.load.capacity = 2;
  return endpoint;
}

// Sends a call of the workspace; returns the endpoint chosen.
std::string SendCall(routing::Router& router,
                     kernel::Time now,
                     std::string_view workspace) {
  routing::RouteRequest request;
  request.call.workspace = workspace;
  const routing::Route route = router.Choose(now, request);
  if (!route.instance.empty()) {
    router.OnSent(now, {route.instance, route.incarnation}, request.call);
  }
  return route.instance;
}

}  // namespace

int main() {
  // The router reads no clock: the time is an input.
  const kernel::Time now{};
  routing::RouterSettings settings;
  settings.entry = "entry-1";
  settings.policy = "workspace-affinity";
  routing::Router router(settings, kernel::Random(1));
  const std::vector<routing::Endpoint> endpoints{MakeEndpoint("runner-1"),
                                                 MakeEndpoint("runner-2"),
                                                 MakeEndpoint("runner-3")};
  router.OnEndpoints(now, endpoints);

  const std::string first = SendCall(router, now, "shop-17");
  const std::string second = SendCall(router, now, "shop-17");
  const std::string third = SendCall(router, now, "shop-17");
  std::cout << "shop-17: " << first << ", " << second << ", then " << third
            << "\n";
  // Two fill the endpoint; the third goes elsewhere.
  return !first.empty() && first == second && third != first ? 0 : 1;
}
