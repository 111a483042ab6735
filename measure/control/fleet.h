#ifndef RADISHRUDDER_MEASURE_CONTROL_FLEET_H_
#define RADISHRUDDER_MEASURE_CONTROL_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/membership/membership.h"

namespace radishrudder::measure {

// What one role of process spends on control.
struct Cost {
  std::size_t processes = 0;
  double seconds = 0;  // Processor time, with encoding and decoding.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages = 0;
};

// Cores of membership and documents of a whole fleet in virtual time. Counts
// what their calls cost and how large their messages are.
class Fleet {
 public:
  Fleet(std::uint64_t seed,
        std::size_t entries,
        std::size_t agents,
        std::size_t data_centres,
        std::size_t services);

  // Runs for a virtual time; the cost counts only while `counts`.
  void Run(kernel::Duration duration, bool counts);
  void PublishNext();
  // Every agent reports another load.
  void ChangeLoads();

  const Cost& EntryCost() const { return m_entry_cost; }
  const Cost& AgentCost() const { return m_agent_cost; }

 private:
  struct Process {
    membership::ListedInstance listed;
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<dissemination::DocumentReplica> documents;
    bool peers_changed = false;
    // Reads in progress end at these times.
    kernel::Time list_read = kernel::Time::max();
    kernel::Time document_read = kernel::Time::max();
    kernel::Time document_read_limit = kernel::Time::max();
    std::uint64_t read_after = 0;
  };
  struct Delivery {
    kernel::Time at{};
    std::size_t to = 0;
    std::string bytes;
    bool operator>(const Delivery& other) const { return at > other.at; }
  };

  void Step();
  void EndReads(std::size_t index);
  void TickOne(std::size_t index);
  void Deliver(const Delivery& delivery);
  void Collect(std::size_t index);
  void Send(std::size_t from, const wire::Send& send);
  void UpdatePeers(Process& process);
  Cost& CostOf(std::size_t index);
  dissemination::DocumentReadResult ReadDocuments(std::uint64_t after) const;

  template <typename Call>
  void Timed(std::size_t index, Call call);

  kernel::Random m_random;
  std::vector<Process> m_processes;
  std::map<std::string, std::size_t> m_index;
  std::vector<membership::ListedInstance> m_list;
  std::vector<dissemination::PublishedDocument> m_published;
  std::size_t m_services;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_queue;
  kernel::Time m_now{std::chrono::hours(1)};
  std::uint64_t m_revision = 0;
  bool m_counts = false;
  Cost m_entry_cost;
  Cost m_agent_cost;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_CONTROL_FLEET_H_
