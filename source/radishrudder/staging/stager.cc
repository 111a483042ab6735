#include "radishrudder/staging/stager.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "radishrudder/kernel/findings.h"
#include "source/radishrudder/staging/stager_state.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// Pieces from the origin that fail the list's digests until the list itself is
// discarded as wrong.
constexpr std::uint32_t kMaximumOriginRejections = 6;
// Minimum share of a superseded version's pieces that must be present for it to
// be kept as the interim version.
constexpr double kMinimumInterimShare = 0.5;
// Interval between two ticks while a version is being deployed.
constexpr milliseconds kTickInterval{50};

}  // namespace

std::string ManifestFileName(const VersionId& version) {
  return version.model + "/" + std::to_string(version.number);
}

std::optional<VersionId> ParseManifestFileName(std::string_view file) {
  const std::size_t slash = file.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  VersionId version{.model = std::string(file.substr(0, slash))};
  const char* end = file.data() + file.size();
  const auto parsed =
      std::from_chars(file.data() + slash + 1, end, version.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

weights::Manifest BuildManifest(const VersionId& version,
                                const PieceList& list) {
  weights::Manifest manifest;
  manifest.file = ManifestFileName(version);
  for (const weights::Digest& digest : list.digests) {
    manifest.chunks.push_back({digest, manifest.size, list.piece_bytes});
    manifest.size += list.piece_bytes;
  }
  return manifest;
}

void Stager::State::ReportProgress(ProgressReport::Kind kind,
                                   const DeclaredVersion& version,
                                   std::string detail) {
  outputs.emplace_back(
      ProgressReport{kind, version.name, std::move(detail), std::nullopt});
}

void Stager::State::ReportStaging(kernel::Time now,
                                  ProgressReport::Kind kind,
                                  const DeclaredVersion& version,
                                  std::string detail) {
  const auto age = [now](kernel::Time since) {
    return std::chrono::duration_cast<milliseconds>(now - since);
  };
  StagingFacts facts;
  facts.process_started_at_ms = report ? report->started_at_ms : 0;
  facts.accepted_orders = report ? report->accepted_orders : 0;
  facts.verified_pieces = staging_area.VerifiedCount();
  facts.unanswered_accesses = staging_area.AccessesInProgress();
  if (const auto since = staging_area.VerifiedSince()) {
    facts.verification_age = age(*since);
  }
  if (order && !order->accepted) {
    facts.order_age = age(order->sent);
  }
  outputs.emplace_back(
      ProgressReport{kind, version.name, std::move(detail), facts});
}

DeclaredVersion* Stager::State::FindVersion(const VersionId& version) {
  if (newest && newest->name == version) {
    return &*newest;
  }
  return interim && interim->name == version ? &*interim : nullptr;
}

DeclaredVersion* Stager::State::FindByManifestDigest(
    std::string_view manifest_digest) {
  if (newest && newest->manifest &&
      newest->manifest_digest == manifest_digest) {
    return &*newest;
  }
  return interim && interim->manifest_digest == manifest_digest ? &*interim
                                                                : nullptr;
}

void Stager::State::AdoptList(const weights::Manifest& list, bool from_origin) {
  DeclaredVersion& version = *newest;
  version.manifest = list;
  version.manifest_text = weights::ToText(list);
  version.manifest_digest = weights::ManifestDigest(list);
  version.origin_rejections = 0;
  ReportProgress(ProgressReport::Kind::kListReceived, version,
                 version.manifest_digest);
  list_search.Finish();
  std::set<std::string> receivers = list_search.TakeWaiting();
  receivers.merge([&] {
    const auto next = list_search.Receivers(list.file, from_origin);
    return std::set<std::string>(next.begin(), next.end());
  }());
  for (const std::string& receiver : receivers) {
    SendList(receiver, list);
  }
}

void Stager::State::SendList(const std::string& instance,
                             const weights::Manifest& list) {
  wire::Send send;
  send.to = instance;
  *send.message.mutable_from() = wire::ToMessage(settings.transfer.self);
  wire::ManifestData& data = *send.message.mutable_manifest_data();
  data.set_manifest_digest(weights::ManifestDigest(list));
  data.set_content(weights::ToText(list));
  outputs.emplace_back(std::move(send));
}

void Stager::State::OnListMessage(kernel::Time now,
                                  const wire::Envelope& message) {
  kernel::Findings findings;
  auto list = weights::ParseManifest(
      message.from().instance(), message.manifest_data().content(), findings);
  const auto name = list ? ParseManifestFileName(list->file) : std::nullopt;
  if (!name || weights::ManifestDigest(*list) == rejected_list) {
    return;
  }
  if (newest && *name == newest->name) {
    if (!newest->manifest) {
      AdoptList(*list, /*from_origin=*/false);
    }
    return;
  }
  // The list may arrive before the declaration has been read.
  const auto early_name =
      early_list ? ParseManifestFileName(early_list->file) : std::nullopt;
  const bool is_newer = !newest || (name->model == newest->name.model &&
                                    name->number > newest->name.number);
  if (is_newer && (!early_name || name->number >= early_name->number)) {
    NoteNewerVersion(now, *name);
    if (early_name == name) {
      return;
    }
    early_list = std::move(*list);
    for (const std::string& receiver :
         list_search.Receivers(early_list->file, /*from_origin=*/false)) {
      SendList(receiver, *early_list);
    }
  }
}

void Stager::State::OnListRequest(kernel::Time now,
                                  const wire::Envelope& message) {
  const auto name = ParseManifestFileName(message.manifest_request().file());
  if (!name) {
    return;
  }
  const std::string& from = message.from().instance();
  const DeclaredVersion* version = FindVersion(*name);
  if (version != nullptr && version->manifest) {
    SendList(from, *version->manifest);
  } else if (version != nullptr) {
    list_search.AddWaiting(from);
  } else if (newest && name->model == newest->name.model &&
             name->number > newest->name.number) {
    NoteNewerVersion(now, *name);
    if (early_list && early_list->file == message.manifest_request().file()) {
      SendList(from, *early_list);
    }
  }
}

void Stager::State::NoteNewerVersion(kernel::Time now,
                                     const VersionId& version) {
  if (version.number > newest_number_seen) {
    newest_number_seen = version.number;
    newest_seen_at = now;
    outputs.emplace_back(NewerVersionSeen{version});
  }
}

void Stager::State::OnChunkRejected(kernel::Time now,
                                    const weights::ChunkRejected& rejected) {
  DeclaredVersion* version = FindByManifestDigest(rejected.manifest_digest);
  if (version == nullptr) {
    return;
  }
  ReportProgress(ProgressReport::Kind::kPieceRejected, *version,
                 rejected.sender + " piece " + std::to_string(rejected.index));
  if (rejected.sender == "origin" &&
      ++version->origin_rejections >= kMaximumOriginRejections &&
      !targets_interim && version == &*newest) {
    rejected_list = version->manifest_digest;
    version->manifest.reset();
    version->transfer_started = false;
    list_search.RestartAtOrigin(now);
  }
}

void Stager::State::TakeTransferOutputs(kernel::Time now) {
  for (weights::TransferOutput& output : transfer.TakeOutputs()) {
    if (auto* send = std::get_if<wire::Send>(&output)) {
      // `ListSearch` obtains the piece lists.
      if (!send->message.has_manifest_request()) {
        outputs.emplace_back(std::move(*send));
      }
    } else if (const auto* fetch = std::get_if<weights::FetchChunk>(&output)) {
      if (const auto* version = FindByManifestDigest(fetch->manifest_digest)) {
        outputs.emplace_back(FetchPiece{version->name, fetch->index});
      }
    } else if (const auto* done =
                   std::get_if<weights::VersionComplete>(&output)) {
      if (auto* version = FindByManifestDigest(done->manifest_digest)) {
        version->complete = true;
        ReportProgress(ProgressReport::Kind::kComplete, *version);
      }
    } else if (const auto* rejected =
                   std::get_if<weights::ChunkRejected>(&output)) {
      OnChunkRejected(now, *rejected);
    }
  }
}

// Keeps the newest version as the interim version when another one is declared
// if enough of its pieces are present: the endpoint can then run it if the
// other version is delayed.
void Stager::State::SupersedeNewest() {
  if (!newest || targets_interim) {
    return;
  }
  const bool incoming =
      newest->newly_declared && newest->transfer_started && !IsRunningNewest();
  const weights::TransferProgress progress =
      incoming ? transfer.Progress(newest->manifest_digest)
               : weights::TransferProgress();
  if (progress.chunks_total > 0 &&
      progress.chunks_present >= progress.chunks_total * kMinimumInterimShare) {
    interim = std::exchange(newest, std::nullopt);
    interim_finished = false;
  } else if (IsRunningNewest()) {
    interim.reset();
  }
}

Stager::Stager(StagerSettings settings, kernel::Random random, kernel::Time now)
    : m_state(std::make_unique<State>(std::move(settings), random, now)) {}

Stager::~Stager() = default;

void Stager::SetTurnDelays(milliseconds first, milliseconds last) {
  m_state->settings.first_turn_delay = first;
  m_state->settings.last_turn_delay = last;
}

void Stager::OnVersionDeclared(kernel::Time now,
                               const VersionId& version,
                               bool newly_declared) {
  State& state = *m_state;
  if (state.newest && (version.model != state.newest->name.model ||
                       version.number <= state.newest->name.number)) {
    return;
  }
  state.SupersedeNewest();
  state.newest.emplace();
  DeclaredVersion& newest = *state.newest;
  newest.name = version;
  newest.declared_at = state.newest_number_seen == version.number
                           ? std::min(state.newest_seen_at, now)
                           : now;
  newest.newly_declared = newly_declared;
  state.running_reported = false;
  state.ReportProgress(ProgressReport::Kind::kDeclared, newest);
  state.list_search.Start(now, ManifestFileName(version), newly_declared);
  if (const auto early = std::exchange(state.early_list, std::nullopt);
      early && ParseManifestFileName(early->file) == version) {
    state.AdoptList(*early, /*from_origin=*/false);
  }
  OnTick(now);
}

void Stager::OnPeers(kernel::Time now,
                     std::vector<weights::TransferPeer> peers) {
  m_state->peer_count = peers.size();
  m_state->list_search.OnPeers(now, peers);
  m_state->transfer.OnPeers(now, std::move(peers));
  OnTick(now);
}

void Stager::OnMessage(kernel::Time now, const wire::Envelope& message) {
  State& state = *m_state;
  if (message.has_manifest_data()) {
    state.OnListMessage(now, message);
  } else if (message.has_manifest_request() &&
             !message.manifest_request().file().empty()) {
    state.OnListRequest(now, message);
  } else {
    state.transfer.OnMessage(now, message);
  }
  state.TakeTransferOutputs(now);
  state.Advance(now);
  state.TakeTransferOutputs(now);
}

void Stager::OnPieceList(kernel::Time now,
                         const VersionId& version,
                         std::optional<PieceList> list) {
  State& state = *m_state;
  if (!state.newest || version != state.newest->name) {
    return;
  }
  DeclaredVersion& newest = *state.newest;
  if (!list || list->digests.empty() || list->piece_bytes == 0) {
    state.list_search.OnOriginFailed(now);
  } else if (!newest.manifest) {
    state.AdoptList(BuildManifest(version, *list), /*from_origin=*/true);
  }
  OnTick(now);
}

void Stager::OnPiece(kernel::Time now,
                     const VersionId& version,
                     std::uint32_t index,
                     std::string bytes) {
  State& state = *m_state;
  const DeclaredVersion* found = state.FindVersion(version);
  if (found != nullptr && found->manifest) {
    state.transfer.OnChunkFetched(now, found->manifest_digest, index,
                                  weights::Source::kOrigin, std::move(bytes));
  }
  OnTick(now);
}

void Stager::OnTick(kernel::Time now) {
  State& state = *m_state;
  state.last_tick = now;
  if (now >= state.transfer.NextTick()) {
    state.transfer.OnTick(now);
  }
  state.TakeTransferOutputs(now);
  state.Advance(now);
  state.TakeTransferOutputs(now);
}

kernel::Time Stager::NextTick() const {
  const State& state = *m_state;
  kernel::Time next = state.transfer.NextTick();
  if (!state.report_requested) {
    next = std::min(next, state.next_report_request);
  }
  if (state.newest && !state.IsRunningNewest()) {
    next = std::min(next, state.last_tick + kTickInterval);
  }
  return next;
}

std::vector<StagerOutput> Stager::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

std::string Stager::Explain(kernel::Time now) const {
  const State& state = *m_state;
  if (!state.newest) {
    return "no version has been declared";
  }
  std::string text = ManifestFileName(state.newest->name) + ": ";
  if (!state.report || !state.report->reachable) {
    return text + "the endpoint is not reachable";
  }
  if (state.IsRunningNewest()) {
    return text + "running";
  }
  if (!state.newest->manifest) {
    return text + "waiting for the piece list";
  }
  const auto progress = state.transfer.Progress(state.newest->manifest_digest);
  text += std::to_string(progress.chunks_present) + " of " +
          std::to_string(progress.chunks_total) + " pieces present";
  if (state.targets_interim) {
    text += "; " + ManifestFileName(state.interim->name) + " is deployed first";
  }
  const DeclaredVersion& target =
      state.targets_interim ? *state.interim : *state.newest;
  if (state.order && state.order->manifest_digest != target.manifest_digest) {
    text += "; the effect of an order for another version is unknown";
  }
  switch (state.phase) {
    case State::Phase::kStaging:
      return text + ", staging";
    case State::Phase::kWaitingForTurn:
      return text + ", staged, waiting for its turn";
    case State::Phase::kVerifying:
      return text + ", verifying staged pieces";
    case State::Phase::kOrdered:
      return text + ", load ordered";
    case State::Phase::kLoading:
      return text + ", loading";
  }
  return text;
}

}  // namespace radishrudder::staging
