#ifndef MEASURE_CALLS_SIMULATION_H_
#define MEASURE_CALLS_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/calls/entry_core.h"
#include "tests/histories/scheduler.h"

namespace radishrudder::measure {

struct Load {
  std::uint64_t seed = 1;
  int endpoints = 16;
  int entries = 3;
  int workspaces = 10;
  double load_factor = 1;    // Offered load over capacity.
  double flood = 0;          // Load of workspace 0 over its fair share.
  int kill_percent = 0;      // Endpoints that restart midway.
  bool all_failing = false;  // Every call breaks off at its endpoint.
  kernel::Duration duration = std::chrono::seconds(20);
};

struct Figures {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t answered = 0;  // Whole and before the deadline.
  double seconds = 0;
  std::vector<std::uint64_t> answered_by_workspace;
  std::vector<std::uint64_t> calls_by_workspace;
};

// Real entry cores and gates on virtual time, with endpoints whose calls take
// an exponential time, at messages' delays of a millisecond.
class Simulation {
 public:
  explicit Simulation(Load load);
  Figures Run();

  static constexpr double kServiceSeconds = 0.2;
  static constexpr std::uint32_t kConcurrency = 8;
  static constexpr kernel::Duration kTimeout = std::chrono::seconds(2);

  // Calls that the endpoints can answer in a second.
  double Capacity() const {
    return m_load.endpoints * kConcurrency / kServiceSeconds;
  }

 private:
  struct Agent {
    wire::ProcessKey key;
    std::unique_ptr<calls::AgentGate> gate;
  };
  struct OpenCall {
    int workspace = 0;
    kernel::Time deadline{};
  };

  void StartAgent(Agent& agent);
  void ShareEndpoints();
  void ScheduleCalls(int workspace, double per_second);
  void Call(int workspace);
  void Tick();
  void Flush();
  void FlushEntry(calls::EntryCore& entry);
  void FlushAgent(Agent& agent);
  void StartAtEndpoint(Agent& agent, const calls::StartEndpointCall& start);
  void KillSome();

  Load m_load;
  kernel::Random m_random;
  histories::Scheduler m_scheduler;
  document::ServiceDocument m_document;
  std::vector<std::unique_ptr<calls::EntryCore>> m_entries;
  std::vector<Agent> m_agents;
  std::map<calls::CallId, OpenCall> m_open;
  calls::CallId m_last_call = 0;
  std::uint64_t m_last_incarnation = 0;
  kernel::Time m_end{};
  Figures m_figures;
};

}  // namespace radishrudder::measure

#endif  // MEASURE_CALLS_SIMULATION_H_
