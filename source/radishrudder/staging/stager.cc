#include "radishrudder/staging/stager.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "radishrudder/kernel/findings.h"
#include "source/radishrudder/staging/stager_state.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// Time between two reports of the endpoint: while it loads, while it does not
// answer, while a version is on its way, and otherwise.
constexpr milliseconds kReportWhileLoading{100};
constexpr milliseconds kReportWhileUnreachable{100};
constexpr milliseconds kReportWhileStaging{400};
constexpr milliseconds kReportAtRest{1000};
// The list of pieces goes down a tree of this width from the instance that
// read it; one that has none yet reads it itself after this time and rank.
constexpr std::size_t kListTreeWidth = 4;
constexpr milliseconds kListPatience{350};
constexpr milliseconds kListPatienceARank{60};
constexpr milliseconds kLongestListPatience{1500};
constexpr milliseconds kListRetry{250};
// Pieces of the origin that do not match a list before the list is doubted.
constexpr std::uint32_t kRejectionsToDoubtList = 6;
// After an order that did not begin.
constexpr milliseconds kRefusedOrderRetry{300};
// Share of a superseded version's pieces from which on it is completed.
constexpr double kInterimShare = 0.5;
// Time between two looks at what can go on.
constexpr milliseconds kStep{50};

}  // namespace

std::string FileOf(const VersionName& version) {
  return version.model + "/" + std::to_string(version.number);
}

