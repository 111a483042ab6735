#include "chunk_scheduler.h"

#include <algorithm>
#include <utility>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::weights {
namespace {

constexpr std::uint32_t kMaximumRank = 8;
constexpr std::size_t kMaximumConcurrentFetches = 2;
constexpr std::size_t kMaximumUpstreamRequests = 64;
constexpr std::size_t kUpstreamsPerRegion = 2;
constexpr std::chrono::milliseconds kInitialInventoryTimeout(500);
constexpr std::chrono::milliseconds kNeighbourBackoff(1000);
constexpr std::chrono::milliseconds kRefusedUpstreamBackoff(250);
constexpr int kSubstituteTimeoutFactorWithoutSources = 4;
constexpr double kMaximumDownloadDebtChunks = 4;
// Represents the origin and the store in a list of upstreams.
constexpr std::string_view kSourceUpstream = "";

}  // namespace

void ChunkScheduler::ComputeRanks() {
  const Manifest& manifest = *m_version.manifest;
  m_version.ranks.resize(manifest.chunks.size());
  m_duties.clear();
  for (std::uint32_t i = 0; i < manifest.chunks.size(); ++i) {
    const std::uint64_t key = DutyTable::HashKey(manifest.chunks[i].digest);
    const std::size_t rank = m_context.duties.LocalRank(key);
    m_version.ranks[i] = static_cast<std::uint32_t>(rank);
    if (rank <= kMaximumRank) {
      m_duties.push_back(i);
    }
  }
  for (std::size_t i = m_duties.size(); i > 1; --i) {
    std::swap(m_duties[i - 1], m_duties[m_context.random.Below(i)]);
  }
  // Chunks of higher rank come last: this instance is only a substitute for
  // them, and concurrent fetches by two instances should be rare.
  std::stable_sort(m_duties.begin(), m_duties.end(),
                   [this](std::uint32_t one, std::uint32_t other) {
                     return m_version.ranks[one] < m_version.ranks[other];
                   });
}

bool ChunkScheduler::HasNeighbourInventories(kernel::Time now) const {
  if (now >= m_version.started + kInitialInventoryTimeout) {
    return true;
  }
  return std::all_of(m_context.neighbours.begin(), m_context.neighbours.end(),
                     [this](const std::string& name) {
                       return m_version.offers.HasOffer(name);
                     });
}

void ChunkScheduler::Run(kernel::Time now) {
  if (!m_version.IsActive() || m_version.HasAllChunks()) {
    return;
  }
  ExpireRequests(now);
  RequestDutyChunks(now);
  RequestFromNeighbours(now);
}

void ChunkScheduler::ExpireRequests(kernel::Time now) {
  for (Request& request : m_version.requests.TakeExpired(now)) {
    const bool stalled =
        now - m_version.last_progress >= m_version.timing.stall_timeout;
    if (request.kind == RequestKind::kUpstream && request.acknowledged &&
        !stalled) {
      request.acknowledged = false;
      request.deadline = now + m_version.timing.response_timeout;
      SendRequest(request.sender, request.index);
      m_version.requests.Add(std::move(request));
    } else {
      OnTimeout(now, request);
    }
  }
}

void ChunkScheduler::OnTimeout(kernel::Time now, const Request& request) {
  switch (request.kind) {
    case RequestKind::kNeighbour:
      m_version.offers.Remove(request.sender);
      break;
    case RequestKind::kUpstream:
      ++m_version.attempts[request.index];
      break;
    case RequestKind::kSource:
      OnFetchFailed(now, request.index, request.source);
      break;
  }
}

void ChunkScheduler::OnFetchFailed(kernel::Time now,
                                   std::uint32_t index,
                                   Source source) {
  m_context.sources.OnFailure(now, source, m_context.random);
  // Other instances are tried only after the sources have failed for the stall
  // timeout.
  if (!m_context.duties.IsInStoreRegion() ||
      m_context.sources.HasFailedFor(now, m_version.timing.stall_timeout)) {
    ++m_version.attempts[index];
  }
}

