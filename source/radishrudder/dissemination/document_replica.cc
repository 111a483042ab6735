#include "radishrudder/dissemination/document_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "document_gossip.h"
#include "document_store.h"
#include "radishrudder/dissemination/neighbours.h"
#include "read_schedule.h"

namespace radishrudder::dissemination {
namespace {

// A started process waits this long for its neighbours to respond before it
// relies on its read alone, because the configuration service may return an old
// state.
constexpr kernel::Duration kNeighbourResponseTimeout = std::chrono::seconds(3);

std::vector<GossipNode> ToNodes(std::vector<ReplicaPeer> peers) {
  std::vector<GossipNode> nodes;
  nodes.reserve(peers.size());
  for (ReplicaPeer& peer : peers) {
    nodes.push_back({std::move(peer.instance), std::move(peer.data_centre)});
  }
  return nodes;
}

PublishedDocument ToDocument(const wire::DocumentUpdate& update) {
  return {update.service(), update.revision(), update.deleted(),
          update.content()};
}

}  // namespace

struct DocumentReplica::State {
  State(ReplicaSettings replica_settings, kernel::Random random)
      : settings(std::move(replica_settings)),
        gossip(settings, store, kernel::Random(random.Next()), outputs),
        read_schedule(settings.watch_wait, kernel::Random(random.Next())) {}

  void Accept(PublishedDocument document, std::string_view sender) {
    if (store.Accept(document)) {
      gossip.Propagate(document, sender);
      outputs.emplace_back(DocumentAccepted{std::move(document)});
    }
  }

  // Accepts a document from a peer. If its revision is covered by the reads of
  // this process, but the complete list of the configuration service didn't
  // contain the document, it was deleted while this process didn't watch, and
  // is stored as deleted.
  void AcceptFromPeer(PublishedDocument document, std::string_view sender) {
    const bool is_deleted_in_service = has_complete_list &&
                                       document.revision <= complete_through &&
                                       store.Find(document.service) == nullptr;
    if (is_deleted_in_service) {
      Accept({document.service, complete_through, true, ""}, {});
    } else {
      Accept(std::move(document), sender);
    }
  }

  // Marks documents as deleted that are missing in a complete list of the
  // configuration service.
  void ApplyCompleteList(const DocumentReadResult& result) {
    if (result.documents.empty()) {
      return;
    }
    has_complete_list = true;
    std::set<std::string_view> listed;
    for (const PublishedDocument& document : result.documents) {
      listed.insert(document.service);
    }
    std::vector<std::string> deleted_services;
    for (const PublishedDocument* document : store.All()) {
      const bool is_missing = !document->deleted &&
                              document->revision <= result.revision &&
                              !listed.contains(document->service);
      if (is_missing) {
        deleted_services.push_back(document->service);
      }
    }
    for (std::string& service : deleted_services) {
      Accept({std::move(service), result.revision, true, ""}, {});
    }
  }

  void OnDigest(kernel::Time now,
                const std::string& from,
                const wire::DocumentDigest& digest) {
    if (digest.complete()) {
      read_schedule.OnCurrentPeerDigest(now);
      current_peer_summary = digest.summary();
      has_current_peer_summary = true;
    }
    gossip.OnDigest(now, from, digest);
    UpdateCurrent(now);
  }

  void UpdateCurrent(kernel::Time now) {
    const bool matches_current_peer =
        has_current_peer_summary && current_peer_summary == store.Summary();
    const bool is_behind = has_current_peer_summary && !matches_current_peer;
    const bool is_read_trusted =
        now >= response_deadline ||
        (!is_behind && gossip.HaveAllNeighboursResponded());
    if (!is_current &&
        (matches_current_peer || (read_succeeded && is_read_trusted))) {
      is_current = true;
      gossip.SetCurrent();
    }
  }

  void Start(kernel::Time now) {
    if (!started) {
      started = true;
      response_deadline = now + kNeighbourResponseTimeout;
      read_schedule.SetReader(now, false);
    }
  }

  void StartDueRead(kernel::Time now) {
    const std::optional<StartDocumentRead> read =
        read_schedule.TakeDueRead(now, complete_through);
    if (read.has_value()) {
      active_read_after = read->after;
      outputs.emplace_back(*read);
    }
  }

  ReplicaSettings settings;
  std::vector<ReplicaOutput> outputs;
  DocumentStore store;
  DocumentGossip gossip;
  ReadSchedule read_schedule;
  // Revision of the configuration service up to which this process has read all
  // changes.
  std::uint64_t complete_through = 0;
  std::uint64_t active_read_after = 0;  // Parameter of the read in progress.
  std::uint64_t current_peer_summary = 0;
  kernel::Time response_deadline{};
  bool has_current_peer_summary = false;
  bool has_complete_list = false;
  bool started = false;
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
  state.Start(now);
  const GossipNode self{state.settings.self.instance,
                        state.settings.data_centre};
  const std::vector<GossipNode> nodes = ToNodes(std::move(peers));
  state.read_schedule.SetFleetSize(nodes.size() + 1);
  state.read_schedule.SetReader(
      now, IsSelectedByRendezvous("configuration-reader", self, nodes,
                                  state.settings.readers_per_data_centre));
  state.gossip.SetNeighbours(
      now, ChooseNeighbours(self, nodes, state.settings.local_rings));
  state.StartDueRead(now);
}

void DocumentReplica::OnRead(kernel::Time now, DocumentReadResult result) {
  State& state = *m_state;
  state.read_schedule.OnReadEnded(now, result.succeeded);
  if (result.succeeded) {
    state.read_succeeded = true;
    if (state.active_read_after == 0) {
      state.ApplyCompleteList(result);
    }
    state.complete_through = std::max(state.complete_through, result.revision);
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
  state.gossip.OnMessageFrom(from);
  switch (message.body_case()) {
    case wire::Envelope::kDocumentDigest:
      state.OnDigest(now, from, message.document_digest());
      break;
    case wire::Envelope::kDocumentRequest:
      state.gossip.OnRequest(from, message.document_request());
      break;
    case wire::Envelope::kDocumentUpdate:
      state.AcceptFromPeer(ToDocument(message.document_update()), from);
      state.UpdateCurrent(now);
      break;
    default:
      break;
  }
}

void DocumentReplica::OnTick(kernel::Time now) {
  m_state->Start(now);
  m_state->UpdateCurrent(now);
  m_state->gossip.OnTick(now);
  m_state->StartDueRead(now);
}

kernel::Time DocumentReplica::NextTick() const {
  const State& state = *m_state;
  kernel::Time next =
      std::min(state.gossip.NextDigest(), state.read_schedule.NextRead());
  if (!state.is_current && state.read_succeeded) {
    next = std::min(next, state.response_deadline);
  }
  return state.started ? next : kernel::Time::min();
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
  return m_state->read_schedule.IsReader();
}

bool DocumentReplica::IsCurrent() const {
  return m_state->is_current;
}

}  // namespace radishrudder::dissemination
