#include "radishrudder/direct/configuration_diff.h"

#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "radishrudder/direct/configuration_check.h"

namespace radishrudder::direct {
namespace {

using Changes = std::vector<ConfigurationChange>;

std::string Text(const std::string& value) {
  return "\"" + value + "\"";
}

std::string Text(bool value) {
  return value ? "true" : "false";
}

std::string Text(double value) {
  char buffer[32];
  const auto result = std::to_chars(buffer, buffer + sizeof(buffer), value);
  return {buffer, result.ptr};
}

std::string Text(std::uint32_t value) {
  return std::to_string(value);
}

std::string Text(std::size_t value) {
  return std::to_string(value);
}

std::string Text(std::chrono::milliseconds value) {
  return std::to_string(value.count()) + " ms";
}

std::string Text(RouteKind value) {
  switch (value) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kNonIdempotent:
      return "non-idempotent";
    case RouteKind::kStream:
      return "stream";
  }
  return "";
}

std::string Text(const std::optional<std::uint32_t>& value) {
  return value ? Text(*value) : "of the route";
}

std::string Text(const std::vector<std::string>& regions) {
  std::string text;
  for (const std::string& region : regions) {
    text += (text.empty() ? "" : ", ") + region;
  }
  if (regions.empty()) {
    return "all";
  }
  return text.empty() ? "none" : "[" + text + "]";
}

std::string Text(const std::vector<WeightedService>& services) {
  std::string text;
  for (const WeightedService& part : services) {
    text += (text.empty() ? "" : ", ") + part.service + " " +
            std::to_string(part.weight);
  }
  return text;
}

// Adds the changes of one subject's fields.
class FieldComparison {
 public:
  FieldComparison(std::string subject, Changes& changes)
      : m_subject(std::move(subject)), m_changes(changes) {}

  template <typename Value>
  void Compare(const char* name,
               const Value& before,
               const Value& after,
               const char* effect) {
    if (before != after) {
      m_changes.push_back(
          {ChangeKind::kChanged, m_subject,
           std::string(name) + ": " + Text(before) + " -> " + Text(after),
           effect});
    }
  }