void ChunkScheduler::OnRefusal(kernel::Time now,
                               const std::string& from,
                               std::uint32_t index,
                               std::chrono::milliseconds retry_after,
                               bool coming) {
  Request* request = m_version.requests.Find(index);
  if (request == nullptr || request->sender != from) {
    return;
  }
  if (request->kind == RequestKind::kNeighbour && coming) {
    // Another neighbour may supply it sooner than one whose links are busy.
    request->deadline =
        now + std::min<kernel::Duration>(retry_after,
                                         m_version.timing.request_timeout / 2);
    return;
  }
  if (request->kind == RequestKind::kUpstream && retry_after.count() > 0) {
    request->acknowledged = true;
    request->deadline = now + retry_after;
    return;
  }
  if (request->kind == RequestKind::kUpstream) {
    // The next upstream is tried after a backoff: all of them may refuse.
    request->acknowledged = false;
    request->deadline = now + kRefusedUpstreamBackoff;
    return;
  }
  if (Offer* offer = m_version.offers.Find(from)) {
    offer->backoff_until =
        now + std::max<kernel::Duration>(retry_after, kNeighbourBackoff / 10);
  }
  m_version.requests.Remove(index);
}

bool ChunkScheduler::IsOnDuty(kernel::Time now, std::uint32_t index) const {
  const std::uint32_t rank = m_version.ranks[index];
  const auto time_without_progress = now - m_version.last_progress;
  // While the sources fail, substitutes cannot fetch the chunk either.
  const auto timeout =
      m_context.sources.HasFailedFor(now, kernel::Duration::zero())
          ? m_version.timing.stall_timeout *
                kSubstituteTimeoutFactorWithoutSources
          : m_version.timing.stall_timeout;
  return rank <= 1 || time_without_progress >= timeout * (rank - 1);
}

void ChunkScheduler::RequestDutyChunks(kernel::Time now) {
  if (!HasNeighbourInventories(now)) {
    return;
  }
  for (const std::uint32_t index : m_duties) {
    if (!m_version.present.Test(index) &&
        !m_version.requests.Requested().Test(index) &&
        !m_version.deferred.Test(index) &&
        m_version.offers.Copies(index) == 0 && IsOnDuty(now, index)) {
      RequestFromUpstream(now, index);
    }
  }
}

bool ChunkScheduler::FetchesDirectly(std::uint64_t key) const {
  // A speed above 0.5 prefers time over origin bytes: up to half of the chunks
  // enter each region directly from the origin.
  constexpr double kMaximumShare = 0.5;
  const double share =
      kMaximumShare * std::clamp(2 * m_context.settings.speed - 1, 0.0, 1.0);
  const std::uint64_t draw =
      kernel::StableHash(std::to_string(key), m_context.settings.region);
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(draw % kSteps) < share * kSteps;
}

std::vector<std::string> ChunkScheduler::ListUpstreams(
    std::uint32_t index) const {
  const std::uint64_t key =
      DutyTable::HashKey(m_version.manifest->chunks[index].digest);
  const DutyTable& duties = m_context.duties;
  const TransferSettings& settings = m_context.settings;
  std::vector<std::string> upstreams;
  if (m_version.ranks[index] > 0) {
    upstreams = duties.RankedInstances(settings.region, key, 1);
  }
  if (!duties.IsInStoreRegion() && !FetchesDirectly(key)) {
    const std::vector<std::string> chain = duties.RegionChain(key);
    const auto local_region =
        std::find(chain.begin(), chain.end(), settings.region);
    for (auto upstream_region = local_region;
         upstream_region != chain.begin();) {
      --upstream_region;
      if (!settings.relay_regions &&
          *upstream_region != settings.store_region) {
        continue;
      }
      for (std::string& name :
           duties.RankedInstances(*upstream_region, key, kUpstreamsPerRegion)) {
        upstreams.push_back(std::move(name));
      }
    }
  }
  upstreams.emplace_back(kSourceUpstream);
  if (duties.IsInStoreRegion()) {
    for (const std::string& region : duties.RegionChain(key)) {
      if (region != settings.region) {
        upstreams.push_back(duties.RankedInstances(region, key, 1).front());
      }
    }
  }
  return upstreams;
}

