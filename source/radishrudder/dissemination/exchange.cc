#include "exchange.h"

#include <algorithm>
#include <utility>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

// Documents up to this size are pushed; larger ones are announced.
constexpr std::size_t kPushedBytes = 2048;
// Versions listed in an answer before the whole list is sent.
constexpr std::size_t kRecentVersions = 16;
constexpr kernel::Duration kPullRetry = milliseconds(500);

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

Exchange::Exchange(const ReplicaSettings& settings,
                   const DocumentStore& store,
                   kernel::Random random,
                   std::vector<ReplicaOutput>& outputs)
    : m_settings(settings),
      m_store(store),
      m_random(random),
      m_outputs(outputs) {}

void Exchange::SetNeighbours(kernel::Time now,
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
    m_unheard = {neighbours.begin(), neighbours.end()};
  }
  m_neighbours = std::move(neighbours);
  if (m_next_exchange == kernel::Time::max()) {
    ScheduleExchange(now);
  }
}

void Exchange::Spread(const PublishedDocument& document,
                      std::string_view source) {
  m_pulls.erase(document.service);
  for (const std::string& neighbour : m_neighbours) {
    if (neighbour == source) {
      continue;
    }
    if (document.content.size() <= kPushedBytes) {
      SendEnvelope(neighbour, MakeUpdate(document));
    } else {
      Announce(neighbour, {VersionOf(document)});
    }
  }
}

void Exchange::OnDigest(kernel::Time now,
                        const std::string& from,
                        const wire::DocumentDigest& digest) {
  const Comparison comparison = Compare(digest);
  RequestWanted(now, from, digest, comparison.wanted);
  if (IsAnnouncement(digest)) {
    return;
  }
  const bool explained = comparison.own_after == comparison.sender_after;
  if (comparison.whole || explained) {
    if (!comparison.lacking.empty()) {
      Announce(from, comparison.lacking);
    }
    return;
  }
  const bool sender_listed_some = digest.versions_size() != 0;
  SendDigest(from, sender_listed_some ? m_store.Versions()
                                      : m_store.Newest(kRecentVersions));
}

void Exchange::OnRequest(const std::string& from,
                         const wire::DocumentRequest& request) {
  for (const std::string& service : request.services()) {
    const PublishedDocument* document = m_store.Find(service);
    if (document != nullptr) {
      SendEnvelope(from, MakeUpdate(*document));
    }
  }
}

void Exchange::OnHeard(const std::string& from) {
  m_unheard.erase(from);
}

bool Exchange::HeardAllNeighbours() const {
  return m_has_neighbours && m_unheard.empty();
}

void Exchange::SetCurrent() {
  m_is_current = true;
  TellAll();
}

void Exchange::TellAll() {
  for (const std::string& neighbour : m_neighbours) {
    SendDigest(neighbour, {});
  }
}

void Exchange::OnTick(kernel::Time now) {
  if (now < m_next_exchange) {
    return;
  }
  ScheduleExchange(now);
  TellAll();
}

Exchange::Comparison Exchange::Compare(
    const wire::DocumentDigest& digest) const {
  Comparison comparison;
  comparison.own_after = m_store.Summary();
  comparison.sender_after = digest.summary();
  std::uint64_t listed = 0;
  for (const wire::DocumentVersion& version : digest.versions()) {
    const std::uint64_t held = m_store.RevisionOf(version.service());
    const std::uint64_t theirs =
        SummaryOf(version.service(), version.revision());
    const std::uint64_t ours =
        held == 0 ? 0 : SummaryOf(version.service(), held);
    listed ^= theirs;
    if (version.revision() > held) {
      comparison.wanted.push_back(version.service());
      comparison.own_after ^= ours ^ theirs;
    } else if (version.revision() < held) {
      comparison.lacking.push_back(VersionOf(*m_store.Find(version.service())));
      comparison.sender_after ^= ours ^ theirs;
    }
  }
  comparison.whole = listed == digest.summary() && digest.versions_size() != 0;
  if (comparison.whole) {
    AddUnlisted(digest, comparison);
  }
  return comparison;
}

void Exchange::AddUnlisted(const wire::DocumentDigest& digest,
                           Comparison& comparison) const {
  std::set<std::string_view> listed;
  for (const wire::DocumentVersion& version : digest.versions()) {
    listed.insert(version.service());
  }
  for (const PublishedDocument* document : m_store.All()) {
    if (!listed.contains(document->service)) {
      comparison.lacking.push_back(VersionOf(*document));
    }
  }
}

void Exchange::RequestWanted(kernel::Time now,
                             const std::string& to,
                             const wire::DocumentDigest& digest,
                             const std::vector<std::string>& wanted) {
  wire::Envelope message;
  wire::DocumentRequest* request = message.mutable_document_request();
  for (const wire::DocumentVersion& version : digest.versions()) {
    if (std::find(wanted.begin(), wanted.end(), version.service()) ==
        wanted.end()) {
      continue;
    }
    Pull& pull = m_pulls[version.service()];
    if (pull.revision >= version.revision() && now < pull.retry) {
      continue;
    }
    pull = {version.revision(), now + kPullRetry};
    request->add_services(version.service());
  }
  if (request->services_size() != 0) {
    SendEnvelope(to, std::move(message));
  }
}

void Exchange::Announce(const std::string& to,
                        const std::vector<wire::DocumentVersion>& versions) {
  wire::Envelope message;
  wire::DocumentDigest* digest = message.mutable_document_digest();
  digest->mutable_versions()->Add(versions.begin(), versions.end());
  SendEnvelope(to, std::move(message));
}

void Exchange::SendDigest(const std::string& to,
                          std::vector<wire::DocumentVersion> versions) {
  wire::Envelope message;
  wire::DocumentDigest* digest = message.mutable_document_digest();
  digest->mutable_versions()->Add(versions.begin(), versions.end());
  digest->set_summary(m_store.Summary());
  digest->set_complete(m_is_current);
  SendEnvelope(to, std::move(message));
}

void Exchange::SendEnvelope(const std::string& to, wire::Envelope message) {
  *message.mutable_from() = wire::ToMessage(m_settings.self);
  m_outputs.emplace_back(wire::Send{to, std::move(message)});
}

void Exchange::ScheduleExchange(kernel::Time now) {
  constexpr double kLeastShare = 0.5;
  const double share = kLeastShare + m_random.Uniform();
  m_next_exchange = now + std::chrono::duration_cast<kernel::Duration>(
                              m_settings.exchange_interval * share);
}

}  // namespace radishrudder::dissemination
