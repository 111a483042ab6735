#ifndef RADISHRUDDER_TESTS_ROLLOUT_FLEET_H_
#define RADISHRUDDER_TESTS_ROLLOUT_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// The number of agents and the faults injected. Each `_chance` is the
// probability of the event per step, for each agent or for the fleet.
struct FleetSettings {
  std::uint64_t seed = 1;
  std::size_t agents = 8;
  double ready_floor = 0.75;
  double update_chance = 0.3;   // An agent receives updates of another one.
  double pause_chance = 0;      // An agent is paused for a random time.
  double restart_chance = 0;    // An agent restarts.
  double partition_chance = 0;  // A partition of random duration.
  // An engine restarts and loses its version.
  double engine_restart_chance = 0;
  bool engines_refuse_old_fences = true;
  // Disables the rule that peers later in the order must have accepted the
  // revision.
  bool ignore_accepted = false;
};

// Simulates the agents of one service and their endpoints in virtual time. The
// agents have stale views of each other. Records violations of the rollout's
// guarantees after every step of an agent.
class Fleet {
 public:
  explicit Fleet(FleetSettings settings);

  // Publishes a document. Each agent receives the documents in order, at random
  // times.
  void Publish(const std::string& digest);
  void Stop(std::size_t agent);
  // Removes an agent from the list of instances, visible to the others at once.
  void RemoveFromList(std::size_t agent);
  // Partitions the agents with an index below `first` from the others; 0 ends
  // the partition.
  void Partition(std::size_t first) { m_partition = first; }
  void Run(int steps);

  // Returns the number of agents that serve the digest published last and have
  // published that they are ready for it.
  std::size_t ReadyWithLatest() const;
  std::size_t PeakOutOfService() const { return m_peak_out_of_service; }
  int ViolationCount() const { return static_cast<int>(m_violations.size()); }
  const std::vector<std::string>& Violations() const { return m_violations; }
  std::string Explain(std::size_t agent) const;
  std::size_t OrderCount() const { return m_order_count; }

 private:
  struct SimulatedEndpoint {
    std::string running;
    std::string loading;
    std::uint64_t start_id = 1;
    Fence highest_fence;
    Fence loading_fence;
    int load_steps = 0;
  };
  struct Input {
    int at_step = 0;
    std::function<void(Rollout&, kernel::Time)> apply;
  };
  struct Agent {
    std::unique_ptr<Rollout> rollout;
    SimulatedEndpoint endpoint;
    std::vector<Readiness> published_states;
    std::vector<std::size_t>
        seen_states;  // Index into the published states of each agent.
    std::deque<Input> inputs;
    std::uint64_t incarnation = 0;
    std::size_t documents = 0;  // Documents received.
    int paused_until = 0;
    bool is_running = true;
    bool is_listed = true;
    bool gate_open = false;
    bool out_of_service = false;  // The agent decided to go out of service.
  };

  void StartAgent(std::size_t index);
  void Step();
  void StepAgent(std::size_t index);
  void StepEndpoint(Agent& agent);
  void InjectFaults(std::size_t index);
  void DeliverUpdates(std::size_t index);
  void HandleOutputs(std::size_t index);
  void Handle(std::size_t index, const OrderLoad& order);
  void Handle(std::size_t index, const Readiness& ready);
  void Handle(std::size_t index, const CloseGate& close);
  void Handle(std::size_t index, const OpenGate& open);
  void Handle(std::size_t index, const ReadBack& read);
  void CheckOutOfService();
  void RecordViolation(const std::string& rule);
  bool ArePartitioned(std::size_t a, std::size_t b) const;
  std::vector<RolloutPeer> PeersOf(std::size_t index) const;
  kernel::Time Now() const;

  FleetSettings m_settings;
  kernel::Random m_random;
  std::vector<Agent> m_agents;
  std::vector<std::string> m_documents;
  std::vector<std::string> m_violations;
  std::size_t m_maximum_out = 1;
  std::size_t m_peak_out_of_service = 0;
  std::size_t m_order_count = 0;
  std::size_t m_partition = 0;
  int m_partition_end_step = 0;
  int m_step = 0;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_TESTS_ROLLOUT_FLEET_H_
