#ifndef RADISHRUDDER_PEERS_PEER_EXCHANGE_H_
#define RADISHRUDDER_PEERS_PEER_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/peers/peer_report.h"

namespace radishrudder::peers {

// Sends this process's report to a peer, whose response is its own report.
struct ExchangeReports {
  std::string address{};
};
// A later bound than the one known before: the declaration was not in the store
// at `absent_at`, or no process could read it then.
struct DeclarationDated {
  std::string model{};
  std::uint64_t version = 0;
  kernel::Time absent_at{};
  std::uint32_t reports = 0;  // Number of peers that told something of it.
  bool after_outage = false;  // All of them had lost the store as well.
};

using PeerOutput = std::variant<ExchangeReports, DeclarationDated>;

struct PeerSettings {
  std::string address{};             // Of this process.
  std::vector<std::string> seeds{};  // May be down, or include this process.
  // One peer is contacted this often, so that the processes know each other.
  std::chrono::milliseconds acquaintance_interval{2000};
  // A process that reads a declaration later than this after its preceding
  // complete read has missed some time: it asks all peers. Two watches and the
  // delay between them take 2.1 s.
  std::chrono::milliseconds contact_threshold{2200};
  // One that reads it in time, but later than this after its preceding complete
  // read, asks this many random peers once. Their watches end at other times,
  // so the latest of their bounds is closer to the declaration.
  std::chrono::milliseconds close_bound{100};
  std::size_t close_bound_fan_out = 4;
  // Requests that fail for at least this long count as a loss of the store.
  std::chrono::milliseconds loss_threshold{1000};
  std::chrono::milliseconds question_interval{300};
  // The peers' reports are evaluated this long after the reading at the latest.
  std::chrono::milliseconds decision_time{1000};
  // Urgent news is passed to this many random peers, and on by them, at most
  // once in each interval.
  std::size_t news_fan_out = 4;
  std::chrono::milliseconds news_interval{250};
};

// Exchanges with the other entries what each has read from the store, so that
// one that missed some time learns how long ago a version was declared. It also
// tells an outage of the store for all of them from one that only this process
// had. State machine without sockets, threads or clocks.
class PeerExchange {
 public:
  PeerExchange(PeerSettings settings, kernel::Random random);

  // Adds processes to those that are known from the start.
  void OnSeeds(const std::vector<std::string>& seeds);
  // The items read from the store were complete at that time.
  void OnStoreRead(kernel::Time complete_at);
  // Requests to the store began to fail.
  void OnStoreLost(kernel::Time now);
  // `absent_at`: the preceding complete read; nothing: there was none.
  // `failed_for`: how long requests had failed before the reading.
  void OnDeclarationRead(kernel::Time now,
                         std::string_view model,
                         std::uint64_t version,
                         std::optional<kernel::Time> absent_at,
                         kernel::Duration failed_for);
  // This process has learned something that all others should know soon.
  void OnNews() { m_news_rounds = kNewsRounds; }
  void OnTick(kernel::Time now);
  PeerReport MakeReport(kernel::Time now) const;
  // A peer sent its report on its own.
  void OnRequest(const PeerReport& report);
  // The response to a report that was sent at `sent_at`, or nothing if none
  // came in time.
  void OnResponse(kernel::Time now,
                  kernel::Time sent_at,
                  std::string_view address,
                  const std::optional<PeerReport>& report);
  std::vector<PeerOutput> TakeOutputs();
  std::size_t KnownPeers() const { return m_peers.size(); }

 private:
  // Rounds of passing on one piece of news, in case an exchange fails.
  static constexpr std::uint32_t kNewsRounds = 2;

  struct Peer {
    bool seed = false;
    bool in_progress = false;
    std::uint32_t failures = 0;  // Consecutive.
  };
  struct Declaration {
    std::string model{};
    std::uint64_t version = 0;
    kernel::Time read_at{};
    std::optional<kernel::Time> absent_at{};
    bool store_lost = false;
    // The version that this process knew before; 0: none. Another one may have
    // been declared in between.
    std::uint64_t previous_version = 0;
  };
  // What a peer's report says of a declaration.
  struct Evidence {
    std::optional<kernel::Time> absent_at{};
    std::optional<kernel::Time> read_at{};
    // True: the peer had read the store shortly before. False: its requests had
    // failed. Nothing: it cannot tell, for example after a suspension.
    std::optional<bool> in_contact{};
  };
  // A declaration whose age is being asked for.
  struct Question {
    Declaration declaration{};
    kernel::Time next_round{};
    std::map<std::string, Evidence> answers{};
    bool read_late = true;
  };

  void Learn(std::string_view address, bool seed);
  void PassOnNews(kernel::Time now);
  void ContactRandomPeers(std::size_t count);
  void Contact(const std::string& address, Peer& peer);
  Evidence EvidenceOf(kernel::Time sent_at,
                      const Declaration& declaration,
                      const PeerReport& report) const;
  // `gap`: time without a complete read.
  std::optional<bool> InContact(std::chrono::milliseconds gap,
                                bool store_lost) const;
  void RaiseBound(Question& question,
                  kernel::Time absent_at,
                  bool after_outage);
  // Returns whether all peers have answered or the time is over.
  bool IsDecided(kernel::Time now, const Question& question) const;
  void Decide(Question& question);

  PeerSettings m_settings;
  kernel::Random m_random;
  std::map<std::string, Peer, std::less<>> m_peers;
  std::optional<kernel::Time> m_store_complete_at;
  std::optional<kernel::Time> m_store_lost_at;
  std::vector<Declaration> m_declarations;  // Oldest first.
  std::vector<Question> m_questions;
  kernel::Time m_next_acquaintance{};
  std::uint32_t m_news_rounds = 0;  // That are left.
  kernel::Time m_next_news{};
  std::vector<PeerOutput> m_outputs;
};

}  // namespace radishrudder::peers

#endif  // RADISHRUDDER_PEERS_PEER_EXCHANGE_H_
