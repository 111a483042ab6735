#ifndef RADISHRUDDER_SOURCE_DISSEMINATION_EXCHANGE_H_
#define RADISHRUDDER_SOURCE_DISSEMINATION_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "document_store.h"
#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::dissemination {

// Spreads documents to the neighbours in the gossip graph: new ones are
// pushed, large ones announced and pulled, and periodic digests mend what was
// lost.
class Exchange {
 public:
  Exchange(const ReplicaSettings& settings,
           const DocumentStore& store,
           kernel::Random random,
           std::vector<ReplicaOutput>& outputs);

  // Replaces the neighbours. The first non-empty list is asked at once.
  void SetNeighbours(kernel::Time now, std::vector<std::string> neighbours);
  // Tells the neighbours, but for `source`, of a document just accepted.
  void Spread(const PublishedDocument& document, std::string_view source);
  // Answers a digest. `is_current` tells whether this process is.
  void OnDigest(kernel::Time now,
                const std::string& from,
                const wire::DocumentDigest& digest);
  void OnRequest(const std::string& from, const wire::DocumentRequest& request);
  // A message came from that process.
  void OnHeard(const std::string& from);
  // Returns whether every neighbour was heard since this process knows its
  // neighbours; false before it does.
  bool HeardAllNeighbours() const;
  void OnTick(kernel::Time now);
  kernel::Time Next() const { return m_next_exchange; }

  // This process knows all documents now; tells the neighbours so.
  void SetCurrent();

 private:
  struct Pull {
    std::uint64_t revision = 0;
    kernel::Time retry{};
  };
  // What a digest shows about the two sides.
  struct Comparison {
    std::vector<std::string> wanted;
    std::vector<wire::DocumentVersion> lacking;  // The sender lacks these.
    std::uint64_t own_after = 0;     // Own summary once `wanted` is here.
    std::uint64_t sender_after = 0;  // Sender's summary with `lacking`.
    bool whole = false;              // The digest lists all it summarises.
  };

  Comparison Compare(const wire::DocumentDigest& digest) const;
  void AddUnlisted(const wire::DocumentDigest& digest,
                   Comparison& comparison) const;
  void RequestWanted(kernel::Time now,
                     const std::string& to,
                     const wire::DocumentDigest& digest,
                     const std::vector<std::string>& wanted);
  void Announce(const std::string& to,
                const std::vector<wire::DocumentVersion>& versions);
  void SendDigest(const std::string& to,
                  std::vector<wire::DocumentVersion> versions);
  void SendEnvelope(const std::string& to, wire::Envelope message);
  // Sends the summary to all neighbours.
  void TellAll();
  void ScheduleExchange(kernel::Time now);

  const ReplicaSettings& m_settings;
  const DocumentStore& m_store;
  kernel::Random m_random;
  std::vector<ReplicaOutput>& m_outputs;
  std::vector<std::string> m_neighbours;
  std::set<std::string> m_unheard;
  std::map<std::string, Pull, std::less<>> m_pulls;
  kernel::Time m_next_exchange = kernel::Time::max();
  bool m_is_current = false;
  bool m_has_neighbours = false;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_SOURCE_DISSEMINATION_EXCHANGE_H_
