#include "fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "source/radishrudder/rollout/turn.h"

namespace radishrudder::rollout {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStepTime{500};
constexpr std::uint64_t kMaximumPauseSteps = 40;
constexpr std::uint64_t kMaximumPartitionSteps = 100;
constexpr std::uint64_t kMaximumLoadSteps = 8;
constexpr std::uint64_t kMaximumCallSteps = 4;
constexpr std::uint64_t kMaximumReadBackDelaySteps = 3;
constexpr double kDocumentArrivalChance = 0.1;

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
      m_maximum_out(
          MaximumOutOfService(settings.agents, {settings.ready_floor, 0})) {
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    m_agents[i].published_states.push_back({});
    StartAgent(i);
  }
}

void Fleet::StartAgent(std::size_t index) {
  Agent& agent = m_agents[index];
  ++agent.incarnation;
  RolloutSettings settings;
  settings.self = {"a" + std::to_string(index), agent.incarnation};
  settings.service = "draft";
  agent.rollout =
      std::make_unique<Rollout>(settings, kernel::Random(m_random.Next()));
  agent.inputs.clear();
  agent.gate_open = false;
  // A restarted agent may receive an older document first.
  agent.documents = m_random.Below(agent.documents + 1);
  agent.seen_states.clear();
  for (const Agent& other : m_agents) {
    agent.seen_states.push_back(
        other.published_states.empty() ? 0 : other.published_states.size() - 1);
  }
  agent.published_states.push_back({});
  for (std::size_t i = 1; i <= agent.documents; ++i) {
    const std::string& digest = m_documents[i - 1];
    agent.rollout->OnWeightsComplete(Now(), digest);
    agent.rollout->OnDocument(Now(), i,
                              DocumentOf(digest, m_settings.ready_floor));
  }
}

kernel::Time Fleet::Now() const {
  return kernel::Time{std::chrono::hours(1)} + kStepTime * m_step;
}

void Fleet::Publish(const std::string& digest) {
  m_documents.push_back(digest);
}

void Fleet::Stop(std::size_t agent) {
  m_agents[agent].is_running = false;
  m_agents[agent].gate_open = false;
}

void Fleet::RemoveFromList(std::size_t agent) {
  m_agents[agent].is_listed = false;
}

void Fleet::Run(int steps) {
  for (int i = 0; i < steps; ++i) {
    ++m_step;
    Step();
  }
}

void Fleet::Step() {
  if (m_partition_end_step != 0 && m_step >= m_partition_end_step) {
    m_partition = 0;
    m_partition_end_step = 0;
  }
  if (m_partition == 0 && m_random.Chance(m_settings.partition_chance)) {
    m_partition = 1 + m_random.Below(m_agents.size() - 1);
    m_partition_end_step =
        m_step + 1 + static_cast<int>(m_random.Below(kMaximumPartitionSteps));
  }
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    StepEndpoint(m_agents[i]);
    if (m_agents[i].is_running) {
      StepAgent(i);
    }
    CheckOutOfService();
  }
}

void Fleet::StepEndpoint(Agent& agent) {
  SimulatedEndpoint& endpoint = agent.endpoint;
  if (!endpoint.loading.empty() && --endpoint.load_steps <= 0) {
    endpoint.running = std::exchange(endpoint.loading, "");
    const Fence fence = endpoint.loading_fence;
    agent.inputs.push_back(
        {m_step, [fence](Rollout& rollout, kernel::Time now) {
           rollout.OnOrderResult(now, fence, OrderResult::kDone);
         }});
  }
}

void Fleet::InjectFaults(std::size_t index) {
  Agent& agent = m_agents[index];
  if (m_random.Chance(m_settings.restart_chance)) {
    StartAgent(index);
  }
  if (m_random.Chance(m_settings.engine_restart_chance)) {
    agent.endpoint = {};
    agent.endpoint.start_id = m_random.Next();
  }
  if (m_random.Chance(m_settings.pause_chance)) {
    agent.paused_until =
        m_step + static_cast<int>(m_random.Below(kMaximumPauseSteps));
  }
}

void Fleet::StepAgent(std::size_t index) {
  Agent& agent = m_agents[index];
  InjectFaults(index);
  if (m_step < agent.paused_until) {
    return;
  }
  DeliverUpdates(index);
  if (agent.documents < m_documents.size() &&
      m_random.Chance(kDocumentArrivalChance)) {
    ++agent.documents;
    const std::string& digest = m_documents[agent.documents - 1];
    agent.rollout->OnWeightsComplete(Now(), digest);
    agent.rollout->OnDocument(Now(), agent.documents,
                              DocumentOf(digest, m_settings.ready_floor));
    HandleOutputs(index);
  }
  while (!agent.inputs.empty() && agent.inputs.front().at_step <= m_step) {
    const Input input = std::move(agent.inputs.front());
    agent.inputs.pop_front();
    input.apply(*agent.rollout, Now());
    HandleOutputs(index);
  }
  agent.rollout->OnTick(Now());
  HandleOutputs(index);
}

bool Fleet::ArePartitioned(std::size_t a, std::size_t b) const {
  return m_partition != 0 && (a < m_partition) != (b < m_partition);
}

