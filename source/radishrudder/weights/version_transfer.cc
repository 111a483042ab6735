#include "version_transfer.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

constexpr std::size_t kMaximumWaitingPeers = 8192;
constexpr std::uint64_t kFileVerificationStepBytes = 8ULL << 20U;
constexpr std::chrono::seconds kInventoryRefreshInterval(2);
// A waiting peer repeats its request after this time, which confirms that both
// instances are still alive.
constexpr std::chrono::milliseconds kWaitingRetryDelay(2000);
constexpr std::chrono::milliseconds kNoManifestRetryDelay(300);
constexpr std::chrono::milliseconds kFullQueueRetryDelay(500);
constexpr std::chrono::milliseconds kPullRetryDelay(200);
constexpr std::chrono::milliseconds kNoRetry(0);
constexpr std::chrono::milliseconds kPollInterval(100);

const char* SourceName(Source source) {
  return source == Source::kOrigin ? "origin" : "store";
}

}  // namespace

VersionTransfer::VersionTransfer(TransferContext& context,
                                 std::string digest,
                                 kernel::Time now)
    : m_context(context),
      m_scheduler(context, m_version),
      m_manifest_search(context, digest) {
  m_version.digest = std::move(digest);
  m_version.started = now;
  m_version.last_progress = now;
}

void VersionTransfer::OnManifestText(kernel::Time now, std::string_view text) {
  if (m_version.manifest) {
    return;
  }
  m_version.manifest = m_manifest_search.Accept(text);
  if (!m_version.manifest) {
    return;
  }
  const std::size_t chunks = m_version.manifest->chunks.size();
  m_version.present = ChunkBitmap(chunks);
  m_version.requests = RequestTable(chunks);
  m_version.deferred = ChunkBitmap(chunks);
  m_version.offers.Reset(chunks);
  m_version.progress.chunks_total = static_cast<std::uint32_t>(chunks);
  m_version.timing = TransferTiming::For(
      m_context.settings,
      chunks == 0 ? 0 : m_version.manifest->chunks.front().size);
  m_version.last_progress = now;
  m_scheduler.ComputeRanks();
  m_inventory_changed = true;
  for (const std::string& peer : m_manifest_search.TakeWaitingPeers()) {
    SendManifest(peer);
  }
}

void VersionTransfer::Admit(kernel::Time now) {
  m_version.admitted = true;
  MarkStoredChunks(now);
}

void VersionTransfer::MarkStoredChunks(kernel::Time now) {
  if (!m_version.IsActive()) {
    return;
  }
  for (std::uint32_t i = 0; i < m_version.manifest->chunks.size(); ++i) {
    if (!m_version.present.Test(i) &&
        m_context.store.Has(m_version.manifest->chunks[i].digest)) {
      MarkPresent(now, i);
    }
  }
}

void VersionTransfer::MarkDeferredPresent(kernel::Time now,
                                          const Digest& digest) {
  if (!m_version.IsActive() || m_version.deferred.Count() == 0) {
    return;
  }
  const ChunkBitmap deferred = m_version.deferred;
  deferred.ForEachWithout(
      m_version.present, m_version.present, [&](std::size_t index) {
        if (m_version.manifest->chunks[index].digest == digest) {
          MarkPresent(now, static_cast<std::uint32_t>(index));
        }
      });
}

void VersionTransfer::OnManifestFetched(kernel::Time now,
                                        Source source,
                                        std::string_view text) {
  OnManifestText(now, text);
  if (!m_version.manifest) {
    m_manifest_search.OnFetchFailed(now, source);
  } else {
    m_context.sources.OnSuccess(source);
  }
}

void VersionTransfer::OnManifestRequest(const std::string& from) {
  if (m_version.manifest) {
    SendManifest(from);
  } else {
    m_manifest_search.AddWaitingPeer(from);
  }
}

void VersionTransfer::SendManifest(const std::string& to) {
  wire::Envelope message;
  message.mutable_manifest_data()->set_manifest_digest(m_version.digest);
  message.mutable_manifest_data()->set_content(ToText(*m_version.manifest));
  m_context.Send(to, std::move(message));
}

void VersionTransfer::OnPeersChanged(kernel::Time now) {
  for (const std::string& name : m_version.offers.Instances()) {
    if (m_context.duties.RegionOf(name).empty()) {
      m_version.offers.Remove(name);
    }
  }
  for (const RequestKind kind :
       {RequestKind::kNeighbour, RequestKind::kUpstream}) {
    for (const std::uint32_t index :
         m_version.requests.RequestedIndices(kind)) {
      const std::string& sender = m_version.requests.Find(index)->sender;
      if (m_context.duties.RegionOf(sender).empty()) {
        m_version.requests.Remove(index);
      }
    }
  }
  if (m_version.manifest) {
    m_scheduler.ComputeRanks();
  }
  m_inventory_changed = true;
}

