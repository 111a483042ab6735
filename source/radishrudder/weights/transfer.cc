#include "radishrudder/weights/transfer.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "radishrudder/weights/neighbour_rings.h"
#include "transfer_context.h"
#include "version_transfer.h"

namespace radishrudder::weights {
namespace {

constexpr std::chrono::milliseconds kMinimumTickInterval(1);

}  // namespace

struct Transfer::State {
  State(TransferSettings initial_settings,
        kernel::Random random,
        kernel::Time now);

  VersionTransfer* Find(std::string_view digest);
  void SetWantedVersions(std::vector<std::string> digests);
  void SetPeers(std::vector<TransferPeer> peers);
  void UpdateBudgetShares();
  void Admit();
  void Dispatch(const wire::Envelope& message);
  void DeferDuplicates();
  void MarkDeferredChunks();
  void SendUploads();
  void Run();

  TransferContext context;
  kernel::Time now;
  // Manifest digests, most urgent first.
  std::vector<std::string> wanted;
  std::map<std::string, std::unique_ptr<VersionTransfer>, std::less<>> versions;
  std::vector<TransferPeer> peers;
};

Transfer::State::State(TransferSettings initial_settings,
                       kernel::Random random,
                       kernel::Time now)
    : context(std::move(initial_settings), random, now), now(now) {}

VersionTransfer* Transfer::State::Find(std::string_view digest) {
  const auto found = versions.find(digest);
  return found == versions.end() ? nullptr : found->second.get();
}

void Transfer::State::SetWantedVersions(std::vector<std::string> digests) {
  wanted = std::move(digests);
  std::erase_if(versions, [this](const auto& item) {
    if (std::find(wanted.begin(), wanted.end(), item.first) != wanted.end()) {
      return false;
    }
    context.uploads.RemoveVersion(item.first);
    return true;
  });
  for (const std::string& digest : wanted) {
    if (!versions.contains(digest)) {
      versions.emplace(digest,
                       std::make_unique<VersionTransfer>(context, digest, now));
    }
  }
  Admit();
}

// Admits versions in order of urgency as far as their distinct chunks fit into
// the staging memory. Removes chunks that no version needs once all manifests
// are known or the memory is exceeded.
void Transfer::State::Admit() {
  std::vector<const Manifest*> kept;
  bool all_known = true;
  for (const std::string& digest : wanted) {
    VersionTransfer& version = *Find(digest);
    const VersionState& state = version.State();
    all_known = all_known && state.manifest;
    if (!state.manifest) {
      continue;
    }
    kept.push_back(&*state.manifest);
    if (state.admitted) {
      continue;
    }
    if (StagedBytes(kept) <= context.settings.maximum_staged_bytes) {
      version.Admit(now);
    } else {
      kept.pop_back();
    }
  }
  DeferDuplicates();
  if (all_known ||
      context.store.Bytes() > context.settings.maximum_staged_bytes) {
    context.store.KeepOnly(kept);
  }
}

// Defers missing chunks with the same digest as another missing chunk, so that
// each is requested once, for the most urgent version.
void Transfer::State::DeferDuplicates() {
  std::set<Digest> pending;
  for (const std::string& digest : wanted) {
    VersionState& version = Find(digest)->State();
    if (!version.IsActive()) {
      continue;
    }
    const std::vector<Chunk>& chunks = version.manifest->chunks;
    version.deferred = ChunkBitmap(chunks.size());
    for (std::size_t i = 0; i < chunks.size(); ++i) {
      if (!version.present.Test(i) &&
          !pending.insert(chunks[i].digest).second) {
        version.deferred.Set(i);
      }
    }
  }
}

void Transfer::State::MarkDeferredChunks() {
  for (const Digest& digest : std::exchange(context.stored_digests, {})) {
    for (const auto& [name, version] : versions) {
      version->MarkDeferredPresent(now, digest);
    }
  }
}

void Transfer::State::SetPeers(std::vector<TransferPeer> new_peers) {
  if (new_peers == peers) {
    return;
  }
  peers = std::move(new_peers);
  const TransferSettings& settings = context.settings;
  context.duties.SetPeers(peers);
  TransferPeer self;
  self.instance = settings.self.instance;
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  context.neighbours = ChooseNeighbours(self, peers, settings.neighbours);
  context.all_peers.clear();
  context.region_peers.clear();
  context.store_peers.clear();
  for (const TransferPeer& peer : peers) {
    if (!peer.alive) {
      context.uploads.RemovePeer(peer.instance);
    } else if (peer.instance != settings.self.instance) {
      context.all_peers.push_back(peer.instance);
      if (peer.region == settings.region) {
        context.region_peers.push_back(peer.instance);
      }
      if (peer.region == settings.store_region) {
        context.store_peers.push_back(peer.instance);
      }
    }
  }
  for (const auto& [digest, version] : versions) {
    version->OnPeersChanged(now);
  }
  UpdateBudgetShares();
}

// Sets this instance's share of the origin's link and of the links between
// regions to its share of the chunks for which it has rank 0.
void Transfer::State::UpdateBudgetShares() {
  const TransferSettings& settings = context.settings;
  std::size_t total = 0;
  std::size_t local_duties = 0;
  for (const auto& [digest, version] : versions) {
    const auto& ranks = version->State().ranks;
    total += ranks.size();
    local_duties += static_cast<std::size_t>(
        std::count(ranks.begin(), ranks.end(), std::uint32_t{0}));
  }
  if (total == 0) {
    return;
  }
  const double share =
      static_cast<double>(std::max<std::size_t>(local_duties, 1)) /
      static_cast<double>(total);
  context.budgets.SetOriginRate(settings.origin_bytes_per_second * share, now);
  for (const TransferPeer& peer : peers) {
    if (peer.region != settings.region) {
      context.budgets.SetRegionRate(
          peer.region, settings.region_link_bytes_per_second * share, now);
    }
  }
}

void Transfer::State::Dispatch(const wire::Envelope& message) {
  const std::string& from = message.from().instance();
  const auto with_version = [this](const std::string& digest,
                                   const auto& handle) {
    if (VersionTransfer* version = Find(digest)) {
      handle(*version);
      return true;
    }
    return false;
  };
  switch (message.body_case()) {
    case wire::Envelope::kChunkInventory:
      with_version(message.chunk_inventory().manifest_digest(),
                   [&](VersionTransfer& version) {
                     version.OnInventory(now, from, message.chunk_inventory());
                   });
      break;
    case wire::Envelope::kChunkRequest: {
      const wire::ChunkRequest& request = message.chunk_request();
      const bool known = with_version(
          request.manifest_digest(), [&](VersionTransfer& version) {
            version.OnChunkRequest(now, from, request.index());
          });
      if (!known) {
        wire::Envelope refusal;
        refusal.mutable_chunk_refusal()->set_manifest_digest(
            request.manifest_digest());
        refusal.mutable_chunk_refusal()->set_index(request.index());
        context.Send(from, std::move(refusal));
      }
      break;
    }
    case wire::Envelope::kChunkData:
      with_version(message.chunk_data().manifest_digest(),
                   [&](VersionTransfer& version) {
                     version.OnChunkData(now, from,
                                         message.chunk_data().index(),
                                         message.chunk_data().data());
                   });
      break;
    case wire::Envelope::kChunkRefusal:
      with_version(message.chunk_refusal().manifest_digest(),
                   [&](VersionTransfer& version) {
                     version.OnChunkRefusal(now, from, message.chunk_refusal());
                   });
      break;
    case wire::Envelope::kManifestRequest:
      with_version(
          message.manifest_request().manifest_digest(),
          [&](VersionTransfer& version) { version.OnManifestRequest(from); });
      break;
    case wire::Envelope::kManifestData:
      with_version(message.manifest_data().manifest_digest(),
                   [&](VersionTransfer& version) {
                     version.OnManifestText(now,
                                            message.manifest_data().content());
                   });
      break;
    default:
      break;
  }
}

void Transfer::State::SendUploads() {
  while (std::optional<Upload> upload =
             context.uploads.Take(now, context.budgets)) {
    const VersionTransfer* version = Find(upload->manifest_digest);
    const Chunk& chunk = version->State().manifest->chunks[upload->index];
    const std::string_view bytes = context.store.Find(chunk.digest);
    wire::Envelope message;
    wire::ChunkData& data = *message.mutable_chunk_data();
    data.set_manifest_digest(upload->manifest_digest);
    data.set_index(upload->index);
    data.set_data(bytes.data(), bytes.size());
    context.budgets.ChargeUpload(now, upload->region,
                                 static_cast<double>(bytes.size()));
    context.Send(upload->peer, std::move(message));
  }
}

void Transfer::State::Run() {
  bool manifest_arrived = false;
  for (const auto& [digest, version] : versions) {
    const VersionState& state = version->State();
    manifest_arrived = manifest_arrived || (state.manifest && !state.admitted);
  }
  if (manifest_arrived) {
    Admit();
    UpdateBudgetShares();
  }
  MarkDeferredChunks();
  for (const std::string& digest : wanted) {
    Find(digest)->Run(now);
  }
  SendUploads();
}

Transfer::Transfer(TransferSettings settings,
                   kernel::Random random,
                   kernel::Time now)
    : m_state(std::make_unique<State>(std::move(settings), random, now)) {}

Transfer::~Transfer() = default;

void Transfer::SetWantedVersions(kernel::Time now,
                                 std::vector<std::string> manifest_digests) {
  m_state->now = now;
  m_state->SetWantedVersions(std::move(manifest_digests));
  m_state->Run();
}

void Transfer::OnPeers(kernel::Time now, std::vector<TransferPeer> peers) {
  m_state->now = now;
  m_state->SetPeers(std::move(peers));
  m_state->Run();
}

void Transfer::OnManifestFetched(kernel::Time now,
                                 std::string_view manifest_digest,
                                 Source source,
                                 std::string text) {
  m_state->now = now;
  if (VersionTransfer* version = m_state->Find(manifest_digest)) {
    const std::string content = std::move(text);
    version->OnManifestFetched(now, source, content);
  }
  m_state->Run();
}

void Transfer::OnChunkFetched(kernel::Time now,
                              std::string_view manifest_digest,
                              std::uint32_t index,
                              Source source,
                              std::string bytes) {
  m_state->now = now;
  if (VersionTransfer* version = m_state->Find(manifest_digest)) {
    version->OnChunkFetched(now, index, source, std::move(bytes));
  }
  m_state->Run();
}

void Transfer::OnMessage(kernel::Time now, const wire::Envelope& message) {
  m_state->now = now;
  m_state->Dispatch(message);
  m_state->Run();
}

void Transfer::OnTick(kernel::Time now) {
  m_state->now = now;
  m_state->Run();
}

kernel::Time Transfer::NextTick() const {
  State& state = *m_state;
  kernel::Time next = state.now + std::chrono::seconds(1);
  for (const auto& [digest, version] : state.versions) {
    next = std::min(next, version->NextRun(state.now));
  }
  if (!state.context.uploads.Empty()) {
    const kernel::Duration wait =
        state.context.budgets.TimeUntilUpload(state.now);
    next = std::min(next, state.now + std::max<kernel::Duration>(
                                          wait, kMinimumTickInterval));
  }
  return std::max(next, state.now + kMinimumTickInterval);
}

std::vector<TransferOutput> Transfer::TakeOutputs() {
  return std::exchange(m_state->context.outputs, {});
}

void Transfer::SetCallPressure(double pressure) {
  m_state->context.budgets.SetPressure(pressure);
}

void Transfer::SetSpeed(double speed) {
  m_state->context.settings.speed = speed;
}

TransferProgress Transfer::Progress(std::string_view manifest_digest) const {
  const VersionTransfer* version = m_state->Find(manifest_digest);
  return version == nullptr ? TransferProgress() : version->State().progress;
}

const Manifest* Transfer::FindManifest(std::string_view manifest_digest) const {
  const VersionTransfer* version = m_state->Find(manifest_digest);
  return version == nullptr || !version->State().manifest
             ? nullptr
             : &*version->State().manifest;
}

std::string_view Transfer::ChunkBytes(std::string_view manifest_digest,
                                      std::uint32_t index) const {
  const Manifest* manifest = FindManifest(manifest_digest);
  if (manifest == nullptr || index >= manifest->chunks.size()) {
    return {};
  }
  return m_state->context.store.Find(manifest->chunks[index].digest);
}

}  // namespace radishrudder::weights
