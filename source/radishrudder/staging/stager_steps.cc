#include <algorithm>
#include <utility>

#include "radishrudder/kernel/hash.h"
#include "source/radishrudder/staging/stager_state.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// Writes and reads of the staging area at once.
constexpr std::size_t kParallelStaging = 4;
// After an order that did not begin, and after one that began without effect.
constexpr milliseconds kOrderRetry{300};
constexpr milliseconds kLoadWithoutEffect{1000};
constexpr milliseconds kOrderAnswerTimeout{1500};
// A version that was superseded is loaded in this last part of its turns: by
// then the newest would be here if it came in time.
constexpr double kInterimBeginShare = 0.5;

}  // namespace

bool Stager::State::Runs(const DeclaredVersion& version) const {
  return report && report->reachable && report->model == version.name.model &&
         report->version == version.name.number;
}

std::vector<std::string> Stager::State::OrderOfInstances(
    const VersionName& version) const {
  std::vector<std::string> names{settings.transfer.self.instance};
  for (const weights::TransferPeer& peer : peers) {
    if (peer.alive && peer.instance != names.front()) {
      names.push_back(peer.instance);
    }
  }
  std::vector<std::string> ordered;
  for (const std::size_t index :
       kernel::RendezvousOrder(FileOf(version), names)) {
    ordered.push_back(names[index]);
  }
  return ordered;
}

std::size_t Stager::State::RankOfSelf(const VersionName& version) const {
  const std::vector<std::string> order = OrderOfInstances(version);
  return static_cast<std::size_t>(
      std::ranges::find(order, settings.transfer.self.instance) -
      order.begin());
}

// Endpoints change one after the other, so that the others can serve; one that
// serves nothing need not wait.
kernel::Time Stager::State::TurnOf(const DeclaredVersion& version,
                                   milliseconds begin,
                                   milliseconds end) const {
  if (!report || report->version == 0) {
    return version.declared_at;
  }
  // A version that is not new has used up an unknown part of its time.
  const kernel::Time first =
      version.just_declared ? version.declared_at + begin : version.declared_at;
  const std::size_t count = std::max<std::size_t>(peers.size(), 1);
  const double share = static_cast<double>(RankOfSelf(version.name)) /
                       static_cast<double>(count);
  return first +
         std::chrono::duration_cast<kernel::Duration>((end - begin) * share);
}

void Stager::State::AskReportIfDue(kernel::Time now) {
  if (report_asked || now < next_report) {
    return;
  }
  report_asked = true;
  outputs.emplace_back(AskReport{});
}

void Stager::State::SeekList(kernel::Time now) {
  DeclaredVersion& version = *newest;
  // The others got the list long ago and will not send it again: one that
  // comes without weights reads it at once.
  const bool late = !version.just_declared && report->version == 0;
  if (version.manifest || version.list_asked ||
      (now < version.next_list && !late)) {
    return;
  }
  version.list_asked = true;
  outputs.emplace_back(FetchPieceList{version.name});
}

// An endpoint that runs the version has its pieces staged: read from there,
// they cost nothing and serve the others.
void Stager::State::ReadOwnStage() {
  while (area.InProgress() < kParallelStaging) {
    const auto next = area.Next(StageArea::Piece::kMissing);
    if (!next) {
      return;
    }
    area.Set(*next, StageArea::Piece::kReading);
    outputs.emplace_back(ReadStaged{newest->name, *next});
  }
}

bool Stager::State::WantNewest(kernel::Time now) {
  DeclaredVersion& version = *newest;
  // Pieces that lie in the own staging area come first: only what is missing
  // there is asked of others.
  const bool own_first =
      (RunsNewest() || !version.just_declared) && !version.wanted;
  if (own_first) {
    ReadOwnStage();
    if (area.Next(StageArea::Piece::kMissing) || area.InProgress() > 0) {
      return false;
    }
  }
  if (!version.wanted) {
    version.wanted = true;
    area.ForgetUnchecked();
    std::vector<std::string> digests{version.manifest_digest};
    if (interim) {
      // First, for little of it is missing.
      digests.insert(digests.begin(), interim->manifest_digest);
    }
    transfer.Want(now, std::move(digests));
    transfer.OnManifestFetched(now, version.manifest_digest,
                               weights::Source::kOrigin, version.manifest_text);
    for (auto& [index, bytes] : std::exchange(version.own_pieces, {})) {
      transfer.OnChunkFetched(now, version.manifest_digest, index,
                              weights::Source::kStore, std::move(bytes));
    }
  }
  return true;
}

