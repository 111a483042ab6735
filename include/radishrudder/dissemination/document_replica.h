#ifndef RADISHRUDDER_DISSEMINATION_DOCUMENT_REPLICA_H_
#define RADISHRUDDER_DISSEMINATION_DOCUMENT_REPLICA_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::dissemination {

// One revision of the configuration document of a service.
struct PublishedDocument {
  std::string service;
  std::uint64_t revision = 0;
  bool deleted = false;
  std::string content;
};

// Another process that replicates documents.
struct ReplicaPeer {
  std::string instance;
  std::string data_centre;
};

// Result of one read or watch of the configuration service. The other fields
// are unspecified unless `succeeded` is true.
struct DocumentReadResult {
  bool succeeded = false;
  std::uint64_t revision = 0;  // Newest revision of the configuration service.
  std::vector<PublishedDocument> documents;
};

// Requests a read of all documents that the configuration service changed after
// revision `after` (0: all documents). With a non-zero `wait` the read is a
// watch that waits up to that long for a change.
struct StartDocumentRead {
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};

// Reports that a document with a higher revision than any earlier one of its
// service took effect in this process.
struct DocumentAccepted {
  PublishedDocument document;
};

using ReplicaOutput =
    std::variant<wire::Send, StartDocumentRead, DocumentAccepted>;

struct ReplicaSettings {
  wire::ProcessKey self;
  std::string data_centre;
  std::uint32_t readers_per_data_centre = 2;
  // Number of hash rings over the data centre, see `ChooseNeighbours`.
  std::uint32_t local_rings = 3;
  // Maximum time that a watch of a reader waits for a change.
  kernel::Duration watch_wait = std::chrono::seconds(20);
  // Mean interval between digests to the neighbours; each interval is random
  // between half and one and a half times this.
  kernel::Duration digest_interval = std::chrono::seconds(1);
};

// Stores the highest revision of every document that this process received and
// replicates it to peers by gossip. State machine without sockets, threads or
// clocks.
class DocumentReplica {
 public:
  DocumentReplica(ReplicaSettings settings, kernel::Random random);
  ~DocumentReplica();

  // Replaces the list of peers, which excludes this process. Determines the
  // gossip neighbours and whether this process is one of the readers of its
  // data centre, which watch the configuration service.
  void OnPeers(kernel::Time now, std::vector<ReplicaPeer> peers);
  // Handles the result of the read that `StartDocumentRead` requested.
  void OnRead(kernel::Time now, DocumentReadResult result);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnTick(kernel::Time now);
  // Returns the time at which `OnTick` must be called next.
  kernel::Time NextTick() const;
  // Returns and clears the outputs since the last call, in order.
  std::vector<ReplicaOutput> TakeOutputs();

  const PublishedDocument* Find(std::string_view service) const;
  std::vector<const PublishedDocument*> All() const;
  bool IsReader() const;
  // Returns whether this process knows all documents, so that it may act on
  // them. True once the local documents match the digest of a peer that is
  // itself current. Also true once a read has succeeded and either all
  // neighbours have responded without a differing digest from a current peer,
  // or the timeout for their responses has passed.
  bool IsCurrent() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_DOCUMENT_REPLICA_H_
