#include "fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "source/radishrudder/rollout/turn.h"

namespace radishrudder::rollout {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{500};
constexpr std::uint64_t kLongestPauseSteps = 40;
constexpr std::uint64_t kLongestPartitionSteps = 100;
constexpr std::uint64_t kLongestLoadSteps = 8;
constexpr std::uint64_t kLongestCallSteps = 4;
constexpr std::uint64_t kLongestDelaySteps = 3;
constexpr double kGetDocument = 0.1;

document::ServiceDocument DocumentOf(const std::string& digest, double floor) {
  document::ServiceDocument document;
  document.service = "draft";
  document.model = document::ModelSection{.name = "m",
                                          .version = digest,
                                          .manifest_digest = digest,
                                          .adapters = {}};
  document.rollout.ready_floor = floor;
  return document;
}

bool IsNewer(const Fence& fence, const Fence& than) {
  return std::tie(fence.revision, fence.incarnation, fence.order) >
         std::tie(than.revision, than.incarnation, than.order);
}

}  // namespace

Fleet::Fleet(FleetSettings settings)
    : m_settings(settings),
      m_random(settings.seed),
      m_agents(settings.agents),
      m_allowed(AllowedOut(settings.agents, {settings.ready_floor, 0})) {
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    m_agents[i].history.push_back({});
    Start(i);
  }
}

void Fleet::Start(std::size_t index) {
  Agent& agent = m_agents[index];
  ++agent.incarnation;
  RolloutSettings settings;
  settings.self = {"a" + std::to_string(index), agent.incarnation};
  settings.service = "draft";
  agent.rollout =
      std::make_unique<Rollout>(settings, kernel::Random(m_random.Next()));
  agent.inputs.clear();
  agent.gate_open = false;
  // A fresh process may be given an old document first.
  agent.documents = m_random.Below(agent.documents + 1);
  agent.heard.clear();
  for (const Agent& other : m_agents) {
    agent.heard.push_back(other.history.empty() ? 0 : other.history.size() - 1);
  }
  agent.history.push_back({});
  for (std::size_t i = 1; i <= agent.documents; ++i) {
    const std::string& digest = m_documents[i - 1];
    agent.rollout->OnVersionComplete(Now(), digest);
    agent.rollout->OnDocument(Now(), i,
                              DocumentOf(digest, m_settings.ready_floor));
  }
}

kernel::Time Fleet::Now() const {
  return kernel::Time{std::chrono::hours(1)} + kStep * m_step;
}

void Fleet::Publish(const std::string& digest) {
  m_documents.push_back(digest);
}

void Fleet::Kill(std::size_t agent) {
  m_agents[agent].alive = false;
  m_agents[agent].gate_open = false;
}

void Fleet::Delist(std::size_t agent) {
  m_agents[agent].listed = false;
}

void Fleet::Run(int steps) {
  for (int i = 0; i < steps; ++i) {
    ++m_step;
    Step();
  }
}

void Fleet::Step() {
  if (m_heal_step != 0 && m_step >= m_heal_step) {
    m_cut = 0;
    m_heal_step = 0;
  }
  if (m_cut == 0 && m_random.Chance(m_settings.partition)) {
    m_cut = 1 + m_random.Below(m_agents.size() - 1);
    m_heal_step =
        m_step + 1 + static_cast<int>(m_random.Below(kLongestPartitionSteps));
  }
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    StepEndpoint(m_agents[i]);
    if (m_agents[i].alive) {
      StepAgent(i);
    }
    Check();
  }
}

void Fleet::StepEndpoint(Agent& agent) {
  Endpoint& endpoint = agent.endpoint;
  if (!endpoint.loading.empty() && --endpoint.load_steps <= 0) {
    endpoint.running = std::exchange(endpoint.loading, "");
    const Fence fence = endpoint.loading_fence;
    agent.inputs.push_back(
        {m_step, [fence](Rollout& rollout, kernel::Time now) {
           rollout.OnOrderResult(now, fence, OrderResult::kDone);
         }});
  }
}

void Fleet::MayFail(std::size_t index) {
  Agent& agent = m_agents[index];
  if (m_random.Chance(m_settings.restart)) {
    Start(index);
  }
  if (m_random.Chance(m_settings.engine_restart)) {
    agent.endpoint = {};
    agent.endpoint.start = m_random.Next();
  }
  if (m_random.Chance(m_settings.pause)) {
    agent.paused_until =
        m_step + static_cast<int>(m_random.Below(kLongestPauseSteps));
  }
}

void Fleet::StepAgent(std::size_t index) {
  Agent& agent = m_agents[index];
  MayFail(index);
  if (m_step < agent.paused_until) {
    return;
  }
  Hear(index);
  if (agent.documents < m_documents.size() && m_random.Chance(kGetDocument)) {
    ++agent.documents;
    const std::string& digest = m_documents[agent.documents - 1];
    agent.rollout->OnVersionComplete(Now(), digest);
    agent.rollout->OnDocument(Now(), agent.documents,
                              DocumentOf(digest, m_settings.ready_floor));
    Collect(index);
  }
  while (!agent.inputs.empty() && agent.inputs.front().at_step <= m_step) {
    const Input input = std::move(agent.inputs.front());
    agent.inputs.pop_front();
    input.apply(*agent.rollout, Now());
    Collect(index);
  }
  agent.rollout->OnTick(Now());
  Collect(index);
}

