#include "radishrudder/dissemination/document_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "document_store.h"
#include "exchange.h"
#include "radishrudder/dissemination/neighbours.h"
#include "read_schedule.h"

namespace radishrudder::dissemination {
namespace {

// Time in which a fresh process waits for peers before it trusts a read of
// its own alone, for the service may answer with an old state.
constexpr kernel::Duration kHoldBack = std::chrono::seconds(3);

std::vector<GossipNode> ToNodes(std::vector<ReplicaPeer> peers) {
  std::vector<GossipNode> nodes;
  nodes.reserve(peers.size());
  for (ReplicaPeer& peer : peers) {
    nodes.push_back({std::move(peer.instance), std::move(peer.data_centre)});
  }
  return nodes;
}

PublishedDocument FromUpdate(const wire::DocumentUpdate& update) {
  return {update.service(), update.revision(), update.deleted(),
          update.content()};
}

}  // namespace

struct DocumentReplica::State {
  State(ReplicaSettings replica_settings, kernel::Random random)
      : settings(std::move(replica_settings)),
        exchange(settings, store, kernel::Random(random.Next()), outputs),
        reads(settings.watch_wait, kernel::Random(random.Next())) {}

  void Accept(PublishedDocument document, std::string_view source) {
    if (store.Accept(document)) {
      exchange.Spread(document, source);
      outputs.emplace_back(DocumentAccepted{std::move(document)});
    }
  }

  // Takes a document from a peer. One that the service's full list no longer
  // has was deleted while nobody here watched.
  void AcceptFromPeer(PublishedDocument document, std::string_view source) {
    const bool was_deleted = has_full_list &&
                             document.revision <= read_through &&
                             store.Find(document.service) == nullptr;
    if (was_deleted) {
      Accept({document.service, read_through, true, ""}, {});
    } else {
      Accept(std::move(document), source);
    }
  }

  // Marks as deleted what a full list of the service no longer has.
  void AcceptFullList(const ReadResult& result) {
    if (result.documents.empty()) {
      return;
    }
    has_full_list = true;
    std::set<std::string_view> listed;
    for (const PublishedDocument& document : result.documents) {
      listed.insert(document.service);
    }
    std::vector<std::string> gone;
    for (const PublishedDocument* document : store.All()) {
      const bool is_gone = !document->deleted &&
                           document->revision <= result.revision &&
                           !listed.contains(document->service);
      if (is_gone) {
        gone.push_back(document->service);
      }
    }
    for (std::string& service : gone) {
      Accept({std::move(service), result.revision, true, ""}, {});
    }
  }

  void OnDigest(kernel::Time now,
                const std::string& from,
                const wire::DocumentDigest& digest) {
    if (digest.complete()) {
      reads.OnPeerNews(now);
      current_summary = digest.summary();
      has_current_summary = true;
    }
    exchange.OnDigest(now, from, digest);
    UpdateCurrent(now);
  }

  void UpdateCurrent(kernel::Time now) {
    const bool matched =
        has_current_summary && current_summary == store.Summary();
    const bool behind = has_current_summary && !matched;
    const bool waited =
        now >= hold_until || (!behind && exchange.HeardAllNeighbours());
    if (!is_current && (matched || (read_succeeded && waited))) {
      is_current = true;
      exchange.SetCurrent();
    }
  }

  void Begin(kernel::Time now) {
    if (!begun) {
      begun = true;
      hold_until = now + kHoldBack;
      reads.SetReader(now, false);
    }
  }

  void StartDueRead(kernel::Time now) {
    const std::optional<StartRead> read = reads.Due(now, read_through);
    if (read.has_value()) {
      read_after = read->after;
      outputs.emplace_back(*read);
    }
  }

  ReplicaSettings settings;
  std::vector<ReplicaOutput> outputs;
  DocumentStore store;
  Exchange exchange;
  ReadSchedule reads;
  // The service's revision through which own reads are complete.
  std::uint64_t read_through = 0;
  std::uint64_t read_after = 0;  // Of the read in progress.
  std::uint64_t current_summary = 0;
  kernel::Time hold_until{};
  bool has_current_summary = false;
  bool has_full_list = false;
  bool begun = false;
  bool read_succeeded = false;
  bool is_current = false;
};

DocumentReplica::DocumentReplica(ReplicaSettings settings,
                                 kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {}

DocumentReplica::~DocumentReplica() = default;

void DocumentReplica::OnPeers(kernel::Time now,
                              std::vector<ReplicaPeer> peers) {
  State& state = *m_state;
  state.Begin(now);
  const GossipNode self{state.settings.self.instance,
                        state.settings.data_centre};
  const std::vector<GossipNode> nodes = ToNodes(std::move(peers));
  state.reads.SetFleetSize(nodes.size() + 1);
  state.reads.SetReader(now, IsChosen("configuration-reader", self, nodes,
                                      state.settings.readers_per_data_centre));
  state.exchange.SetNeighbours(
      now, ChooseNeighbours(self, nodes, state.settings.fanout));
  state.StartDueRead(now);
}

void DocumentReplica::OnRead(kernel::Time now, ReadResult result) {
  State& state = *m_state;
  state.reads.OnReadEnded(now, result.succeeded);
  if (result.succeeded) {
    state.read_succeeded = true;
    if (state.read_after == 0) {
      state.AcceptFullList(result);
    }
    state.read_through = std::max(state.read_through, result.revision);
    for (PublishedDocument& document : result.documents) {
      state.Accept(std::move(document), {});
    }
  }
  state.UpdateCurrent(now);
  state.StartDueRead(now);
}

void DocumentReplica::OnMessage(kernel::Time now,
                                const wire::Envelope& message) {
  State& state = *m_state;
  const std::string& from = message.from().instance();
  state.exchange.OnHeard(from);
  switch (message.body_case()) {
    case wire::Envelope::kDocumentDigest:
      state.OnDigest(now, from, message.document_digest());
      break;
    case wire::Envelope::kDocumentRequest:
      state.exchange.OnRequest(from, message.document_request());
      break;
    case wire::Envelope::kDocumentUpdate:
      state.AcceptFromPeer(FromUpdate(message.document_update()), from);
      state.UpdateCurrent(now);
      break;
    default:
      break;
  }
}

void DocumentReplica::OnTick(kernel::Time now) {
  m_state->Begin(now);
  m_state->UpdateCurrent(now);
  m_state->exchange.OnTick(now);
  m_state->StartDueRead(now);
}

kernel::Time DocumentReplica::NextTick() const {
  const State& state = *m_state;
  kernel::Time next = std::min(state.exchange.Next(), state.reads.Next());
  if (!state.is_current && state.read_succeeded) {
    next = std::min(next, state.hold_until);
  }
  return state.begun ? next : kernel::Time::min();
}

std::vector<ReplicaOutput> DocumentReplica::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

const PublishedDocument* DocumentReplica::Find(std::string_view service) const {
  return m_state->store.Find(service);
}

std::vector<const PublishedDocument*> DocumentReplica::All() const {
  return m_state->store.All();
}

bool DocumentReplica::IsReader() const {
  return m_state->reads.IsReader();
}

bool DocumentReplica::IsCurrent() const {
  return m_state->is_current;
}

}  // namespace radishrudder::dissemination
