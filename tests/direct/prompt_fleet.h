#ifndef TESTS_DIRECT_PROMPT_FLEET_H_
#define TESTS_DIRECT_PROMPT_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "radishrudder/direct/entry.h"
#include "radishrudder/kernel/random.h"

namespace radishrudder::direct {

// Load and faults of a fleet.
struct PromptLoad {
  std::size_t entries = 4;
  std::size_t endpoints = 19;
  double sound_per_second = 80;
  // Requests whose prompts have the crashing parts, one part after the other.
  double crashing_per_second = 3;
  std::chrono::milliseconds crashing_from{10000};
  std::size_t crashing_parts = 1;
  // Time at which all endpoints end at once; nothing: never.
  std::optional<std::chrono::milliseconds> all_endpoints_end{};
  // The service has no engine: requests have no prompt parts, and a request
  // crashes endpoints as a whole. `crashing_parts` is the number of these.
  bool plain = false;
  bool repeatable = true;
  // Each crashing request arrives at all entries at the same time.
  bool crashing_at_all_entries = false;
  // Times at which one entry is started anew, without evidence.
  std::vector<std::chrono::milliseconds> entry_restarts{};
  std::chrono::milliseconds duration{40000};
};

// What became of one group of requests.
struct PromptCounts {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
};

// Several entries in front of endpoints that crash when they begin to answer a
// prompt with certain parts, on a simulated clock. Every prompt has a first
// part that all requests share, one of many subjects, and a part of its own.
class PromptFleet {
 public:
  PromptFleet(const PromptLoad& load, std::uint64_t seed);

  void Run();

  // Crashing requests that reached endpoints more than `settling` after that
  // many crashes.
  std::uint64_t LateCrashingArrivals(std::size_t crashes,
                                     std::chrono::milliseconds settling) const;
  std::uint64_t Crashes() const { return m_crashes.size(); }
  // Sound requests that were offered in a period.
  PromptCounts Sound(std::chrono::milliseconds from,
                     std::chrono::milliseconds to) const;

 private:
  struct Work {
    std::size_t entry = 0;
    CallId call = 0;
    kernel::Time begins{};
    bool crashes = false;
    int events = 0;
  };
  struct Endpoint {
    ListedEndpoint listed;
    std::optional<kernel::Time> back_at;  // Set while it is down.
    std::vector<Work> work;
  };
  struct Offered {
    kernel::Time at{};
    bool crashing = false;
    bool answered = false;
  };

  std::chrono::milliseconds Since(kernel::Time time) const;
  void Step();
  CallerRequest MakeRequest(CallId call, bool crashing);
  std::unique_ptr<Entry> MakeEntry(std::size_t index);
  void RestartEntry();
  // Two entries tell each other what they know.
  void Exchange(std::size_t first, std::size_t second);
  void Answer(const Work& work);
  void Offer(std::size_t entry, bool crashing);
  void ListEndpoints();
  // Entries tell some others of changed evidence, as `peers` does.
  void ExchangeEvidence();
  void AdvanceEndpoint(Endpoint& endpoint);
  void End(Endpoint& endpoint);
  void CarryOut(std::size_t entry);
  void Carry(std::size_t entry, const SendAttempt& send);
  void Cancel(std::size_t entry, CallId call);

  PromptLoad m_load;
  kernel::Random m_random;
  kernel::Time m_start{std::chrono::hours(1)};
  kernel::Time m_now = m_start;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::uint64_t> m_told_evidence;  // Revisions, by entry.
  kernel::Time m_next_exchange{};
  std::vector<Endpoint> m_endpoints;
  // By entry and call.
  std::map<std::pair<std::size_t, CallId>, Offered> m_offered;
  std::vector<kernel::Time> m_crashes;
  std::vector<kernel::Time> m_crashing_arrivals;
  CallId m_last_call = 0;
  std::uint64_t m_crashing_offered = 0;
  double m_sound_due = 0;
  double m_crashing_due = 0;
};

}  // namespace radishrudder::direct

#endif  // TESTS_DIRECT_PROMPT_FLEET_H_
