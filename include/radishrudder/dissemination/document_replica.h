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

// One published state of one service's document.
struct PublishedDocument {
  std::string service;
  std::uint64_t revision = 0;
  bool deleted = false;
  std::string content;
};

// Another process that takes part in the exchange of documents.
struct ReplicaPeer {
  std::string instance;
  std::string data_centre;
};

// Result of one read or watch of the configuration service.
struct ReadResult {
  bool succeeded = false;
  std::uint64_t revision = 0;  // The service's own newest revision.
  std::vector<PublishedDocument> documents;
};

// Read the configuration service for everything after a revision, waiting up
// to `wait` for a change.
struct StartRead {
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};

// A document of a higher revision than any before is now in force here.
struct DocumentAccepted {
  PublishedDocument document;
};

using ReplicaOutput = std::variant<wire::Send, StartRead, DocumentAccepted>;

struct ReplicaSettings {
  wire::ProcessKey self;
  std::string data_centre;
  std::uint32_t readers_per_data_centre = 2;
  std::uint32_t fanout = 3;
  kernel::Duration watch_wait = std::chrono::seconds(20);
  kernel::Duration exchange_interval = std::chrono::seconds(1);
};

// Holds the highest revision of every document seen and spreads it. State
// machine without sockets, threads or clocks.
class DocumentReplica {
 public:
  DocumentReplica(ReplicaSettings settings, kernel::Random random);
  ~DocumentReplica();

  // All processes that may be reached, without this one. Decides whether this
  // process is one of its data centre's readers.
  void OnPeers(kernel::Time now, std::vector<ReplicaPeer> peers);
  // Ends the read that `StartRead` asked for.
  void OnRead(kernel::Time now, ReadResult result);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnTick(kernel::Time now);
  // Returns when `OnTick` is wanted next.
  kernel::Time NextTick() const;
  // Returns what to do since the last call, in order.
  std::vector<ReplicaOutput> TakeOutputs();

  const PublishedDocument* Find(std::string_view service) const;
  std::vector<const PublishedDocument*> All() const;
  bool IsReader() const;
  // True once a read succeeded or a peer's complete digest was matched, so
  // that orders may be given.
  bool IsCurrent() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_DOCUMENT_REPLICA_H_
