#include "document_gossip.h"

#include <algorithm>
#include <utility>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

// Documents with content up to this size are pushed; larger ones are announced.
constexpr std::size_t kMaximumPushedBytes = 2048;
// Versions listed in the first response to a digest whose summary differs. If
// they don't explain the difference, the complete list follows.
constexpr std::size_t kMaximumRecentVersions = 16;
constexpr kernel::Duration kPullRetryInterval = milliseconds(500);

// An announcement lists versions without a summary of the sender's store.
bool IsAnnouncement(const wire::DocumentDigest& digest) {
  return digest.summary() == 0 && digest.versions_size() != 0;
}

wire::Envelope MakeUpdate(const PublishedDocument& document) {
  wire::Envelope message;
  wire::DocumentUpdate* update = message.mutable_document_update();
  update->set_service(document.service);
  update->set_revision(document.revision);
  update->set_deleted(document.deleted);
  update->set_content(document.content);
  return message;
}

}  // namespace

DocumentGossip::DocumentGossip(const ReplicaSettings& settings,
                               const DocumentStore& store,
                               kernel::Random random,
                               std::vector<ReplicaOutput>& outputs)
    : m_settings(settings),
      m_store(store),
      m_random(random),
      m_outputs(outputs) {}

void DocumentGossip::SetNeighbours(kernel::Time now,
                                   std::vector<std::string> neighbours) {
  for (const std::string& neighbour : neighbours) {
    const bool is_new = std::find(m_neighbours.begin(), m_neighbours.end(),
                                  neighbour) == m_neighbours.end();
    if (is_new) {
      SendDigest(neighbour, {});
    }
  }
  if (!m_has_neighbours) {
    m_has_neighbours = true;
    m_awaiting_response = {neighbours.begin(), neighbours.end()};
  }
  m_neighbours = std::move(neighbours);
  if (m_next_digest == kernel::Time::max()) {
    ScheduleDigest(now);
  }
}

void DocumentGossip::Propagate(const PublishedDocument& document,
                               std::string_view sender) {
  m_pulls.erase(document.service);
  for (const std::string& neighbour : m_neighbours) {
    if (neighbour == sender) {
      continue;
    }
    if (document.content.size() <= kMaximumPushedBytes) {
      SendEnvelope(neighbour, MakeUpdate(document));
    } else {
      Announce(neighbour, {VersionOf(document)});
    }
  }
}

void DocumentGossip::OnDigest(kernel::Time now,
                              const std::string& from,
                              const wire::DocumentDigest& digest) {
  const Comparison comparison = Compare(digest);
  RequestNewer(now, from, digest, comparison.newer_at_sender);
  if (IsAnnouncement(digest)) {
    return;
  }
  const bool is_difference_resolved =
      comparison.local_summary_after == comparison.sender_summary_after;
  if (comparison.is_complete_list || is_difference_resolved) {
    if (!comparison.newer_locally.empty()) {
      Announce(from, comparison.newer_locally);
    }
    return;
  }
  const bool sender_listed_some = digest.versions_size() != 0;
  SendDigest(from, sender_listed_some ? m_store.Versions()
                                      : m_store.Newest(kMaximumRecentVersions));
}

void DocumentGossip::OnRequest(const std::string& from,
                               const wire::DocumentRequest& request) {
  for (const std::string& service : request.services()) {
    const PublishedDocument* document = m_store.Find(service);
    if (document != nullptr) {
      SendEnvelope(from, MakeUpdate(*document));
    }
  }
}

void DocumentGossip::OnMessageFrom(const std::string& from) {
  m_awaiting_response.erase(from);
}

bool DocumentGossip::HaveAllNeighboursResponded() const {
  return m_has_neighbours && m_awaiting_response.empty();
}

void DocumentGossip::SetCurrent() {
  m_is_current = true;
  SendSummaryToAll();
}

void DocumentGossip::SendSummaryToAll() {
  for (const std::string& neighbour : m_neighbours) {
    SendDigest(neighbour, {});
  }
}

