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

// What a fleet's history may contain.
struct FleetSettings {
  std::uint64_t seed = 1;
  std::size_t agents = 8;
  double ready_floor = 0.75;
  // Chance a step that one agent hears a newer state of another one.
  double hear = 0.3;
  double pause = 0;      // Chance a step that an agent stops for a while.
  double restart = 0;    // Chance a step that an agent starts anew.
  double partition = 0;  // Chance a step that two halves are cut for a while.
  double engine_restart = 0;
  bool engines_refuse_old_fences = true;
  // Takes the rule out that later ones in order must have accepted.
  bool ignore_accepted = false;
};

// Agents of one service with their endpoints, in virtual time, with old views
// of each other. Checks after each input what must hold.
class Fleet {
 public:
  explicit Fleet(FleetSettings settings);

  // Documents are given out one by one, each at a random time to each agent.
  void Publish(const std::string& digest);
  void Kill(std::size_t agent);
  // The list drops an agent; the others hear at once.
  void Delist(std::size_t agent);
  // Cuts the agents below `first` off from the others; 0: heals.
  void Cut(std::size_t first) { m_cut = first; }
  void Run(int steps);

  // Agents that run and announce the last digest published.
  std::size_t ReadyWithLast() const;
  std::size_t MostOut() const { return m_most_out; }
  int Broken() const { return static_cast<int>(m_broken.size()); }
  const std::vector<std::string>& BrokenRules() const { return m_broken; }
  std::string Explain(std::size_t agent) const;
  std::size_t Orders() const { return m_orders; }

 private:
  struct Endpoint {
    std::string running;
    std::string loading;
    std::uint64_t start = 1;
    Fence highest;
    Fence loading_fence;
    int load_steps = 0;
  };
  struct Input {
    int at_step = 0;
    std::function<void(Rollout&, kernel::Time)> apply;
  };
  struct Agent {
    std::unique_ptr<Rollout> rollout;
    Endpoint endpoint;
    std::vector<Ready> history;      // All states announced.
    std::vector<std::size_t> heard;  // Index into each other's history.
    std::deque<Input> inputs;
    std::uint64_t incarnation = 0;
    std::size_t documents = 0;  // Number of documents it has.
    int paused_until = 0;
    bool alive = true;
    bool listed = true;
    bool gate_open = false;
    bool out = false;  // Left its version by its own decision.
  };

  void Start(std::size_t index);
  void Step();
  void StepAgent(std::size_t index);
  void StepEndpoint(Agent& agent);
  void MayFail(std::size_t index);
  void Hear(std::size_t index);
  void Collect(std::size_t index);
  void Handle(std::size_t index, const OrderLoad& order);
  void Handle(std::size_t index, const Ready& ready);
  void Handle(std::size_t index, const CloseGate& close);
  void Handle(std::size_t index, const OpenGate& open);
  void Handle(std::size_t index, const ReadBack& read);
  void Check();
  void Break(const std::string& rule);
  bool IsCut(std::size_t a, std::size_t b) const;
  std::vector<RolloutPeer> PeersOf(std::size_t index) const;
  kernel::Time Now() const;

  FleetSettings m_settings;
  kernel::Random m_random;
  std::vector<Agent> m_agents;
  std::vector<std::string> m_documents;
  std::vector<std::string> m_broken;
  std::size_t m_allowed = 1;
  std::size_t m_most_out = 0;
  std::size_t m_orders = 0;
  std::size_t m_cut = 0;
  int m_heal_step = 0;
  int m_step = 0;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_TESTS_ROLLOUT_FLEET_H_
