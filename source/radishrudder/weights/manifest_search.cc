#include "manifest_search.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

constexpr std::size_t kTreeFanOut = 4;
constexpr std::size_t kMaximumWaitingPeers = 4096;
constexpr std::chrono::milliseconds kRequestInterval(1500);
constexpr std::chrono::seconds kFetchTimeout(5);
// One in this many attempts goes to the sources, regardless of the rank.
constexpr std::uint32_t kAttemptsPerFetch = 12;
// The same for the instance of rank 0 in the store's region.
constexpr std::uint32_t kAttemptsPerFetchOnDuty = 2;

std::uint64_t HashKey(std::string_view digest_text) {
  const std::optional<Digest> digest = ParseDigest(digest_text);
  return digest ? DutyTable::HashKey(*digest) : 0;
}

}  // namespace

ManifestSearch::ManifestSearch(TransferContext& context, std::string digest)
    : m_context(context), m_digest(std::move(digest)) {}

std::string ManifestSearch::ChooseTarget() const {
  const std::uint64_t key = HashKey(m_digest);
  const DutyTable& duties = m_context.duties;
  const std::size_t rank = duties.LocalRank(key);
  if (m_attempts == 0 && rank > 0) {
    const std::size_t parent = (rank - 1) / kTreeFanOut;
    return duties.RankedInstances(m_context.settings.region, key, parent + 1)
        .back();
  }
  if (m_attempts == 0 && !duties.IsInStoreRegion()) {
    const auto order =
        duties.RankedInstances(m_context.settings.store_region, key, 1);
    return order.empty() ? std::string() : order.front();
  }
  const bool first = m_attempts == 0;
  const std::uint32_t interval = rank == 0 && duties.IsInStoreRegion()
                                     ? kAttemptsPerFetchOnDuty
                                     : kAttemptsPerFetch;
  if ((first && rank == 0 && duties.IsInStoreRegion()) ||
      m_attempts % interval == interval - 1) {
    return {};
  }
  const auto& names = m_attempts % 3 == 2   ? m_context.store_peers
                      : m_attempts % 3 == 1 ? m_context.region_peers
                                            : m_context.all_peers;
  return names.empty() ? std::string()
                       : names[m_context.random.Below(names.size())];
}

void ManifestSearch::Run(kernel::Time now) {
  if (now < m_next_request) {
    return;
  }
  const std::string target = ChooseTarget();
  ++m_attempts;
  if (target.empty()) {
    Fetch(now);
    return;
  }
  m_next_request = now + kRequestInterval;
  wire::Envelope message;
  message.mutable_manifest_request()->set_manifest_digest(m_digest);
  m_context.Send(target, std::move(message));
}

void ManifestSearch::Fetch(kernel::Time now) {
  const std::optional<Source> source = m_context.sources.Choose(now);
  if (!source) {
    m_next_request = m_context.sources.NextAvailable();
    return;
  }
  m_context.outputs.emplace_back(FetchManifest{m_digest, *source});
  m_next_request = now + kFetchTimeout;
}

std::optional<Manifest> ManifestSearch::Accept(std::string_view text) {
  if (text.ends_with('\n')) {
    text.remove_suffix(1);
  }
  if (text.size() > kMaximumManifestBytes || ToText(Sha256(text)) != m_digest) {
    return std::nullopt;
  }
  kernel::Findings findings;
  return ParseManifest(m_digest, text, findings);
}

void ManifestSearch::OnFetchFailed(kernel::Time now, Source source) {
  m_context.sources.OnFailure(now, source, m_context.random);
  m_next_request = now;
}

void ManifestSearch::AddWaitingPeer(std::string_view peer) {
  if (m_waiting_peers.size() < kMaximumWaitingPeers) {
    m_waiting_peers.emplace(peer);
  }
}

std::set<std::string> ManifestSearch::TakeWaitingPeers() {
  return std::exchange(m_waiting_peers, {});
}

}  // namespace radishrudder::weights
