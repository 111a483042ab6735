#include "manifest_search.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

constexpr std::size_t kTreeWidth = 4;
constexpr std::size_t kMaximumWaiting = 4096;
constexpr std::chrono::milliseconds kAskInterval(1500);
constexpr std::chrono::seconds kFetchTimeout(5);
// Every so many attempts the sources are asked, whatever the rank.
constexpr std::uint32_t kAttemptsBeforeFetch = 12;
// The same for the instance on duty for the manifest.
constexpr std::uint32_t kAttemptsOnDuty = 2;

std::uint64_t KeyOf(std::string_view digest_text) {
  const std::optional<Digest> digest = ParseDigest(digest_text);
  return digest ? DutyTable::KeyOf(*digest) : 0;
}

}  // namespace

ManifestSearch::ManifestSearch(TransferContext& context, std::string digest)
    : m_context(context), m_digest(std::move(digest)) {}

std::string ManifestSearch::ChooseTarget() const {
  const std::uint64_t key = KeyOf(m_digest);
  const DutyTable& duties = m_context.duties;
  const std::size_t rank = duties.RankOfSelf(key);
  if (m_attempts == 0 && rank > 0) {
    const std::size_t parent = (rank - 1) / kTreeWidth;
    return duties.Order(m_context.settings.region, key, parent + 1).back();
  }
  if (m_attempts == 0 && !duties.InStoreRegion()) {
    const auto order = duties.Order(m_context.settings.store_region, key, 1);
    return order.empty() ? std::string() : order.front();
  }
  const bool first = m_attempts == 0;
  const std::uint32_t interval = rank == 0 && duties.InStoreRegion()
                                     ? kAttemptsOnDuty
                                     : kAttemptsBeforeFetch;
  if ((first && rank == 0 && duties.InStoreRegion()) ||
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
  if (now < m_next_ask) {
    return;
  }
  const std::string target = ChooseTarget();
  ++m_attempts;
  if (target.empty()) {
    Fetch(now);
    return;
  }
  m_next_ask = now + kAskInterval;
  wire::Envelope message;
  message.mutable_manifest_request()->set_manifest_digest(m_digest);
  m_context.Send(target, std::move(message));
}

void ManifestSearch::Fetch(kernel::Time now) {
  const std::optional<Source> source = m_context.sources.Choose(now);
  if (!source) {
    m_next_ask = m_context.sources.NextChoice();
    return;
  }
  m_context.outputs.emplace_back(FetchManifest{m_digest, *source});
  m_next_ask = now + kFetchTimeout;
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
  m_next_ask = now;
}

void ManifestSearch::AddWaiting(std::string_view peer) {
  if (m_waiting.size() < kMaximumWaiting) {
    m_waiting.emplace(peer);
  }
}

std::set<std::string> ManifestSearch::TakeWaiting() {
  return std::exchange(m_waiting, {});
}

}  // namespace radishrudder::weights
