#ifndef TESTS_STAGING_STAGER_FLEET_H_
#define TESTS_STAGING_STAGER_FLEET_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/staging/stager.h"

namespace radishrudder::staging {

// An endpoint with its staging area, as the stager beside it sees it.
struct FakeEndpoint {
  std::uint64_t started = 1;
  std::uint64_t version = 0;
  std::uint64_t orders = 0;
  bool busy = false;
  bool reachable = true;
  bool answers_orders = true;
  std::map<std::uint32_t, std::string> staged{};
  // What the pieces were when an order to load was accepted.
  std::vector<std::map<std::uint32_t, std::string>> loaded{};
  std::optional<kernel::Time> load_ends{};
  std::uint64_t loading = 0;
  std::vector<kernel::Time> order_times{};
};

// Stagers of one service with their endpoints, an origin, and a network whose
// messages take a fixed time. Time is stepped by the test.
class StagerFleet {
 public:
  StagerFleet(std::size_t instances, std::uint64_t seed);

  static std::string PieceOf(std::uint64_t version, std::uint32_t index);

  // A later instance, whose endpoint holds nothing.
  std::size_t Add(bool reachable = true);
  void Declare(std::uint64_t version, bool just_now);
  void Run(std::chrono::milliseconds time);
  // Runs until all endpoints run a version, or `limit` passed. Returns whether
  // they do.
  bool RunUntilAll(std::uint64_t version, std::chrono::milliseconds limit);
  bool LoadedWhole(std::size_t index, std::uint64_t version) const;

  FakeEndpoint& Endpoint(std::size_t index) { return m_hosts[index]->endpoint; }
  kernel::Time Now() const { return m_now; }
  std::size_t OriginPieces() const { return m_origin_pieces; }
  void SetOrigin(bool up) { m_origin_up = up; }
  // Every n-th piece from the origin is spoilt.
  void SpoilEvery(std::size_t n) { m_spoil_every = n; }
  // Pieces found wrong in a staging area.
  std::size_t Repairs() const { return m_repairs; }
  // The process beside the endpoint starts again and knows nothing.
  void RestartStager(std::size_t index, std::uint64_t declared);
  std::string Explain(std::size_t index) const {
    return m_hosts[index]->stager->Explain(m_now);
  }

 private:
  struct Host {
    std::string name;
    std::unique_ptr<Stager> stager;
    FakeEndpoint endpoint;
  };
  struct Delivery {
    kernel::Time at;
    std::string to;
    wire::Envelope message;
  };

  void MakeStager(Host& host);
  void ListPeers();
  void Step();
  void StepEndpoint(FakeEndpoint& endpoint);
  void Take(Host& host);
  void Carry(Host& host, wire::Send& output);
  void Carry(Host& host, FetchPieceList& output);
  void Carry(Host& host, FetchPiece& output);
  void Carry(Host& host, StagePiece& output);
  void Carry(Host& host, ReadStaged& output);
  void Carry(Host& host, AskReport& output);
  void Carry(Host& host, OrderLoad& output);
  void Carry(Host& host, Progress& output);

  kernel::Random m_random;
  kernel::Time m_now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::deque<Delivery> m_network;
  std::size_t m_origin_pieces = 0;
  std::size_t m_repairs = 0;
  std::size_t m_spoil_every = 0;
  bool m_origin_up = true;
};

}  // namespace radishrudder::staging

#endif  // TESTS_STAGING_STAGER_FLEET_H_
