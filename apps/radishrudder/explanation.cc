#include "explanation.h"

#include <algorithm>
#include <optional>

#include "status_view.h"

namespace radishrudder::command_line {
namespace {

using Sentences = std::vector<std::string>;

// What is known of one service, out of all processes.
struct ServiceView {
  std::vector<const AgentStatus*> agents;
  std::vector<const EntryStatus*> entries;
  std::uint64_t newest_revision = 0;
};

std::optional<std::uint64_t> RevisionOf(const EntryStatus& entry,
                                        std::string_view service) {
  const auto found =
      std::ranges::find(entry.documents, service, &DocumentInForce::service);
  return found == entry.documents.end() ? std::nullopt
                                        : std::optional(found->revision);
}

ServiceView Collect(std::span<const ProcessStatus> processes,
                    std::string_view service) {
  ServiceView view;
  for (const ProcessStatus& process : processes) {
    if (const auto* agent = std::get_if<AgentStatus>(&process.status);
        agent != nullptr && agent->service == service) {
      view.agents.push_back(agent);
      view.newest_revision =
          std::max(view.newest_revision, agent->document_revision);
    }
    if (const auto* entry = std::get_if<EntryStatus>(&process.status)) {
      view.entries.push_back(entry);
      view.newest_revision = std::max(view.newest_revision,
                                      RevisionOf(*entry, service).value_or(0));
    }
  }
  return view;
}

std::string WeightsSentence(const AgentStatus& agent) {
  return "it has " + std::to_string(agent.chunks_present) + " of " +
         std::to_string(agent.chunks_total) + " chunks of " +
         ShortDigest(agent.manifest_digest) + " (" + Size(agent.origin_bytes) +
         " from the origin, " + Size(agent.peer_bytes) + " from peers)";
}

// Why an agent is not ready on the newest revision.
std::string ReasonNotReady(const AgentStatus& agent, std::uint64_t newest) {
  if (agent.draining) {
    return "it is draining and changes nothing any more";
  }
  if (agent.document_revision < newest) {
    return "it has only heard of revision " +
           std::to_string(agent.document_revision) +
           "; another process has revision " + std::to_string(newest);
  }
  if (!agent.weights_complete && agent.chunks_total > 0) {
    return WeightsSentence(agent);
  }
  if (!agent.waiting_for.empty()) {
    return "its rollout stands at " + agent.waiting_for;
  }
  return "it names no reason; its gate is " + agent.gate +
         " and its endpoint runs " + ShortDigest(agent.running_digest);
}

void ExplainAgent(const AgentStatus& agent,
                  std::uint64_t newest,
                  Sentences& sentences) {
  const std::string who =
      "Agent " + agent.instance + " (" + agent.data_centre + ")";
  if (agent.ready_revision >= newest) {
    sentences.push_back(who + " is ready on revision " +
                        std::to_string(newest) + " and its endpoint runs " +
                        ShortDigest(agent.running_digest) + ".");
  } else {
    sentences.push_back(who + " is not ready on revision " +
                        std::to_string(newest) + ": " +
                        ReasonNotReady(agent, newest) + ".");
  }
  if (agent.draining || agent.gate != "open") {
    sentences.push_back(who + " refuses new calls: " +
                        (agent.draining ? "it is draining."
                                        : "its gate is " + agent.gate + "."));
  }
}

double LoadOf(const EndpointView& endpoint) {
  const auto capacity = std::max<std::uint64_t>(endpoint.capacity, 1);
  return static_cast<double>(endpoint.running + endpoint.waiting) /
         static_cast<double>(capacity);
}

std::string Describe(const EndpointView& endpoint) {
  return endpoint.instance + " (" + endpoint.state + ", " +
         std::to_string(endpoint.running) + " running and " +
         std::to_string(endpoint.waiting) + " waiting of " +
         std::to_string(endpoint.capacity) + ", " +
         ShortDigest(endpoint.running_digest) + ")";
}

void ExplainEntry(const EntryStatus& entry,
                  std::string_view service,
                  std::uint64_t newest,
                  Sentences& sentences) {
  const std::string who =
      "Entry " + entry.instance + " (" + entry.data_centre + ")";
  const auto revision = RevisionOf(entry, service);
  if (!revision) {
    sentences.push_back(who +
                        " has no document of the service and refuses "
                        "its calls.");
    return;
  }
  if (*revision < newest) {
    sentences.push_back(who + " still has revision " +
                        std::to_string(*revision) + " in force, not " +
                        std::to_string(newest) + ".");
  }
  std::vector<EndpointView> endpoints;
  std::ranges::copy_if(
      entry.endpoints, std::back_inserter(endpoints),
      [&](const EndpointView& view) { return view.service == service; });
  if (endpoints.empty()) {
    sentences.push_back(who + " knows no endpoint of the service.");
    return;
  }
  std::ranges::stable_sort(endpoints, {}, LoadOf);
  std::string text = who + " chooses among, the least loaded first: ";
  for (const EndpointView& endpoint : endpoints) {
    text += (&endpoint == endpoints.data() ? "" : "; ") + Describe(endpoint);
  }
  sentences.push_back(text + ".");
}

}  // namespace

std::vector<std::string> Explain(std::span<const ProcessStatus> processes,
                                 std::string_view service) {
  Sentences sentences;
  const ServiceView view = Collect(processes, service);
  if (view.newest_revision == 0) {
    sentences.push_back("No process that answered has a document of service " +
                        std::string(service) + " in force.");
  } else {
    sentences.push_back("The newest document of service " +
                        std::string(service) + " is revision " +
                        std::to_string(view.newest_revision) + ".");
  }
  for (const AgentStatus* const agent : view.agents) {
    ExplainAgent(*agent, view.newest_revision, sentences);
  }
  for (const EntryStatus* const entry : view.entries) {
    ExplainEntry(*entry, service, view.newest_revision, sentences);
  }
  for (const ProcessStatus& process : processes) {
    if (const auto* none = std::get_if<NoStatus>(&process.status)) {
      sentences.push_back(process.url + " has no status: " + none->reason +
                          ".");
    }
  }
  return sentences;
}

}  // namespace radishrudder::command_line
