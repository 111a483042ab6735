#include "status_view.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

namespace radishrudder::command_line {
namespace {

constexpr std::size_t kBarWidth = 30;
constexpr std::size_t kShownDigits = 19;  // "sha256:" and 12 digits.
constexpr double kUnitStep = 1024;

// How far the rollout of one service is.
struct Rollout {
  std::uint64_t newest_revision = 0;
  std::size_t agents = 0;
  std::size_t ready = 0;      // On the newest revision.
  std::size_t complete = 0;   // All weights present.
  std::size_t accepting = 0;  // Gate open and not draining.
};

using Rollouts = std::map<std::string, Rollout>;

std::vector<const AgentStatus*> Agents(
    std::span<const ProcessStatus> processes) {
  std::vector<const AgentStatus*> agents;
  for (const ProcessStatus& process : processes) {
    if (const auto* agent = std::get_if<AgentStatus>(&process.status)) {
      agents.push_back(agent);
    }
  }
  std::ranges::sort(agents, {}, [](const AgentStatus* agent) {
    return std::tie(agent->service, agent->instance);
  });
  return agents;
}

// The newest revision that any process, agent or entry, has in force.
void FindNewest(std::span<const ProcessStatus> processes, Rollouts& rollouts) {
  const auto see = [&](const std::string& service, std::uint64_t revision) {
    const auto found = rollouts.find(service);
    if (found != rollouts.end()) {
      found->second.newest_revision =
          std::max(found->second.newest_revision, revision);
    }
  };
  for (const ProcessStatus& process : processes) {
    if (const auto* agent = std::get_if<AgentStatus>(&process.status)) {
      see(agent->service, agent->document_revision);
    } else if (const auto* entry = std::get_if<EntryStatus>(&process.status)) {
      for (const DocumentInForce& document : entry->documents) {
        see(document.service, document.revision);
      }
    }
  }
}

Rollouts CollectRollouts(std::span<const ProcessStatus> processes) {
  Rollouts rollouts;
  const auto agents = Agents(processes);
  for (const AgentStatus* const agent : agents) {
    ++rollouts[agent->service].agents;
  }
  FindNewest(processes, rollouts);
  for (const AgentStatus* const agent : agents) {
    Rollout& rollout = rollouts[agent->service];
    rollout.ready += agent->ready_revision >= rollout.newest_revision ? 1 : 0;
    rollout.complete += agent->weights_complete ? 1 : 0;
    rollout.accepting += agent->gate == "open" && !agent->draining ? 1 : 0;
  }
  return rollouts;
}

std::string Bar(std::size_t part, std::size_t whole) {
  const std::size_t filled = whole == 0 ? 0 : part * kBarWidth / whole;
  return "[" + std::string(filled, '#') + std::string(kBarWidth - filled, '.') +
         "]";
}

std::string Padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text + "  ";
}

std::string Ratio(std::uint64_t part, std::uint64_t whole) {
  return std::to_string(part) + "/" + std::to_string(whole);
}

// Lays out rows in columns as wide as their widest cell.
std::string Table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += Padded(row[i], widths[i]);
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::string RenderRollouts(const Rollouts& rollouts) {
  std::string text;
  for (const auto& [service, rollout] : rollouts) {
    text += service + " revision " + std::to_string(rollout.newest_revision) +
            " " + Bar(rollout.ready, rollout.agents) + " ready " +
            Ratio(rollout.ready, rollout.agents) + ", weights complete " +
            Ratio(rollout.complete, rollout.agents) + ", accepting calls " +
            Ratio(rollout.accepting, rollout.agents) + "\n";
  }
  return text;
}

std::vector<std::string> AgentRow(const AgentStatus& agent) {
  const std::string revision =
      agent.ready_revision == agent.document_revision
          ? std::to_string(agent.document_revision)
          : std::to_string(agent.ready_revision) + " -> " +
                std::to_string(agent.document_revision);
  return {agent.service,
          agent.instance,
          agent.data_centre,
          revision,
          ShortDigest(agent.running_digest),
          agent.draining ? "draining" : agent.gate,
          Ratio(agent.chunks_present, agent.chunks_total),
          Size(agent.origin_bytes),
          Size(agent.peer_bytes),
          std::to_string(agent.calls_in_progress) + "+" +
              std::to_string(agent.calls_waiting),
          agent.waiting_for};
}

std::string RenderAgents(std::span<const ProcessStatus> processes) {
  std::vector<std::vector<std::string>> rows{
      {"SERVICE", "AGENT", "DATA CENTRE", "REVISION", "RUNNING", "GATE",
       "CHUNKS", "ORIGIN", "PEERS", "CALLS", "ROLLOUT"}};
  for (const AgentStatus* const agent : Agents(processes)) {
    rows.push_back(AgentRow(*agent));
  }
  return rows.size() == 1 ? "" : "\n" + Table(rows);
}

std::string RenderEntries(std::span<const ProcessStatus> processes) {
  std::vector<std::vector<std::string>> rows{
      {"ENTRY", "DATA CENTRE", "DOCUMENTS", "ENDPOINTS", "CALLS", "STATE"}};
  for (const ProcessStatus& process : processes) {
    if (const auto* entry = std::get_if<EntryStatus>(&process.status)) {
      rows.push_back({entry->instance, entry->data_centre,
                      std::to_string(entry->documents.size()),
                      std::to_string(entry->endpoints.size()),
                      std::to_string(entry->calls_in_progress) + "+" +
                          std::to_string(entry->calls_waiting),
                      entry->draining ? "draining" : "accepting"});
    }
  }
  return rows.size() == 1 ? "" : "\n" + Table(rows);
}

std::string RenderSilent(std::span<const ProcessStatus> processes) {
  std::string text;
  for (const ProcessStatus& process : processes) {
    if (const auto* none = std::get_if<NoStatus>(&process.status)) {
      text += process.url + ": no status: " + none->reason + "\n";
    }
  }
  return text.empty() ? "" : "\n" + text;
}

}  // namespace

std::string RenderStatus(std::span<const ProcessStatus> processes) {
  return RenderRollouts(CollectRollouts(processes)) + RenderAgents(processes) +
         RenderEntries(processes) + RenderSilent(processes);
}

std::string RenderJson(std::span<const ProcessStatus> processes) {
  nlohmann::ordered_json array = nlohmann::ordered_json::array();
  for (const ProcessStatus& process : processes) {
    nlohmann::ordered_json object{{"url", process.url}};
    if (const auto* none = std::get_if<NoStatus>(&process.status)) {
      object["error"] = none->reason;
    } else {
      object["status"] = nlohmann::ordered_json::parse(process.json);
    }
    array.push_back(std::move(object));
  }
  return array.dump() + "\n";
}

std::string ShortDigest(std::string_view digest) {
  return digest.empty() ? "none" : std::string(digest.substr(0, kShownDigits));
}

std::string Size(std::uint64_t bytes) {
  constexpr std::array kUnits{"B", "KiB", "MiB", "GiB", "TiB"};
  auto size = static_cast<double>(bytes);
  std::size_t unit = 0;
  while (size >= kUnitStep && unit + 1 < kUnits.size()) {
    size /= kUnitStep;
    ++unit;
  }
  char text[32];
  std::snprintf(text, sizeof(text), unit == 0 ? "%.0f %s" : "%.1f %s", size,
                kUnits[unit]);
  return text;
}

bool AllAnswered(std::span<const ProcessStatus> processes) {
  return std::ranges::none_of(processes, [](const ProcessStatus& process) {
    return std::holds_alternative<NoStatus>(process.status);
  });
}

}  // namespace radishrudder::command_line