bool Fleet::IsCut(std::size_t a, std::size_t b) const {
  return m_cut != 0 && (a < m_cut) != (b < m_cut);
}

// An agent hears some state of another one that is not older than the last.
void Fleet::Hear(std::size_t index) {
  Agent& agent = m_agents[index];
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    const std::size_t newest = m_agents[i].history.size() - 1;
    if (i != index && !IsCut(i, index) && m_random.Chance(m_settings.hear)) {
      const std::size_t newer = newest - agent.heard[i];
      agent.heard[i] += m_random.Below(newer + 1);
    }
  }
  agent.rollout->OnPeers(Now(), PeersOf(index));
  Collect(index);
}

std::vector<RolloutPeer> Fleet::PeersOf(std::size_t index) const {
  std::vector<RolloutPeer> peers;
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    const Agent& other = m_agents[i];
    if (i == index || !other.listed) {
      continue;
    }
    const Ready& heard = other.history[m_agents[index].heard[i]];
    RolloutPeer peer;
    peer.instance = "a" + std::to_string(i);
    peer.dead = !other.alive || IsCut(i, index);
    peer.running_digest = heard.running_digest;
    peer.ready_revision = heard.revision;
    peer.accepted_revision = heard.accepted;
    if (m_settings.ignore_accepted) {
      peer.accepted_revision = m_agents[index].documents;
    }
    peers.push_back(peer);
  }
  return peers;
}

void Fleet::Collect(std::size_t index) {
  for (const RolloutOutput& output : m_agents[index].rollout->TakeOutputs()) {
    std::visit([&](const auto& typed) { Handle(index, typed); }, output);
  }
}

void Fleet::Handle(std::size_t index, const OrderLoad& order) {
  Agent& agent = m_agents[index];
  ++m_orders;
  if (agent.gate_open) {
    Break("order while the gate is open");
  }
  Endpoint& endpoint = agent.endpoint;
  const bool refused = m_settings.engines_refuse_old_fences &&
                       !IsNewer(order.fence, endpoint.highest);
  if (refused) {
    const Fence fence = order.fence;
    agent.inputs.push_back(
        {m_step, [fence](Rollout& rollout, kernel::Time now) {
           rollout.OnOrderResult(now, fence, OrderResult::kRefusedOldFence);
         }});
    return;
  }
  endpoint.highest = order.fence;
  endpoint.running.clear();
  endpoint.loading = order.manifest_digest;
  endpoint.loading_fence = order.fence;
  endpoint.load_steps = 1 + static_cast<int>(m_random.Below(kLongestLoadSteps));
}

void Fleet::Handle(std::size_t index, const Ready& ready) {
  Agent& agent = m_agents[index];
  agent.history.push_back(ready);
  if (!ready.running_digest.empty() &&
      ready.running_digest != agent.endpoint.running &&
      m_settings.engine_restart == 0) {
    Break("announces a version that the endpoint does not run");
  }
}

void Fleet::Handle(std::size_t index, const CloseGate& /*close*/) {
  Agent& agent = m_agents[index];
  agent.gate_open = false;
  agent.out = agent.out || !agent.endpoint.running.empty();
  const int steps = static_cast<int>(m_random.Below(kLongestCallSteps));
  agent.inputs.push_back(
      {m_step + steps,
       [](Rollout& rollout, kernel::Time now) { rollout.OnGateEmpty(now); }});
}

void Fleet::Handle(std::size_t index, const OpenGate& /*open*/) {
  Agent& agent = m_agents[index];
  agent.gate_open = true;
  agent.out = false;
}

void Fleet::Handle(std::size_t index, const ReadBack& /*read*/) {
  Agent& agent = m_agents[index];
  const int delay = static_cast<int>(m_random.Below(kLongestDelaySteps));
  EndpointStatus status;
  status.reachable = true;
  status.running_digest = agent.endpoint.running;
  status.start_id = std::to_string(agent.endpoint.start);
  agent.inputs.push_back(
      {m_step + delay, [status](Rollout& rollout, kernel::Time now) {
         rollout.OnEndpointStatus(now, status);
       }});
}

void Fleet::Check() {
  const auto out = static_cast<std::size_t>(
      std::count_if(m_agents.begin(), m_agents.end(), [](const Agent& agent) {
        return agent.alive && agent.listed && agent.out;
      }));
  m_most_out = std::max(m_most_out, out);
  if (out > m_allowed) {
    Break("more out of service than the floor allows");
  }
}

void Fleet::Break(const std::string& rule) {
  m_broken.push_back(rule + " at step " + std::to_string(m_step));
}

std::size_t Fleet::ReadyWithLast() const {
  return static_cast<std::size_t>(
      std::count_if(m_agents.begin(), m_agents.end(), [&](const Agent& agent) {
        return agent.alive && agent.gate_open &&
               agent.endpoint.running == m_documents.back() &&
               agent.history.back().revision == m_documents.size();
      }));
}

std::string Fleet::Explain(std::size_t agent) const {
  return m_agents[agent].rollout->Explain();
}

}  // namespace radishrudder::rollout