void VersionTransfer::OnInventory(kernel::Time now,
                                  const std::string& from,
                                  const wire::ChunkInventory& inventory) {
  if (!m_context.trust.IsTrusted(now, from) ||
      inventory.chunk_count() > kMaximumChunks) {
    return;
  }
  auto present =
      ChunkBitmap::FromBytes(inventory.present(), inventory.chunk_count());
  if (!present) {
    return;
  }
  Offer offer;
  offer.present = std::move(*present);
  offer.fetching = ChunkBitmap(inventory.chunk_count());
  for (const std::uint32_t index : inventory.fetching()) {
    if (index < inventory.chunk_count()) {
      offer.fetching.Set(index);
    }
  }
  if (m_version.offers.Set(from, std::move(offer))) {
    SendInventory(from);
  }
}

void VersionTransfer::SendInventory(const std::string& to) {
  wire::Envelope message;
  wire::ChunkInventory& inventory = *message.mutable_chunk_inventory();
  inventory.set_manifest_digest(m_version.digest);
  inventory.set_present(m_version.present.ToBytes());
  inventory.set_chunk_count(
      static_cast<std::uint32_t>(m_version.present.Size()));
  for (const std::uint32_t index :
       m_version.requests.RequestedIndices(RequestKind::kSource)) {
    inventory.add_fetching(index);
  }
  m_context.Send(to, std::move(message));
}

void VersionTransfer::SendDueInventories(kernel::Time now) {
  const bool due = m_inventory_changed && now >= m_next_inventory;
  if (!due && now < m_next_refresh) {
    return;
  }
  m_inventory_changed = false;
  m_next_inventory = now + m_context.settings.inventory_interval;
  m_next_refresh = now + kInventoryRefreshInterval;
  for (const std::string& neighbour : m_context.neighbours) {
    SendInventory(neighbour);
  }
}

void VersionTransfer::Refuse(const std::string& peer,
                             std::uint32_t index,
                             std::chrono::milliseconds retry_after,
                             bool coming) {
  wire::Envelope message;
  wire::ChunkRefusal& refusal = *message.mutable_chunk_refusal();
  refusal.set_manifest_digest(m_version.digest);
  refusal.set_index(index);
  refusal.set_retry_after_milliseconds(
      static_cast<std::uint32_t>(retry_after.count()));
  refusal.set_coming(coming);
  m_context.Send(peer, std::move(message));
}

void VersionTransfer::OnChunkRequest(kernel::Time now,
                                     const std::string& from,
                                     std::uint32_t index) {
  if (!m_version.manifest) {
    Refuse(from, index, kNoManifestRetryDelay);
    return;
  }
  if (m_version.present.Test(index)) {
    QueueUpload(now, from, index);
    return;
  }
  const bool must_refuse =
      index >= m_version.present.Size() || !m_version.admitted ||
      m_waiting_count >= kMaximumWaitingPeers ||
      m_context.sources.HasFailedFor(now, m_version.timing.stall_timeout);
  if (must_refuse) {
    Refuse(from, index, kNoRetry);
    return;
  }
  if (!m_context.settings.push_duties) {
    Refuse(from, index, kPullRetryDelay);
    return;
  }
  m_waiting_count += m_waiting_peers[index].insert(from).second ? 1 : 0;
  Refuse(from, index, kWaitingRetryDelay, /*coming=*/true);
}

void VersionTransfer::QueueUpload(kernel::Time now,
                                  const std::string& peer,
                                  std::uint32_t index) {
  Upload upload;
  upload.peer = peer;
  upload.manifest_digest = m_version.digest;
  upload.index = index;
  upload.queued_at = now;
  const std::string_view region = m_context.duties.RegionOf(peer);
  // A peer that is not listed yet is most likely a new neighbour in this
  // region.
  const bool crosses_regions =
      !region.empty() && region != m_context.settings.region;
  if (crosses_regions) {
    upload.region = region;
  }
  if (!m_context.uploads.Add(std::move(upload))) {
    Refuse(peer, index, kFullQueueRetryDelay);
  } else if (crosses_regions) {
    Refuse(peer, index, kWaitingRetryDelay, /*coming=*/true);
  }
}

void VersionTransfer::OnChunkRefusal(kernel::Time now,
                                     const std::string& from,
                                     const wire::ChunkRefusal& refusal) {
  m_scheduler.OnRefusal(
      now, from, refusal.index(),
      std::chrono::milliseconds(refusal.retry_after_milliseconds()),
      refusal.coming());
}

void VersionTransfer::OnChunkFetched(kernel::Time now,
                                     std::uint32_t index,
                                     Source source,
                                     std::string bytes) {
  m_context.budgets.ChargeDownload(now, static_cast<double>(bytes.size()));
  m_version.progress.origin_bytes += bytes.size();
  const Request* request = m_version.requests.Find(index);
  if (request != nullptr && request->kind == RequestKind::kSource) {
    m_version.requests.Remove(index);
  }
  if (bytes.empty()) {
    m_scheduler.OnFetchFailed(now, index, source);
  } else if (StoreChunk(now, SourceName(source), index, std::move(bytes))) {
    m_context.sources.OnSuccess(source);
  }
}