 private:
  std::string m_subject;
  Changes& m_changes;
};

std::string Subject(const char* kind, const std::string& name) {
  return std::string(kind) + " \"" + name + "\"";
}

void CompareRoute(const std::string& name,
                  const RouteRule& before,
                  const RouteRule& after,
                  Changes& changes) {
  FieldComparison fields(Subject("route", name), changes);
  fields.Compare(
      "readable", before.readable, after.readable,
      after.readable ? "calls are served" : "calls are rejected with 503");
  if (!before.readable || !after.readable) {
    return;
  }
  fields.Compare("host", before.host, after.host,
                 "calls to the old host no longer use this route");
  fields.Compare("prefix", before.prefix, after.prefix,
                 "calls below the old prefix no longer use this route");
  fields.Compare("kind", before.kind, after.kind,
                 "changes whether a call that may have been executed is "
                 "repeated, and how its response is sent");
  fields.Compare("resumable", before.resumable, after.resumable,
                 "changes whether an interrupted stream continues at another "
                 "endpoint");
  fields.Compare("key exempt", before.key_exempt, after.key_exempt,
                 after.key_exempt
                     ? "calls without a key are served"
                     : "calls without a key are rejected with 401");
  fields.Compare("maximum attempts", before.maximum_attempts,
                 after.maximum_attempts,
                 "changes how often a failed call is tried before the caller "
                 "gets an error");
  fields.Compare("priority", before.priority, after.priority,
                 "changes which calls are served first when capacity is short");
  fields.Compare("timeout", before.timeout, after.timeout,
                 "changes when an unfinished call is ended; 0 ms is never");
  fields.Compare("latency target", before.latency_target, after.latency_target,
                 "changes how long a call may wait before it is rejected");
  fields.Compare("event gap target", before.event_gap_target,
                 after.event_gap_target,
                 "changes which pauses in a stream routing avoids");
  fields.Compare("services", before.services, after.services,
                 "new calls go to these services by weight; calls in progress "
                 "end where they are");
  fields.Compare("allowed regions", before.allowed_regions,
                 after.allowed_regions,
                 "calls are only sent to endpoints of the new regions, and "
                 "rejected with 503 if these have none");
}

void CompareEngine(const std::string& name,
                   const EngineRule& before,
                   const EngineRule& after,
                   Changes& changes) {
  FieldComparison fields(Subject("service", name), changes);
  const char* wait =
      "changes the predicted waits by which endpoints are chosen";
  const char* weights = "changes what agents load before they serve a version";
  fields.Compare("slots", before.slots, after.slots,
                 "changes how many calls an endpoint is sent at once");
  fields.Compare("step time", before.step_ms, after.step_ms, wait);
  fields.Compare("step time for each call", before.step_ms_per_call,
                 after.step_ms_per_call, wait);
  fields.Compare("step time for 1,000 tokens", before.step_ms_per_1k_context,
                 after.step_ms_per_1k_context, wait);
  fields.Compare("prompt tokens per second", before.prompt_tokens_per_s,
                 after.prompt_tokens_per_s, wait);
  fields.Compare("time for a million pairs", before.prompt_ms_per_million_pairs,
                 after.prompt_ms_per_million_pairs, wait);
  fields.Compare("prompt tokens per step", before.prompt_tokens_per_step,
                 after.prompt_tokens_per_step, wait);
  fields.Compare("tokens per event", before.tokens_per_event,
                 after.tokens_per_event, wait);
  fields.Compare("mean prompt tokens", before.mean_prompt_tokens,
                 after.mean_prompt_tokens, wait);
  fields.Compare("mean answer tokens", before.mean_answer_tokens,
                 after.mean_answer_tokens, wait);
  fields.Compare("report lag", before.report_lag, after.report_lag, wait);
  fields.Compare("chunks", before.chunks, after.chunks, weights);
  fields.Compare("chunk bytes", before.chunk_bytes, after.chunk_bytes, weights);
  fields.Compare("model", before.model, after.model, weights);
}

void CompareService(const std::string& name,
                    const ServiceRule& before,
                    const ServiceRule& after,
                    Changes& changes) {
  FieldComparison fields(Subject("service", name), changes);
  fields.Compare("engine", before.engine.has_value(), after.engine.has_value(),
                 "changes whether the service's endpoints count as model "
                 "engines with predicted waits");
  if (before.engine && after.engine) {
    CompareEngine(name, *before.engine, *after.engine, changes);
  }
  fields.Compare("maximum connections", before.maximum_connections,
                 after.maximum_connections,
                 "changes how many calls can be in progress at the service");
  fields.Compare("origin", before.origin, after.origin,
                 "changes where agents load weights; a service with an origin "
                 "takes no calls");
  fields.Compare("origin bytes per second", before.origin_bytes_per_second,
                 after.origin_bytes_per_second,
                 "changes how fast agents load weights; calls are unaffected");
  fields.Compare("origin data centre", before.origin_data_centre,
                 after.origin_data_centre,
                 "changes which agents load from the origin; calls are "
                 "unaffected");
  fields.Compare("cold start", before.cold_start, after.cold_start,
                 "changes how long a new endpoint takes few calls");
  fields.Compare("cold requests per second", before.cold_requests_per_second,
                 after.cold_requests_per_second,
                 "changes how many calls a cold endpoint is sent; 0 is no "
                 "limit");
}

// Whom the candidate serves.
struct Owners {
  bool keys_required = false;
  // The workspace of each key.
  std::map<std::string_view, std::string_view> by_key{};
};

Owners OwnersOfKeys(const Configuration& configuration) {
  Owners owners{.keys_required = configuration.RequiresKeys()};
  for (const WorkspaceRule& workspace : configuration.workspaces) {
    for (const std::string& key : workspace.keys) {
      owners.by_key.emplace(key, workspace.name);
    }
  }
  return owners;
}

std::string EffectOfRemoval(std::string_view key, const Owners& owners) {
  if (!owners.keys_required) {
    return "calls with this key are served without a workspace";
  }
  const auto found = owners.by_key.find(key);
  return found == owners.by_key.end()
             ? "calls with this key are rejected with 401 within the "
               "revocation limit"
             : "calls with this key are served as workspace \"" +
                   std::string(found->second) + "\"";
}

void CompareKeys(const std::string& name,
                 const std::vector<std::string>& before,
                 const std::vector<std::string>& after,
                 const Owners& owners,
                 Changes& changes) {
  const std::set<std::string_view> old_keys(before.begin(), before.end());
  const std::set<std::string_view> new_keys(after.begin(), after.end());
  const std::string subject = Subject("workspace", name);
  for (const std::string_view key : old_keys) {
    if (!new_keys.contains(key)) {
      changes.push_back({ChangeKind::kRemoved, subject,
                         "key " + AbbreviatedKey(key),
                         EffectOfRemoval(key, owners)});
    }
  }
  for (const std::string_view key : new_keys) {
    if (!old_keys.contains(key)) {
      changes.push_back({ChangeKind::kAdded, subject,
                         "key " + AbbreviatedKey(key),
                         "calls with this key are served as this workspace"});
    }
  }
}

void CompareWorkspace(const std::string& name,
                      const WorkspaceRule& before,
                      const WorkspaceRule& after,
                      const Owners& owners,
                      Changes& changes) {
  CompareKeys(name, before.keys, after.keys, owners, changes);
  FieldComparison fields(Subject("workspace", name), changes);
  fields.Compare("priority", before.priority, after.priority,
                 "changes which calls are served first when capacity is short");
  fields.Compare("allowed regions", before.allowed_regions,
                 after.allowed_regions,
                 "calls are only sent to endpoints of the new regions, and "
                 "rejected with 503 if these have none");
}

void CompareLimits(const CallerLimits& before,
                   const CallerLimits& after,
                   Changes& changes) {
  FieldComparison fields("limits", changes);
  fields.Compare("head bytes", before.head_bytes, after.head_bytes,
                 "requests with a larger head are rejected with 431");
  fields.Compare("body bytes", before.body_bytes, after.body_bytes,
                 "requests with a larger body are rejected with 413");
  fields.Compare("head timeout", before.head_timeout, after.head_timeout,
                 "callers that take longer to send the head are disconnected");
  fields.Compare("idle timeout", before.idle_timeout, after.idle_timeout,
                 "connections that are idle for longer are closed");
}

std::string NameOf(const RouteRule& route) {
  return route.name.empty() ? route.host + route.prefix : route.name;
}

std::string NameOf(const auto& rule) {
  return rule.name;
}

// The rules by name and by how often the name occurred before, so that a second
// rule of a name is a rule of its own.
template <typename Rule>
std::map<std::pair<std::string, std::size_t>, const Rule*> ByName(
    const std::vector<Rule>& rules) {
  std::map<std::string, std::size_t> counts;
  std::map<std::pair<std::string, std::size_t>, const Rule*> by_name;
  for (const Rule& rule : rules) {
    const std::string name = NameOf(rule);
    by_name.emplace(std::pair(name, counts[name]++), &rule);
  }
  return by_name;
}

struct ListEffects {
  const char* kind;
  const char* added;
  const char* removed;
};

template <typename Rule, typename CompareRules>
void CompareLists(const ListEffects& effects,
                  const std::vector<Rule>& before,
                  const std::vector<Rule>& after,
                  CompareRules compare,
                  Changes& changes) {
  const auto old_rules = ByName(before);
  const auto new_rules = ByName(after);
  for (const auto& [name, rule] : old_rules) {
    if (const auto found = new_rules.find(name); found != new_rules.end()) {
      compare(name.first, *rule, *found->second, changes);
    } else {
      changes.push_back({ChangeKind::kRemoved,
                         Subject(effects.kind, name.first), "",
                         effects.removed});
    }
  }
  for (const auto& [name, rule] : new_rules) {
    if (!old_rules.contains(name)) {
      changes.push_back({ChangeKind::kAdded, Subject(effects.kind, name.first),
                         "", effects.added});
    }
  }
}

void CompareKeyRequirement(const Configuration& before,
                           const Configuration& after,
                           Changes& changes) {
  if (before.RequiresKeys() != after.RequiresKeys()) {
    changes.push_back({ChangeKind::kChanged, "workspaces", "",
                       after.RequiresKeys()
                           ? "calls without a key are rejected with 401"
                           : "calls without a key are served"});
  }
}

}  // namespace

std::vector<ConfigurationChange> CompareConfigurations(
    const Configuration& in_force,
    const Configuration& candidate) {
  Changes changes;
  const Owners owners = OwnersOfKeys(candidate);
  CompareLists({"route", "calls to its host and prefix are served",
                "calls to its host and prefix use another route with a shorter "
                "prefix, or are rejected with 404"},
               in_force.routes, candidate.routes, CompareRoute, changes);
  CompareLists({"service", "routes can send calls to it",
                "routes that still name it reject their calls with 503"},
               in_force.services, candidate.services, CompareService, changes);
  CompareLists(
      {"workspace", "calls with its keys are served",
       owners.keys_required
           ? "calls with its keys are rejected with 401 within the "
             "revocation limit, unless another workspace has the key"
           : "calls with its keys are served without a workspace"},
      in_force.workspaces, candidate.workspaces,
      [&owners](const std::string& name, const WorkspaceRule& before,
                const WorkspaceRule& after, Changes& found) {
        CompareWorkspace(name, before, after, owners, found);
      },
      changes);
  CompareKeyRequirement(in_force, candidate, changes);
  CompareLimits(in_force.caller_limits, candidate.caller_limits, changes);
  return changes;
}

}  // namespace radishrudder::direct