std::optional<VersionName> VersionOf(std::string_view file) {
  const std::size_t slash = file.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  VersionName version{.model = std::string(file.substr(0, slash))};
  const char* end = file.data() + file.size();
  const auto parsed =
      std::from_chars(file.data() + slash + 1, end, version.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

weights::Manifest ManifestOf(const VersionName& version,
                             const PieceList& list) {
  weights::Manifest manifest;
  manifest.file = FileOf(version);
  for (const weights::Digest& digest : list.digests) {
    manifest.chunks.push_back({digest, manifest.size, list.piece_bytes});
    manifest.size += list.piece_bytes;
  }
  return manifest;
}

void Stager::State::Tell(Progress::Kind kind,
                         const DeclaredVersion& version,
                         std::string detail) {
  outputs.emplace_back(Progress{kind, version.name, std::move(detail)});
}

DeclaredVersion* Stager::State::Find(const VersionName& version) {
  if (newest && newest->name == version) {
    return &*newest;
  }
  return interim && interim->name == version ? &*interim : nullptr;
}

DeclaredVersion* Stager::State::FindDigest(std::string_view manifest_digest) {
  if (newest && newest->manifest &&
      newest->manifest_digest == manifest_digest) {
    return &*newest;
  }
  return interim && interim->manifest_digest == manifest_digest ? &*interim
                                                                : nullptr;
}

void Stager::State::AdoptList(const weights::Manifest& list) {
  DeclaredVersion& version = *newest;
  version.manifest = list;
  version.manifest_text = weights::ToText(list);
  version.manifest_digest = weights::IdentityOf(list);
  version.rejections = 0;
  if (!aims_at_interim) {
    AimAt(version, /*is_interim=*/false);
  }
  Tell(Progress::Kind::kListKnown, version, version.manifest_digest);
  ForwardList();
}

void Stager::State::ForwardList() {
  const std::vector<std::string> order = OrderOfInstances(newest->name);
  const std::size_t first = kListTreeWidth * RankOfSelf(newest->name) + 1;
  for (std::size_t i = first;
       i < std::min(first + kListTreeWidth, order.size()); ++i) {
    wire::Send send;
    send.to = order[i];
    *send.message.mutable_from() = wire::ToMessage(settings.transfer.self);
    wire::ManifestData& data = *send.message.mutable_manifest_data();
    data.set_manifest_digest(newest->manifest_digest);
    data.set_content(newest->manifest_text);
    outputs.emplace_back(std::move(send));
  }
}

void Stager::State::OnRejected(kernel::Time now,
                               const weights::ChunkRejected& rejected) {
  DeclaredVersion* version = FindDigest(rejected.manifest_digest);
  if (version == nullptr) {
    return;
  }
  Tell(Progress::Kind::kPieceRejected, *version,
       rejected.sender + " piece " + std::to_string(rejected.index));
  if (rejected.sender == "origin" &&
      ++version->rejections >= kRejectionsToDoubtList && !aims_at_interim &&
      version == &*newest) {
    version->manifest.reset();
    version->wanted = false;
    version->next_list = now;
  }
}

void Stager::State::TakeTransferOutputs(kernel::Time now) {
  for (weights::TransferOutput& output : transfer.TakeOutputs()) {
    if (auto* send = std::get_if<wire::Send>(&output)) {
      // The list of pieces travels by itself; see `ForwardList`.
      if (!send->message.has_manifest_request()) {
        outputs.emplace_back(std::move(*send));
      }
    } else if (const auto* fetch = std::get_if<weights::FetchChunk>(&output)) {
      if (const auto* version = FindDigest(fetch->manifest_digest)) {
        outputs.emplace_back(FetchPiece{version->name, fetch->index});
      }
    } else if (const auto* done =
                   std::get_if<weights::VersionComplete>(&output)) {
      if (auto* version = FindDigest(done->manifest_digest)) {
        version->complete = true;
        Tell(Progress::Kind::kComplete, *version);
      }
    } else if (const auto* rejected =
                   std::get_if<weights::ChunkRejected>(&output)) {
      OnRejected(now, *rejected);
    }
  }
}

// What the newest version becomes when another one is declared: if much of it
// is here already, it may have to serve until the other comes.
void Stager::State::Supersede() {
  if (!newest || aims_at_interim) {
    return;
  }
  const bool new_here =
      newest->just_declared && newest->wanted && !RunsNewest();
  const weights::TransferProgress progress =
      new_here ? transfer.Progress(newest->manifest_digest)
               : weights::TransferProgress();
  if (progress.chunks_total > 0 &&
      progress.chunks_present >= progress.chunks_total * kInterimShare) {
    interim = std::exchange(newest, std::nullopt);
    interim_done = false;
  } else if (RunsNewest()) {
    interim.reset();
  }
}

Stager::Stager(StagerSettings settings, kernel::Random random, kernel::Time now)
    : m_state(std::make_unique<State>(std::move(settings), random, now)) {}

Stager::~Stager() = default;

void Stager::OnDeclared(kernel::Time now,
                        const VersionName& version,
                        bool just_now) {
  State& state = *m_state;
  if (state.newest && (version.model != state.newest->name.model ||
                       version.number <= state.newest->name.number)) {
    return;
  }
  state.Supersede();
  state.newest.emplace();
  DeclaredVersion& newest = *state.newest;
  newest.name = version;
  newest.declared_at = now;
  newest.just_declared = just_now;
  if (!state.aims_at_interim) {
    state.AimAt(newest, /*is_interim=*/false);
  }
  state.told_running = false;
  state.Tell(Progress::Kind::kDeclared, newest);
  const std::size_t rank = state.RankOfSelf(version);
  newest.next_list =
      rank == 0 ? now
                : now + std::min<milliseconds>(
                            kListPatience + kListPatienceARank *
                                                static_cast<std::int64_t>(rank),
                            kLongestListPatience);
  OnTick(now);
}

void Stager::OnPeers(kernel::Time now,
                     std::vector<weights::TransferPeer> peers) {
  m_state->peers = peers;
  m_state->transfer.OnPeers(now, std::move(peers));
  OnTick(now);
}

void Stager::OnMessage(kernel::Time now, const wire::Envelope& message) {
  State& state = *m_state;
  if (message.has_manifest_data()) {
    kernel::Findings findings;
    const auto list = weights::ParseManifest(
        message.from().instance(), message.manifest_data().content(), findings);
    if (list && state.newest && !state.newest->manifest &&
        VersionOf(list->file) == state.newest->name) {
      state.AdoptList(*list);
    }
  } else {
    state.transfer.OnMessage(now, message);
  }
  state.TakeTransferOutputs(now);
  state.Advance(now);
  state.TakeTransferOutputs(now);
}

void Stager::OnPieceList(kernel::Time now,
                         const VersionName& version,
                         std::optional<PieceList> list) {
  State& state = *m_state;
  if (!state.newest || version != state.newest->name) {
    return;
  }
  DeclaredVersion& newest = *state.newest;
  newest.list_asked = false;
  if (!list || list->digests.empty() || list->piece_bytes == 0) {
    newest.next_list = now + kListRetry;
  } else if (!newest.manifest) {
    state.AdoptList(ManifestOf(version, *list));
  }
  OnTick(now);
}

void Stager::OnPiece(kernel::Time now,
                     const VersionName& version,
                     std::uint32_t index,
                     std::string bytes) {
  State& state = *m_state;
  const DeclaredVersion* found = state.Find(version);
  if (found != nullptr && found->manifest) {
    state.transfer.OnChunkFetched(now, found->manifest_digest, index,
                                  weights::Source::kOrigin, std::move(bytes));
  }
  OnTick(now);
}

void Stager::OnStaged(kernel::Time now,
                      const VersionName& version,
                      std::uint32_t index,
                      bool stored) {
  State& state = *m_state;
  if (state.newest && version == state.Aim().name &&
      index < state.area.Size() &&
      state.area.At(index) == StageArea::Piece::kWriting) {
    state.area.Set(index, stored ? StageArea::Piece::kWritten
                                 : StageArea::Piece::kMissing);
  }
  OnTick(now);
}

void Stager::OnStagedRead(kernel::Time now,
                          const VersionName& version,
                          std::uint32_t index,
                          std::string bytes) {
  State& state = *m_state;
  if (!state.newest || version != state.Aim().name ||
      index >= state.area.Size() ||
      state.area.At(index) != StageArea::Piece::kReading) {
    return;
  }
  DeclaredVersion& aim = state.Aim();
  const bool right = weights::Sha256(bytes) == aim.DigestOf(index);
  if (!aim.wanted) {
    // What is wrong here comes from the others later; `kWritten` says that it
    // was read.
    state.area.Set(
        index, right ? StageArea::Piece::kChecked : StageArea::Piece::kWritten);
    if (right) {
      aim.own_pieces.emplace(index, std::move(bytes));
    }
  } else {
    if (!right) {
      state.Tell(Progress::Kind::kRepaired, aim,
                 "piece " + std::to_string(index));
    }
    state.area.Set(
        index, right ? StageArea::Piece::kChecked : StageArea::Piece::kMissing);
  }
  OnTick(now);
}

void Stager::OnReport(kernel::Time now, const EndpointReport& report) {
  State& state = *m_state;
  state.report_asked = false;
  const bool restarted = state.report && state.report->reachable &&
                         report.reachable &&
                         report.started != state.report->started;
  if (!report.reachable && state.report) {
    state.report->reachable = false;
  } else {
    state.report = report;
  }
  if (restarted) {
    if (state.newest) {
      state.Tell(Progress::Kind::kEndpointRestarted, *state.newest);
    }
    state.told_running = false;
    state.phase = State::Phase::kStaging;
    state.area.Reset(state.area.Size());
  }
  const bool loading = state.phase == State::Phase::kOrdered ||
                       state.phase == State::Phase::kLoading;
  state.next_report = now + (loading               ? kReportWhileLoading
                             : !report.reachable   ? kReportWhileUnreachable
                             : !state.RunsNewest() ? kReportWhileStaging
                                                   : kReportAtRest);
  OnTick(now);
}

void Stager::OnOrderResult(kernel::Time now, OrderResult result) {
  State& state = *m_state;
  if (state.phase != State::Phase::kOrdered) {
    return;
  }
  state.next_report = now;
  switch (result) {
    case OrderResult::kBegun:
    case OrderResult::kInEffect:
    case OrderResult::kUnanswered:
      // The endpoint's report tells what it really does.
      state.phase = State::Phase::kLoading;
      state.phase_began = now;
      break;
    case OrderResult::kUnfit:
    case OrderResult::kFailed:
      state.Tell(Progress::Kind::kOrderRefused, state.Aim());
      state.phase = State::Phase::kStaging;
      state.retry_order_at = now + kRefusedOrderRetry;
      break;
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
  if (!state.report_asked) {
    next = std::min(next, state.next_report);
  }
  if (state.newest && !state.RunsNewest()) {
    next = std::min(next, state.last_tick + kStep);
  }
  return next;
}

std::vector<StagerOutput> Stager::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

std::string Stager::Explain(kernel::Time now) const {
  const State& state = *m_state;
  if (!state.newest) {
    return "no version is declared";
  }
  std::string text = FileOf(state.newest->name) + ": ";
  if (!state.report || !state.report->reachable) {
    return text + "the endpoint does not answer";
  }
  if (state.RunsNewest()) {
    return text + "runs";
  }
  if (!state.newest->manifest) {
    return text + "waits for the list of its pieces";
  }
  const auto progress = state.transfer.Progress(state.newest->manifest_digest);
  text += std::to_string(progress.chunks_present) + " of " +
          std::to_string(progress.chunks_total) + " pieces here";
  if (state.aims_at_interim) {
    text += "; " + FileOf(state.interim->name) + " meanwhile";
  }
  switch (state.phase) {
    case State::Phase::kStaging:
      return text + ", being staged";
    case State::Phase::kWaitingForTurn:
      return text + ", staged, waits for its turn";
    case State::Phase::kChecking:
      return text + ", being checked";
    case State::Phase::kOrdered:
      return text + ", ordered";
    case State::Phase::kLoading:
      return text + ", loading";
  }
  return text;
}

}  // namespace radishrudder::staging
