#include "radishrudder/document/compare.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace radishrudder::document {
namespace {

using Sentences = std::vector<std::string>;

std::string Number(double value) {
  char buffer[32];
  const auto result = std::to_chars(buffer, buffer + sizeof(buffer), value);
  return {buffer, result.ptr};
}

// Returns "what changes from X to Y".
std::string FromTo(std::string_view what,
                   std::string_view before,
                   std::string_view after) {
  std::string text(what);
  text += " changes from ";
  text += before;
  text += " to ";
  text += after;
  return text;
}

void CompareNumbers(std::string_view what,
                    double before,
                    double after,
                    std::string_view effect,
                    Sentences& sentences) {
  if (before != after) {
    sentences.push_back(FromTo(what, Number(before), Number(after)) +
                        std::string(effect) + ".");
  }
}

ServiceDocument Normalized(ServiceDocument document) {
  std::ranges::sort(document.workspaces, {}, &WorkspaceSection::name);
  if (document.model) {
    std::ranges::sort(document.model->adapters);
  }
  return document;
}

void CompareIdentity(const ServiceDocument& before,
                     const ServiceDocument& after,
                     Sentences& sentences) {
  if (before.service != after.service) {
    sentences.push_back("The documents are of two services, " + before.service +
                        " and " + after.service +
                        ": one does not replace the other.");
  }
  if (before.kind != after.kind) {
    const bool plain = after.kind == ServiceKind::kPlain;
    sentences.push_back(std::string("The service becomes a ") +
                        (plain ? "plain service: no weights are given to its "
                                 "endpoints any more."
                               : "model service: each endpoint needs a model "
                                 "engine and receives weights."));
  }
}

std::string DescribePace(const RolloutSection& rollout) {
  std::string text = "at least " + Number(rollout.ready_floor * 100) +
                     "% of the instances stay ready";
  if (rollout.pace > 0) {
    text +=
        ", and at most " + std::to_string(rollout.pace) + " change at a time";
  }
  return text;
}

void CompareManifests(const ServiceDocument& before,
                      const ServiceDocument& after,
                      Sentences& sentences) {
  const ModelSection& old_model = *before.model;
  const ModelSection& new_model = *after.model;
  if (old_model.manifest_digest != new_model.manifest_digest) {
    sentences.push_back("Every instance loads other weights: version " +
                        old_model.version + " (" + old_model.manifest_digest +
                        ") is replaced by " + new_model.version + " (" +
                        new_model.manifest_digest + "); " +
                        DescribePace(after.rollout) + ".");
    if (old_model.version == new_model.version) {
      sentences.push_back("The version is still called " + new_model.version +
                          " although the weights differ.");
    }
  } else if (old_model.version != new_model.version) {
    sentences.push_back(
        FromTo("The version's label", old_model.version, new_model.version) +
        "; the weights stay the same and nothing is loaded.");
  }
  if (old_model.name != new_model.name) {
    sentences.push_back(
        FromTo("The model's name", old_model.name, new_model.name) + ".");
  }
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

void CompareAdapters(const std::vector<std::string>& before,
                     const std::vector<std::string>& after,
                     Sentences& sentences) {
  for (const std::string& adapter : after) {
    if (!Contains(before, adapter)) {
      sentences.push_back("Every instance loads adapter " + adapter + ".");
    }
  }
  for (const std::string& adapter : before) {
    if (!Contains(after, adapter)) {
      sentences.push_back("Adapter " + adapter + " is no longer served.");
    }
  }
}

const WorkspaceSection* FindWorkspace(const ServiceDocument& document,
                                      std::string_view name) {
  const auto found =
      std::ranges::find(document.workspaces, name, &WorkspaceSection::name);
  return found == document.workspaces.end() ? nullptr : &*found;
}

double TotalShare(const ServiceDocument& document) {
  double total = 0;
  for (const WorkspaceSection& workspace : document.workspaces) {
    total += workspace.share;
  }
  return total;
}

std::string Percent(double share, double total) {
  constexpr double kTenths = 1000;
  const auto tenths = std::lround(share / total * kTenths);
  return Number(static_cast<double>(tenths) / 10) + "%";
}

void CompareWorkspaces(const ServiceDocument& before,
                       const ServiceDocument& after,
                       Sentences& sentences) {
  const double total = TotalShare(after);
  for (const WorkspaceSection& workspace : after.workspaces) {
    const WorkspaceSection* const old = FindWorkspace(before, workspace.name);
    const std::string fair = ", " + Percent(workspace.share, total) +
                             " of the capacity when all are busy.";
    if (old == nullptr) {
      sentences.push_back("Workspace " + workspace.name +
                          " is added with share " + Number(workspace.share) +
                          fair);
    } else if (old->share != workspace.share) {
      sentences.push_back(FromTo("The share of workspace " + workspace.name,
                                 Number(old->share), Number(workspace.share)) +
                          fair);
    }
  }
  for (const WorkspaceSection& workspace : before.workspaces) {
    if (FindWorkspace(after, workspace.name) == nullptr) {
      sentences.push_back("Workspace " + workspace.name +
                          " loses its own share and is treated as any "
                          "workspace that is not listed.");
    }
  }
}

const RouteSection* FindRoute(const CallsSection& calls,
                              const RouteSection& route) {
  const auto found =
      std::ranges::find_if(calls.routes, [&](const RouteSection& other) {
        return other.method == route.method && other.prefix == route.prefix;
      });
  return found == calls.routes.end() ? nullptr : &*found;
}

std::string DescribeRoute(const RouteSection& route) {
  return route.method + " " + route.prefix;
}

void CompareRoutes(const CallsSection& before,
                   const CallsSection& after,
                   Sentences& sentences) {
  for (const RouteSection& route : after.routes) {
    const RouteSection* const old = FindRoute(before, route);
    if (old != nullptr && old->idempotent == route.idempotent) {
      continue;
    }
    sentences.push_back("Calls of " + DescribeRoute(route) +
                        (route.idempotent ? " may be repeated from now on."
                                          : " run at most once from now on."));
  }
  for (const RouteSection& route : before.routes) {
    if (FindRoute(after, route) == nullptr) {
      sentences.push_back("The route " + DescribeRoute(route) +
                          " is removed; its calls are treated as any that "
                          "no route names.");
    }
  }
}

void CompareCalls(const CallsSection& before,
                  const CallsSection& after,
                  Sentences& sentences) {
  if (before.routing_policy != after.routing_policy) {
    sentences.push_back(FromTo("The routing policy", before.routing_policy,
                               after.routing_policy) +
                        " for new calls.");
  }
  CompareNumbers("The timeout of a call",
                 static_cast<double>(before.timeout.count()),
                 static_cast<double>(after.timeout.count()),
                 " milliseconds, for new calls", sentences);
  CompareNumbers("The longest queue of an entry", before.maximum_queue,
                 after.maximum_queue, " calls", sentences);
  CompareNumbers("The calls in progress at one endpoint",
                 before.endpoint_concurrency, after.endpoint_concurrency, "",
                 sentences);
  CompareNumbers("The retry budget", before.retry_budget, after.retry_budget,
                 " retries for each call", sentences);
  CompareNumbers("The hedge budget", before.hedge_budget, after.hedge_budget,
                 " hedges for each call", sentences);
  CompareRoutes(before, after, sentences);
}

void CompareRollout(const ServiceDocument& before,
                    const ServiceDocument& after,
                    Sentences& sentences) {
  if (before.rollout != after.rollout) {
    sentences.push_back("From now on, when weights change, " +
                        DescribePace(after.rollout) + ".");
  }
  CompareNumbers("The weight of speed over bytes from the origin",
                 before.transfer.speed, after.transfer.speed, "", sentences);
}

}  // namespace

bool EqualMeaning(const ServiceDocument& first, const ServiceDocument& second) {
  return Normalized(first) == Normalized(second);
}

std::vector<std::string> DescribeChanges(const ServiceDocument& before,
                                         const ServiceDocument& after) {
  Sentences sentences;
  CompareIdentity(before, after, sentences);
  if (before.model && after.model) {
    CompareManifests(before, after, sentences);
    CompareAdapters(before.model->adapters, after.model->adapters, sentences);
  }
  CompareWorkspaces(before, after, sentences);
  CompareCalls(before.calls, after.calls, sentences);
  CompareRollout(before, after, sentences);
  if (sentences.empty() && !EqualMeaning(before, after)) {
    sentences.emplace_back("Only the order of routes changes.");
  }
  return sentences;
}

}  // namespace radishrudder::document
