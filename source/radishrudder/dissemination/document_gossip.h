#ifndef RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_GOSSIP_H_
#define RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_GOSSIP_H_

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

// Replicates documents to the neighbours in the gossip graph: pushes small new
// documents, announces large ones so that neighbours pull them, and sends
// periodic digests that repair lost messages.
class DocumentGossip {
 public:
  DocumentGossip(const ReplicaSettings& settings,
                 const DocumentStore& store,
                 kernel::Random random,
                 std::vector<ReplicaOutput>& outputs);

  // Replaces the neighbours. Sends a digest to each added one at once.
  void SetNeighbours(kernel::Time now, std::vector<std::string> neighbours);
  // Pushes or announces a newly accepted document to all neighbours except
  // `sender`, the peer that it came from (empty: none).
  void Propagate(const PublishedDocument& document, std::string_view sender);
  // Requests the documents that are newer at the sender of a digest and reports
  // those that are newer in this process.
  void OnDigest(kernel::Time now,
                const std::string& from,
                const wire::DocumentDigest& digest);
  void OnRequest(const std::string& from, const wire::DocumentRequest& request);
  // Records that a message arrived from the process `from`.
  void OnMessageFrom(const std::string& from);
  // Returns whether each neighbour of the first `SetNeighbours` call has sent a
  // message since that call; false before it.
  bool HaveAllNeighboursResponded() const;
  void OnTick(kernel::Time now);
  kernel::Time NextDigest() const { return m_next_digest; }

  // Marks this process as knowing all documents and notifies the neighbours.
  void SetCurrent();

 private:
  // Last request for a document. Until `retry_at`, digests don't cause another
  // request for the same revision.
  struct Pull {
    std::uint64_t revision = 0;
    kernel::Time retry_at{};
  };
  // Differences between the versions in a digest and the local store.
  struct Comparison {
    // Services whose documents are newer at the sender of the digest.
    std::vector<std::string> newer_at_sender;
    // Versions that are newer in this process.
    std::vector<wire::DocumentVersion> newer_locally;
    // Local summary after this process has received `newer_at_sender`.
    std::uint64_t local_summary_after = 0;
    // Summary of the sender after it has received the newer local versions of
    // the documents that its digest lists.
    std::uint64_t sender_summary_after = 0;
    // The digest lists every version that its summary covers.
    bool is_complete_list = false;
  };

  Comparison Compare(const wire::DocumentDigest& digest) const;
  // Adds the stored versions of services that a complete digest doesn't list to
  // `newer_locally`.
  void AddUnlisted(const wire::DocumentDigest& digest,
                   Comparison& comparison) const;
  void RequestNewer(kernel::Time now,
                    const std::string& to,
                    const wire::DocumentDigest& digest,
                    const std::vector<std::string>& newer_at_sender);
  // Sends versions without a summary.
  void Announce(const std::string& to,
                const std::vector<wire::DocumentVersion>& versions);
  void SendDigest(const std::string& to,
                  std::vector<wire::DocumentVersion> versions);
  void SendEnvelope(const std::string& to, wire::Envelope message);
  // Sends a digest without versions to all neighbours.
  void SendSummaryToAll();
  void ScheduleDigest(kernel::Time now);

  const ReplicaSettings& m_settings;
  const DocumentStore& m_store;
  kernel::Random m_random;
  std::vector<ReplicaOutput>& m_outputs;
  std::vector<std::string> m_neighbours;
  std::set<std::string> m_awaiting_response;
  std::map<std::string, Pull, std::less<>> m_pulls;
  kernel::Time m_next_digest = kernel::Time::max();
  bool m_is_current = false;
  bool m_has_neighbours = false;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_GOSSIP_H_
