#include "radishrudder/document/writer.h"

#include <nlohmann/json.hpp>

namespace radishrudder::document {
namespace {

constexpr int kIndent = 2;

using Json = nlohmann::ordered_json;

Json ModelToJson(const ModelSection& model) {
  return {{"name", model.name},
          {"version", model.version},
          {"manifestDigest", model.manifest_digest},
          {"adapters", model.adapters}};
}

Json WorkspacesToJson(const std::vector<WorkspaceSection>& workspaces) {
  Json array = Json::array();
  for (const WorkspaceSection& workspace : workspaces) {
    array.push_back({{"name", workspace.name}, {"share", workspace.share}});
  }
  return array;
}

Json RoutesToJson(const std::vector<RouteSection>& routes) {
  Json array = Json::array();
  for (const RouteSection& route : routes) {
    array.push_back({{"method", route.method},
                     {"prefix", route.prefix},
                     {"idempotent", route.idempotent}});
  }
  return array;
}

Json CallsToJson(const CallsSection& calls) {
  return {{"timeoutMs", calls.timeout.count()},
          {"maximumQueue", calls.maximum_queue},
          {"endpointConcurrency", calls.endpoint_concurrency},
          {"retryBudget", calls.retry_budget},
          {"hedgeBudget", calls.hedge_budget},
          {"routingPolicy", calls.routing_policy},
          {"routes", RoutesToJson(calls.routes)}};
}

}  // namespace

std::string ToText(const ServiceDocument& document) {
  const bool plain = document.kind == ServiceKind::kPlain;
  Json json{{"service", document.service}, {"kind", plain ? "plain" : "model"}};
  if (document.model) {
    json["model"] = ModelToJson(*document.model);
  }
  json["workspaces"] = WorkspacesToJson(document.workspaces);
  json["calls"] = CallsToJson(document.calls);
  json["rollout"] = {{"readyFloor", document.rollout.ready_floor},
                     {"pace", document.rollout.pace}};
  json["transfer"] = {{"speed", document.transfer.speed}};
  return json.dump(kIndent) + "\n";
}

}  // namespace radishrudder::document
