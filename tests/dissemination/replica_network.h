#ifndef RADISHRUDDER_TESTS_DISSEMINATION_REPLICA_NETWORK_H_
#define RADISHRUDDER_TESTS_DISSEMINATION_REPLICA_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "radishrudder/dissemination/document_replica.h"

namespace radishrudder::dissemination {

// Fake configuration service that stores every revision of its documents, and
// can be unavailable or return an old state.
class FakeService {
 public:
  void Publish(std::string service, std::string content);
  void Delete(const std::string& service);
  // Deletes a document with its history, so that no read reports the deletion.
  void DeleteWithHistory(const std::string& service);
  std::uint64_t Revision() const { return m_revision; }

  bool down = false;
  // Highest revision that reads return; 0: no limit.
  std::uint64_t readable_revision_limit = 0;

  DocumentReadResult Read(std::uint64_t after) const;

 private:
  std::map<std::string, std::vector<PublishedDocument>> m_history;
  std::uint64_t m_revision = 0;
};

// Replicas connected by a simulated network with delay, loss and partitions, in
// virtual time.
class ReplicaNetwork {
 public:
  struct Process {
    std::string instance;
    std::string data_centre;
    std::unique_ptr<DocumentReplica> replica;
    std::map<std::string, std::uint64_t> in_force;
    kernel::Time paused_until{};
    bool reading = false;
    int reads = 0;
  };

  ReplicaNetwork(std::uint64_t seed, int processes, int data_centres);

  // Starts all processes, each with the list of its peers.
  void Start();
  void StartProcess(std::size_t index);
  void RunFor(kernel::Duration duration);

  Process& At(std::size_t index) { return m_processes[index]; }
  std::size_t Size() const { return m_processes.size(); }
  FakeService& Service() { return m_service; }
  kernel::Time Now() const { return m_now; }
  // Returns how often a process accepted a document without a higher revision
  // than the one in force there.
  int Regressions() const { return m_regressions; }
  // Returns the number of processes at which this revision of the document of
  // `service` is in force.
  int CountInForce(const std::string& service, std::uint64_t revision) const;
  // Returns the reads that all processes have started.
  int TotalReads() const;

  double loss = 0;
  // Returns whether the network drops messages from the first process to the
  // second one.
  std::function<bool(std::size_t, std::size_t)> is_partitioned;
  // Called for each document that takes effect in a process.
  std::function<void(const PublishedDocument&)> on_accepted;
  // Returns whether a process cannot reach the configuration service.
  std::function<bool(std::size_t)> is_service_unreachable;
  // Bytes sent by all processes: document updates, and all messages.
  std::size_t update_bytes = 0;
  std::size_t all_bytes = 0;

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
  void HandleAccepted(Process& process, const PublishedDocument& document);
  std::vector<ReplicaPeer> PeersOf(std::size_t index) const;

  kernel::Random m_random;
  std::vector<Process> m_processes;
  std::map<std::string, std::size_t> m_index;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_queue;
  FakeService m_service;
  kernel::Time m_now{std::chrono::hours(1)};
  std::uint64_t m_last_order = 0;
  int m_regressions = 0;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_TESTS_DISSEMINATION_REPLICA_NETWORK_H_