// Delivers to an agent, from each other one, a state that is no older than the
// last one delivered.
void Fleet::DeliverUpdates(std::size_t index) {
  Agent& agent = m_agents[index];
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    const std::size_t newest = m_agents[i].published_states.size() - 1;
    if (i != index && !ArePartitioned(i, index) &&
        m_random.Chance(m_settings.update_chance)) {
      const std::size_t newer = newest - agent.seen_states[i];
      agent.seen_states[i] += m_random.Below(newer + 1);
    }
  }
  agent.rollout->OnPeers(Now(), PeersOf(index));
  HandleOutputs(index);
}

std::vector<RolloutPeer> Fleet::PeersOf(std::size_t index) const {
  std::vector<RolloutPeer> peers;
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    const Agent& other = m_agents[i];
    if (i == index || !other.is_listed) {
      continue;
    }
    const Readiness& seen =
        other.published_states[m_agents[index].seen_states[i]];
    RolloutPeer peer;
    peer.instance = "a" + std::to_string(i);
    peer.dead = !other.is_running || ArePartitioned(i, index);
    peer.running_digest = seen.running_digest;
    peer.ready_revision = seen.revision;
    peer.accepted_revision = seen.accepted_revision;
    if (m_settings.ignore_accepted) {
      peer.accepted_revision = m_agents[index].documents;
    }
    peers.push_back(peer);
  }
  return peers;
}

void Fleet::HandleOutputs(std::size_t index) {
  for (const RolloutOutput& output : m_agents[index].rollout->TakeOutputs()) {
    std::visit([&](const auto& typed) { Handle(index, typed); }, output);
  }
}

void Fleet::Handle(std::size_t index, const OrderLoad& order) {
  Agent& agent = m_agents[index];
  ++m_order_count;
  if (agent.gate_open) {
    RecordViolation("load order issued while the gate is open");
  }
  SimulatedEndpoint& endpoint = agent.endpoint;
  const bool refused = m_settings.engines_refuse_old_fences &&
                       !IsNewer(order.fence, endpoint.highest_fence);
  if (refused) {
    const Fence fence = order.fence;
    agent.inputs.push_back(
        {m_step, [fence](Rollout& rollout, kernel::Time now) {
           rollout.OnOrderResult(now, fence, OrderResult::kRefusedOldFence);
         }});
    return;
  }
  endpoint.highest_fence = order.fence;
  endpoint.running.clear();
  endpoint.loading = order.manifest_digest;
  endpoint.loading_fence = order.fence;
  endpoint.load_steps = 1 + static_cast<int>(m_random.Below(kMaximumLoadSteps));
}

void Fleet::Handle(std::size_t index, const Readiness& ready) {
  Agent& agent = m_agents[index];
  agent.published_states.push_back(ready);
  if (!ready.running_digest.empty() &&
      ready.running_digest != agent.endpoint.running &&
      m_settings.engine_restart_chance == 0) {
    RecordViolation("publishes a version that the endpoint does not run");
  }
}

void Fleet::Handle(std::size_t index, const CloseGate& /*close*/) {
  Agent& agent = m_agents[index];
  agent.gate_open = false;
  agent.out_of_service =
      agent.out_of_service || !agent.endpoint.running.empty();
  const int steps = static_cast<int>(m_random.Below(kMaximumCallSteps));
  agent.inputs.push_back(
      {m_step + steps,
       [](Rollout& rollout, kernel::Time now) { rollout.OnGateEmpty(now); }});
}

void Fleet::Handle(std::size_t index, const OpenGate& /*open*/) {
  Agent& agent = m_agents[index];
  agent.gate_open = true;
  agent.out_of_service = false;
}

void Fleet::Handle(std::size_t index, const ReadBack& read) {
  Agent& agent = m_agents[index];
  const int delay =
      static_cast<int>(m_random.Below(kMaximumReadBackDelaySteps));
  EndpointStatus status;
  status.reachable = true;
  status.running_digest = agent.endpoint.running;
  status.start_id = std::to_string(agent.endpoint.start_id);
  agent.inputs.push_back(
      {m_step + delay, [read, status](Rollout& rollout, kernel::Time now) {
         rollout.OnEndpointStatus(now, read, status);
       }});
}

void Fleet::CheckOutOfService() {
  const auto out_of_service = static_cast<std::size_t>(
      std::count_if(m_agents.begin(), m_agents.end(), [](const Agent& agent) {
        return agent.is_running && agent.is_listed && agent.out_of_service;
      }));
  m_peak_out_of_service = std::max(m_peak_out_of_service, out_of_service);
  if (out_of_service > m_maximum_out) {
    RecordViolation("more instances out of service than the floor allows");
  }
}

void Fleet::RecordViolation(const std::string& rule) {
  m_violations.push_back(rule + " at step " + std::to_string(m_step));
}

std::size_t Fleet::ReadyWithLatest() const {
  return static_cast<std::size_t>(
      std::count_if(m_agents.begin(), m_agents.end(), [&](const Agent& agent) {
        return agent.is_running && agent.gate_open &&
               agent.endpoint.running == m_documents.back() &&
               agent.published_states.back().revision == m_documents.size();
      }));
}

std::string Fleet::Explain(std::size_t agent) const {
  return m_agents[agent].rollout->Explain();
}

}  // namespace radishrudder::rollout
