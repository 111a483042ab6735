#ifndef TESTS_STAGING_STAGER_FLEET_H_
#define TESTS_STAGING_STAGER_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/staging/stager.h"
#include "tests/staging/agenda.h"
#include "tests/staging/async_endpoint.h"

namespace radishrudder::staging {

// Simulated endpoint with a staging area.
struct FakeEndpoint {
  std::uint64_t started_at_ms = 1;
  std::uint64_t version = 0;
  std::uint64_t accepted_orders = 0;
  bool busy = false;
  bool reachable = true;
  bool responds_to_orders = true;
  std::map<std::uint32_t, std::string> staged{};
  // Staged pieces at the time of each accepted load order.
  std::vector<std::map<std::uint32_t, std::string>> loaded_pieces{};
  std::optional<kernel::Time> load_finishes_at{};
  std::uint64_t loading_version = 0;
  std::vector<kernel::Time> order_times{};
};

struct FleetOptions {
  std::size_t instances = 8;
  std::uint64_t seed = 1;
  // Instances are distributed over this many regions.
  std::size_t regions = 1;
  // Instances read a declaration up to this much later than the first.
  std::chrono::milliseconds maximum_declaration_delay{0};
  // Share of the messages between instances that are lost.
  double message_loss = 0;
  // Rate of the origin's link, which all of its answers share; 0: no limit.
  double origin_bytes_per_second = 0;
  // Endpoints are `AsyncEndpoint` instead of `FakeEndpoint` if this is set.
  std::optional<AccessTiming> access_timing{};
};

// Simulates the stagers of one service, their endpoints, an origin and a
// network with a constant delay. The test advances the virtual time.
class StagerFleet {
 public:
  StagerFleet(std::size_t instances, std::uint64_t seed)
      : StagerFleet(FleetOptions{.instances = instances, .seed = seed}) {}
  explicit StagerFleet(const FleetOptions& options);

  // Adds an instance whose endpoint has no model and no staged pieces. Returns
  // its index.
  std::size_t AddInstance(bool reachable = true);
  void DeclareVersion(std::uint64_t version, bool newly_declared);
  void Run(std::chrono::milliseconds time);
  // Runs until all endpoints run `version` or `limit` has passed. Returns
  // whether all of them run it.
  bool RunUntilAllOn(std::uint64_t version, std::chrono::milliseconds limit);
  bool LoadedCompletely(std::size_t index, std::uint64_t version) const;

  FakeEndpoint& Endpoint(std::size_t index) { return m_hosts[index]->endpoint; }
  AsyncEndpoint& Async(std::size_t index) { return *m_hosts[index]->async; }
  kernel::Time Now() const { return m_now; }
  std::size_t OriginPieceCount() const { return m_origin_piece_count; }
  // Requests for a piece list that reached the origin.
  std::size_t OriginListCount() const { return m_origin_list_count; }
  // Maximum number of them that were unanswered at the same time.
  std::size_t MaximumOriginLists() const { return m_maximum_origin_lists; }
  // Returns how many instances have the list of `version`.
  std::size_t ListedCount(std::uint64_t version) const;
  // Number of times that an instance without the store noticed a newer version.
  std::size_t NewerVersionCount() const { return m_newer_version_count; }
  // Delivers no declaration to an instance, as if its store did not answer.
  void SetStoreAvailable(std::size_t index, bool available) {
    m_hosts[index]->store_available = available;
  }
  std::size_t Size() const { return m_hosts.size(); }
  void SetOriginAvailable(bool available) { m_origin_available = available; }
  // Corrupts every n-th piece from the origin.
  void CorruptEveryNthOriginPiece(std::size_t n) { m_corruption_period = n; }
  // Returns the number of corrupted pieces found in staging areas.
  std::size_t RepairCount() const { return m_repair_count; }
  // Replaces the stager by a new one and declares the version `declared` to it.
  // What the former one has sent to an `AsyncEndpoint` still arrives.
  void RestartStager(std::size_t index, std::uint64_t declared);
  std::string Explain(std::size_t index) const {
    return m_hosts[index]->stager->Explain(m_now);
  }

 private:
  struct Host {
    std::string name;
    std::string region;
    std::unique_ptr<Stager> stager;
    std::size_t stager_number = 0;  // Number of stagers so far.
    FakeEndpoint endpoint;
    std::unique_ptr<AsyncEndpoint> async;
    bool store_available = true;
    std::uint64_t listed_version = 0;  // The newest one with a known list.
  };
  // A declaration that an instance reads later, or an answer of the origin.
  struct Event {
    kernel::Time at;
    std::function<void()> run;
  };
  struct Delivery {
    kernel::Time at;
    std::string to;
    wire::Envelope message;
  };

  void MakeEndpoint(Host& host, std::uint64_t version);
  void MakeStager(Host& host);
  void DistributePeers();
  void Step();
  void FinishDueLoad(FakeEndpoint& endpoint);
  static std::uint64_t RunningVersion(const Host& host);
  // Returns a function that passes a result to `receive` of the stager that is
  // the host's at present, unless that has been replaced by then.
  template <typename Receive>
  auto ForStager(Host& host, Receive receive);
  void HandleOutputs(Host& host);
  void HandleOutput(Host& host, wire::Send& output);
  void HandleOutput(Host& host, FetchPieceList& output);
  void HandleOutput(Host& host, FetchPiece& output);
  void HandleOutput(Host& host, StagePiece& output);
  void HandleOutput(Host& host, ReadStagedPiece& output);
  void HandleOutput(Host& host, RequestReport& output);
  void HandleOutput(Host& host, OpenOrderConnection& output);
  void HandleOutput(Host& host, OrderLoad& output);
  void HandleOutput(Host& host, NewerVersionSeen& output);
  void HandleOutput(Host& host, ProgressReport& output);
  // Returns when the origin has sent an answer of this size.
  kernel::Time OriginAnswerTime(std::size_t bytes);

  FleetOptions m_options;
  kernel::Random m_random;
  kernel::Time m_now{std::chrono::hours(1)};
  Agenda m_agenda{m_now};
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::deque<Delivery> m_network;
  std::vector<Event> m_events;
  kernel::Time m_origin_free_at{};
  std::size_t m_origin_list_count = 0;
  std::size_t m_unanswered_lists = 0;
  std::size_t m_maximum_origin_lists = 0;
  std::size_t m_newer_version_count = 0;
  std::size_t m_origin_piece_count = 0;
  std::size_t m_repair_count = 0;
  std::size_t m_corruption_period = 0;
  bool m_origin_available = true;
};

}  // namespace radishrudder::staging

#endif  // TESTS_STAGING_STAGER_FLEET_H_
