#ifndef RADISHRUDDER_TESTS_MEMBERSHIP_MEMBER_NETWORK_H_
#define RADISHRUDDER_TESTS_MEMBERSHIP_MEMBER_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "radishrudder/membership/membership.h"

namespace radishrudder::membership {

// Memberships connected by a simulated network with delay, jitter and loss, in
// virtual time. The first `entries` processes are entries, the others agents.
class MemberNetwork {
 public:
  struct Process {
    ListedInstance listed;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Membership> membership;
    kernel::Time paused_until{};
    int reads = 0;
    // Times that this process saw a running process suspected.
    int false_suspicions = 0;
  };

  MemberNetwork(std::uint64_t seed, int entries, int agents, int data_centres);

  void Start();
  // Starts a run of a process, which replaces the previous one.
  void StartProcess(std::size_t index, std::uint64_t incarnation);
  void Kill(std::size_t index) { m_processes[index].membership.reset(); }
  void RunFor(kernel::Duration duration);
  // Change the instance list and increment its revision.
  void MarkListedLeaving(std::size_t index);
  void RemoveFromList(std::size_t index);

  Process& At(std::size_t index) { return m_processes[index]; }
  std::size_t Size() const { return m_processes.size(); }
  kernel::Time Now() const { return m_now; }
  // Returns the number of other running processes that see a process in a
  // state.
  int CountSeenAs(std::size_t index, State state) const;
  int FalseSuspicions() const;
  void Inject(std::size_t to, wire::Envelope message);

  double loss = 0;
  std::uint64_t jitter_milliseconds = 20;
  // Returns whether the network drops messages from the first process to the
  // second one.
  std::function<bool(std::size_t, std::size_t)> is_partitioned;
  bool list_down = false;
  std::size_t bytes = 0;
  // Messages that carry only updates of other processes.
  int update_messages = 0;

 private:
  struct Delivery {
    kernel::Time at{};
    std::uint64_t order = 0;
    std::size_t to = 0;
    wire::Envelope message;
    bool operator>(const Delivery& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Step();
  void Deliver(Delivery delivery);
  void HandleOutputs(std::size_t index);
  void HandleSend(std::size_t from, const wire::Send& send);
  void HandleChanged(Process& process, const std::string& instance);
  InstanceListResult ReadList() const;

  kernel::Random m_random;
  std::vector<Process> m_processes;
  std::map<std::string, std::size_t> m_index;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_queue;
  std::vector<ListedInstance> m_list;
  std::uint64_t m_list_revision = 1;
  kernel::Time m_now{std::chrono::hours(1)};
  std::uint64_t m_last_order = 0;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_TESTS_MEMBERSHIP_MEMBER_NETWORK_H_