void VersionTransfer::OnChunkData(kernel::Time now,
                                  const std::string& from,
                                  std::uint32_t index,
                                  std::string bytes) {
  m_context.budgets.ChargeDownload(now, static_cast<double>(bytes.size()));
  m_version.progress.peer_bytes += bytes.size();
  const Request* request = m_version.requests.Find(index);
  const bool requested = request != nullptr && request->sender == from;
  const bool from_upstream =
      requested && request->kind == RequestKind::kUpstream;
  if (requested) {
    m_version.requests.Remove(index);
  }
  if (!requested && !m_context.trust.IsTrusted(now, from)) {
    return;
  }
  const bool present = m_version.present.Test(index);
  if (StoreChunk(now, from, index, std::move(bytes))) {
    m_context.trust.OnValidChunk(from);
    return;
  }
  if (present || !m_version.IsActive()) {
    return;
  }
  if (!m_context.trust.IsTrusted(now, from)) {
    m_version.offers.Remove(from);
    m_version.requests.TakeFrom(from);
    if (from_upstream) {
      ++m_version.attempts[index];
    }
  }
}

bool VersionTransfer::StoreChunk(kernel::Time now,
                                 const std::string& sender,
                                 std::uint32_t index,
                                 std::string bytes) {
  if (!m_version.IsActive() || index >= m_version.present.Size()) {
    return false;
  }
  if (m_version.present.Test(index)) {
    m_version.progress.duplicate_bytes += bytes.size();
    return false;
  }
  const Chunk& chunk = m_version.manifest->chunks[index];
  if (bytes.size() != chunk.size ||
      !m_context.store.Put(chunk.digest, std::move(bytes))) {
    m_context.trust.OnInvalidChunk(now, sender);
    m_context.outputs.emplace_back(
        ChunkRejected{m_version.digest, index, sender});
    return false;
  }
  m_context.stored_digests.push_back(chunk.digest);
  MarkPresent(now, index);
  return true;
}

void VersionTransfer::MarkPresent(kernel::Time now, std::uint32_t index) {
  m_version.present.Set(index);
  m_version.deferred.Clear(index);
  m_version.requests.Remove(index);
  if (now - m_version.last_progress >= m_version.timing.stall_timeout) {
    // The transfer resumes after a stall: start with the first upstreams again.
    m_version.attempts.clear();
  }
  m_version.attempts.erase(index);
  m_version.last_progress = now;
  m_version.progress.chunks_present =
      static_cast<std::uint32_t>(m_version.present.Count());
  m_inventory_changed = true;
  const auto waiting = m_waiting_peers.find(index);
  if (waiting == m_waiting_peers.end()) {
    return;
  }
  const std::set<std::string> peers = std::move(waiting->second);
  m_waiting_peers.erase(waiting);
  m_waiting_count -= peers.size();
  for (const std::string& peer : peers) {
    QueueUpload(now, peer, index);
  }
}

void VersionTransfer::AdvanceFileVerification() {
  if (!m_version.IsActive() || m_version.progress.complete ||
      m_mismatch_reported) {
    return;
  }
  const FileVerification state = m_file_verifier.Advance(
      *m_version.manifest, m_context.store, kFileVerificationStepBytes);
  if (state == FileVerification::kVerified) {
    m_version.progress.complete = true;
    m_context.outputs.emplace_back(VersionComplete{m_version.digest});
  } else if (state == FileVerification::kMismatch) {
    m_mismatch_reported = true;
    m_context.outputs.emplace_back(ChunkRejected{
        m_version.digest, m_version.progress.chunks_total, "manifest"});
  }
}

void VersionTransfer::Run(kernel::Time now) {
  if (!m_version.manifest) {
    m_manifest_search.Run(now);
  }
  AdvanceFileVerification();
  m_scheduler.Run(now);
  SendDueInventories(now);
}

kernel::Time VersionTransfer::NextRun(kernel::Time now) const {
  if (!m_version.manifest) {
    return std::max(now, std::min(m_manifest_search.NextRun(), m_next_refresh));
  }
  kernel::Time next = m_next_refresh;
  if (m_inventory_changed) {
    next = std::min(next, m_next_inventory);
  }
  if (m_version.IsActive() && !m_version.progress.complete &&
      !m_mismatch_reported) {
    next = std::min(next, m_version.requests.EarliestDeadline());
    next = std::min(next, now + kPollInterval);
    if (m_version.HasAllChunks()) {
      next = now;
    }
  }
  return std::max(now, next);
}

}  // namespace radishrudder::weights