void ChunkScheduler::RequestFromUpstream(kernel::Time now,
                                         std::uint32_t index) {
  const auto attempt = m_version.attempts.find(index);
  const bool first = attempt == m_version.attempts.end();
  if (first && m_context.duties.IsInStoreRegion() &&
      m_version.ranks[index] == 0) {
    FetchFromSource(now, index);
    return;
  }
  if (m_version.requests.CountRequests(RequestKind::kUpstream) >=
      kMaximumUpstreamRequests) {
    return;
  }
  const std::vector<std::string> upstreams = ListUpstreams(index);
  const std::size_t position = first ? 0 : attempt->second;
  const std::string& upstream = upstreams[position % upstreams.size()];
  if (upstream == kSourceUpstream) {
    FetchFromSource(now, index);
    return;
  }
  if (!m_context.trust.IsTrusted(now, upstream)) {
    ++m_version.attempts[index];
    return;
  }
  Request request;
  request.index = index;
  request.kind = RequestKind::kUpstream;
  request.sender = upstream;
  request.deadline = now + m_version.timing.response_timeout;
  SendRequest(upstream, index);
  m_version.requests.Add(std::move(request));
}

void ChunkScheduler::FetchFromSource(kernel::Time now, std::uint32_t index) {
  const std::optional<Source> source = m_context.sources.Choose(now);
  // One fetch suffices to detect that a failed source has recovered.
  const bool failed =
      m_context.sources.HasFailedFor(now, kernel::Duration::zero());
  const std::size_t maximum = failed ? 1 : kMaximumConcurrentFetches;
  if (!source || !m_context.budgets.CanFetch(now) ||
      m_version.requests.CountRequests(RequestKind::kSource) >= maximum) {
    return;
  }
  const Chunk& chunk = m_version.manifest->chunks[index];
  FetchChunk fetch;
  fetch.manifest_digest = m_version.digest;
  fetch.index = index;
  fetch.file = m_version.manifest->file;
  fetch.offset = chunk.offset;
  fetch.size = chunk.size;
  fetch.source = *source;
  m_context.outputs.emplace_back(std::move(fetch));
  m_context.budgets.ChargeFetch(now, chunk.size);
  Request request;
  request.index = index;
  request.kind = RequestKind::kSource;
  request.source = *source;
  request.deadline = now + m_version.timing.fetch_timeout;
  m_version.requests.Add(std::move(request));
}

void ChunkScheduler::RequestFromNeighbours(kernel::Time now) {
  std::vector<std::string> names = m_version.offers.Instances();
  const double maximum_debt =
      kMaximumDownloadDebtChunks * m_version.manifest->chunks.front().size;
  // Neighbours are picked at random for each request, so that no neighbour
  // receives the requests for all chunks.
  while (!names.empty() && m_context.budgets.CanRequest(now, maximum_debt)) {
    const std::size_t at = m_context.random.Below(names.size());
    if (!RequestFromNeighbour(now, names[at])) {
      names[at] = std::move(names.back());
      names.pop_back();
    }
  }
}

bool ChunkScheduler::RequestFromNeighbour(kernel::Time now,
                                          const std::string& neighbour) {
  const Offer* offer = m_version.offers.Find(neighbour);
  if (offer == nullptr || now < offer->backoff_until ||
      offer->present.Size() != m_version.present.Size() ||
      !m_context.trust.IsTrusted(now, neighbour) ||
      m_version.requests.CountRequests(RequestKind::kNeighbour, neighbour) >=
          m_context.settings.maximum_requests_per_neighbour) {
    return false;
  }
  std::vector<ChunkCandidate> candidates;
  offer->present.ForEachWithout(
      m_version.present, m_version.requests.Requested(),
      [&](std::size_t index) {
        const auto number = static_cast<std::uint32_t>(index);
        if (!m_version.deferred.Test(index)) {
          candidates.push_back({number, m_version.offers.Copies(number)});
        }
      });
  if (candidates.empty()) {
    return false;
  }
  const std::size_t at = m_context.selector(candidates, m_context.random);
  Request request;
  request.index = candidates[at].index;
  request.sender = neighbour;
  request.deadline = now + m_version.timing.request_timeout;
  SendRequest(neighbour, request.index);
  m_version.requests.Add(std::move(request));
  return true;
}

void ChunkScheduler::SendRequest(const std::string& to, std::uint32_t index) {
  wire::Envelope message;
  message.mutable_chunk_request()->set_manifest_digest(m_version.digest);
  message.mutable_chunk_request()->set_index(index);
  m_context.Send(to, std::move(message));
}

}  // namespace radishrudder::weights