void DocumentGossip::OnTick(kernel::Time now) {
  if (now < m_next_digest) {
    return;
  }
  ScheduleDigest(now);
  SendSummaryToAll();
}

DocumentGossip::Comparison DocumentGossip::Compare(
    const wire::DocumentDigest& digest) const {
  Comparison comparison;
  comparison.local_summary_after = m_store.Summary();
  comparison.sender_summary_after = digest.summary();
  std::uint64_t listed = 0;
  for (const wire::DocumentVersion& version : digest.versions()) {
    const std::uint64_t local_revision = m_store.RevisionOf(version.service());
    const std::uint64_t sender_hash =
        VersionHash(version.service(), version.revision());
    const std::uint64_t local_hash =
        local_revision == 0 ? 0
                            : VersionHash(version.service(), local_revision);
    listed ^= sender_hash;
    if (version.revision() > local_revision) {
      comparison.newer_at_sender.push_back(version.service());
      comparison.local_summary_after ^= local_hash ^ sender_hash;
    } else if (version.revision() < local_revision) {
      comparison.newer_locally.push_back(
          VersionOf(*m_store.Find(version.service())));
      comparison.sender_summary_after ^= local_hash ^ sender_hash;
    }
  }
  comparison.is_complete_list =
      listed == digest.summary() && digest.versions_size() != 0;
  if (comparison.is_complete_list) {
    AddUnlisted(digest, comparison);
  }
  return comparison;
}

void DocumentGossip::AddUnlisted(const wire::DocumentDigest& digest,
                                 Comparison& comparison) const {
  std::set<std::string_view> listed;
  for (const wire::DocumentVersion& version : digest.versions()) {
    listed.insert(version.service());
  }
  for (const PublishedDocument* document : m_store.All()) {
    if (!listed.contains(document->service)) {
      comparison.newer_locally.push_back(VersionOf(*document));
    }
  }
}

void DocumentGossip::RequestNewer(
    kernel::Time now,
    const std::string& to,
    const wire::DocumentDigest& digest,
    const std::vector<std::string>& newer_at_sender) {
  wire::Envelope message;
  wire::DocumentRequest* request = message.mutable_document_request();
  for (const wire::DocumentVersion& version : digest.versions()) {
    if (std::find(newer_at_sender.begin(), newer_at_sender.end(),
                  version.service()) == newer_at_sender.end()) {
      continue;
    }
    Pull& pull = m_pulls[version.service()];
    if (pull.revision >= version.revision() && now < pull.retry_at) {
      continue;
    }
    pull = {version.revision(), now + kPullRetryInterval};
    request->add_services(version.service());
  }
  if (request->services_size() != 0) {
    SendEnvelope(to, std::move(message));
  }
}

void DocumentGossip::Announce(
    const std::string& to,
    const std::vector<wire::DocumentVersion>& versions) {
  wire::Envelope message;
  wire::DocumentDigest* digest = message.mutable_document_digest();
  digest->mutable_versions()->Add(versions.begin(), versions.end());
  SendEnvelope(to, std::move(message));
}

void DocumentGossip::SendDigest(const std::string& to,
                                std::vector<wire::DocumentVersion> versions) {
  wire::Envelope message;
  wire::DocumentDigest* digest = message.mutable_document_digest();
  digest->mutable_versions()->Add(versions.begin(), versions.end());
  digest->set_summary(m_store.Summary());
  digest->set_complete(m_is_current);
  SendEnvelope(to, std::move(message));
}

void DocumentGossip::SendEnvelope(const std::string& to,
                                  wire::Envelope message) {
  *message.mutable_from() = wire::ToMessage(m_settings.self);
  m_outputs.emplace_back(wire::Send{to, std::move(message)});
}

void DocumentGossip::ScheduleDigest(kernel::Time now) {
  constexpr double kMinimumIntervalFactor = 0.5;
  const double factor = kMinimumIntervalFactor + m_random.Uniform();
  m_next_digest = now + std::chrono::duration_cast<kernel::Duration>(
                            m_settings.digest_interval * factor);
}

}  // namespace radishrudder::dissemination
