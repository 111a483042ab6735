#ifndef TESTS_PLATFORM_WEIGHTS_FLEET_H_
#define TESTS_PLATFORM_WEIGHTS_FLEET_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/exchange/caller_server.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "tests/platform/platform_standin.h"
#include "tests/platform/running_program.h"
#include "tests/platform/weights_endpoint.h"

namespace radishrudder::platform {

// Mean seconds between two faults of one agent or endpoint; 0: none. They are
// more frequent in series.
struct FaultIntervals {
  double crash = 0;       // Keeps what is staged.
  double power_loss = 0;  // Loses what is staged.
  double freeze = 0;
  double corruption = 0;
  double agent_pause = 0;  // SIGSTOP, later SIGCONT.
  double agent_kill = 0;
};

struct WeightsFleetOptions {
  std::size_t agents = 0;
  std::uint64_t seed = 0;
  std::chrono::milliseconds fault_time{};
  AccessFaults accesses{};
  FaultIntervals intervals{};
  std::string log_directory{};  // Of agents with a finding; empty: not kept.
};

struct WeightsFleetResult {
  std::size_t loads = 0;
  std::uint64_t versions = 0;
  std::size_t faults = 0;
  // Each with its time, the agent and what led to it.
  std::vector<std::string> wrong_loads{};
  std::vector<std::string> other_findings{};
};

// Agents as separate processes, each on an address of its own, with their
// endpoints, an origin of weights and a store. Faults are drawn from the seed;
// their effect also depends on the time that the processes take.
class WeightsFleet {
 public:
  explicit WeightsFleet(WeightsFleetOptions options);

  // Declares versions during the faults and one after their end, and waits for
  // that one to run everywhere.
  WeightsFleetResult Run();

 private:
  struct Host {
    std::size_t number = 0;
    std::string ip{};
    kernel::Random random;
    std::uint64_t listed_id = 1;
    std::unique_ptr<RunningProgram> agent{};
    std::unique_ptr<WeightsEndpoint> endpoint{};
    bool agent_killed = false;
    kernel::Time series_until{};
  };

  std::string Ip(std::size_t number) const;
  std::string EndpointKey(const Host& host) const;
  StandinEntry ListEntry(const Host& host) const;
  StandinEntry VersionEntry() const;
  std::string SettingsText(const Host& host) const;
  void AnswerOrigin(const exchange::ReceivedRequest& request,
                    const std::shared_ptr<exchange::CallerExchange>& caller);
  void DeclareVersions();
  void DrawFaults(Host& host);
  // Whether a fault with this mean interval occurs in the present step.
  bool IsDue(Host& host, double interval);
  void StartEndpoint(Host& host);
  void CrashEndpoint(Host& host, bool keeps_staged);
  void PauseAgent(Host& host);
  void KillAgent(Host& host);
  bool AllRun(std::uint64_t version) const;
  void Collect();

  WeightsFleetOptions m_options;
  // One for each kind of draw, so that none depends on the times of others.
  kernel::Random m_random;
  kernel::Random m_version_random;
  kernel::Random m_origin_random;
  asio::io_context m_context{1};
  exchange::CallerServer m_origin;
  std::vector<Host> m_hosts;
  std::optional<PlatformStandin> m_store;
  std::uint64_t m_version = 1;
  bool m_faults_end = false;
  WeightsFleetResult m_result;
};

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_WEIGHTS_FLEET_H_