bool Stager::State::InterimIsDue(kernel::Time now) const {
  if (!interim || interim_done || !interim->complete || newest->complete ||
      report->busy || report->version >= interim->name.number) {
    return false;
  }
  const auto begin = std::chrono::duration_cast<milliseconds>(
      settings.turn_begin +
      (settings.turn_end - settings.turn_begin) * kInterimBeginShare);
  return now >= TurnOf(*interim, begin, settings.turn_end);
}

void Stager::State::AimAt(DeclaredVersion& version, bool is_interim) {
  aims_at_interim = is_interim;
  area.Reset(version.manifest ? version.manifest->chunks.size() : 0);
  phase = Phase::kStaging;
}

// The area holds one version: it is changed only between writes, for one that
// is under way could land after those of the other version.
void Stager::State::ChooseAim(kernel::Time now) {
  if (area.InProgress() > 0 || phase == Phase::kOrdered ||
      phase == Phase::kLoading) {
    return;
  }
  if (!aims_at_interim && InterimIsDue(now)) {
    AimAt(*interim, /*is_interim=*/true);
  } else if (aims_at_interim && (newest->complete || Runs(*interim))) {
    interim_done = true;
    AimAt(*newest, /*is_interim=*/false);
  }
}

void Stager::State::ExpireOrder(kernel::Time now) {
  if (phase == Phase::kOrdered && now - phase_began >= kOrderAnswerTimeout) {
    phase = Phase::kStaging;
  }
  const bool took_effect = aims_at_interim && Runs(*interim);
  if (phase == Phase::kLoading && took_effect) {
    phase = Phase::kStaging;
  }
  if (phase == Phase::kLoading && !report->busy &&
      now - phase_began >= kLoadWithoutEffect) {
    // What was ordered did not take effect: check all and order anew.
    phase = Phase::kStaging;
    retry_order_at = now + kOrderRetry;
  }
}

void Stager::State::Stage() {
  for (std::uint32_t i = 0;
       i < area.Size() && area.InProgress() < kParallelStaging; ++i) {
    if (area.At(i) != StageArea::Piece::kMissing) {
      continue;
    }
    const std::string_view bytes =
        transfer.ChunkBytes(Aim().manifest_digest, i);
    if (!bytes.empty()) {
      area.Set(i, StageArea::Piece::kWriting);
      outputs.emplace_back(StagePiece{Aim().name, i, std::string(bytes)});
    }
  }
}

void Stager::State::Check() {
  while (area.InProgress() < kParallelStaging) {
    const auto next = area.Next(StageArea::Piece::kWritten);
    if (!next) {
      return;
    }
    area.Set(*next, StageArea::Piece::kReading);
    outputs.emplace_back(ReadStaged{Aim().name, *next});
  }
}

void Stager::State::StageAndOrder(kernel::Time now) {
  DeclaredVersion& aim = Aim();
  if (aims_at_interim || !InterimIsDue(now)) {
    Stage();
  }
  if (!area.AllWritten()) {
    phase = Phase::kStaging;
    return;
  }
  if (phase == Phase::kStaging) {
    phase = Phase::kWaitingForTurn;
    Tell(Progress::Kind::kStaged, aim);
  }
  if (phase == Phase::kWaitingForTurn) {
    // The turn for an interim version came before it was staged.
    const bool waits =
        !aims_at_interim &&
        now < TurnOf(aim, settings.turn_begin, settings.turn_end);
    if (waits || now < retry_order_at || report->busy) {
      return;
    }
    phase = Phase::kChecking;
    area.BeginCheck(now);
  }
  if (now - *area.CheckBegan() > settings.check_lifetime) {
    area.BeginCheck(now);
  }
  Check();
  if (area.AllChecked()) {
    phase = Phase::kOrdered;
    phase_began = now;
    Tell(Progress::Kind::kOrdered, aim,
         "replaces " + std::to_string(report->version));
    outputs.emplace_back(OrderLoad{aim.name, report->orders});
  }
}

bool Stager::State::AdvanceNewest(kernel::Time now) {
  const bool runs = RunsNewest();
  if (runs && !told_running) {
    told_running = true;
    phase = Phase::kStaging;
    Tell(Progress::Kind::kRunning, *newest);
  }
  if (!WantNewest(now) || runs) {
    return false;
  }
  told_running = false;
  return true;
}

void Stager::State::Advance(kernel::Time now) {
  AskReportIfDue(now);
  if (!newest || !report || !report->reachable) {
    return;
  }
  SeekList(now);
  if (newest->manifest && !AdvanceNewest(now)) {
    return;
  }
  ExpireOrder(now);
  ChooseAim(now);
  if (phase == Phase::kOrdered || phase == Phase::kLoading || !Aim().manifest) {
    return;
  }
  StageAndOrder(now);
}

}  // namespace radishrudder::staging
