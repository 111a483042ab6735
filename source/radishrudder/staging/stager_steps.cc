#include <algorithm>
#include <utility>

#include "source/radishrudder/staging/stager_state.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// Maximum number of concurrent writes and reads in the staging area.
constexpr std::size_t kMaximumParallelAccesses = 4;
// Delay before another order after a load had no effect, and the time that an
// idle endpoint has to report the effect of a load.
constexpr milliseconds kOrderBackoff{300};
constexpr milliseconds kLoadEffectTimeout{1000};
constexpr milliseconds kOrderResponseTimeout{1500};
// New connections for an order that fail until one in use is taken.
constexpr std::uint32_t kNewConnectionFailures = 3;
// An interim version is loaded only after this share of its turn period: by
// then the newest version is present unless it is delayed.
constexpr double kInterimTurnStartShare = 0.5;

}  // namespace

bool Stager::State::IsRunning(const DeclaredVersion& version) const {
  return report && report->reachable && report->model == version.name.model &&
         report->version == version.name.number;
}

// Endpoints load one after another so that the others keep serving. An endpoint
// without a model loads at once.
kernel::Time Stager::State::TurnStart(const DeclaredVersion& version,
                                      milliseconds begin,
                                      milliseconds end) const {
  if (!report || report->version == 0) {
    return version.declared_at;
  }
  // The declaration time of an older version is unknown, so its turns start at
  // once.
  if (!version.newly_declared) {
    end -= begin;
    begin = milliseconds(0);
  }
  const kernel::Time last = version.declared_at + end;
  // Most instances have the version at about the same time. If that is after
  // the first turns, these do not all start at once.
  const kernel::Time first =
      std::min(last, std::max(version.declared_at + begin,
                              version.staged_at.value_or(kernel::Time{})));
  const std::size_t count =
      std::max<std::size_t>({peer_count, list_search.InstanceCount(), 1});
  const double share =
      static_cast<double>(list_search.Rank()) / static_cast<double>(count);
  return first +
         std::chrono::duration_cast<kernel::Duration>((last - first) * share);
}

void Stager::State::RequestReportIfDue(kernel::Time now) {
  if (report_requested || now < next_report_request) {
    return;
  }
  report_requested = true;
  report_request_sent = now;
  outputs.emplace_back(RequestReport{});
}

void Stager::State::RequestListIfDue(kernel::Time now) {
  for (const ListSearch::Step& step : list_search.Advance(now)) {
    if (const auto* ask = std::get_if<ListSearch::AskInstance>(&step)) {
      wire::Send send;
      send.to = ask->instance;
      *send.message.mutable_from() = wire::ToMessage(settings.transfer.self);
      send.message.mutable_manifest_request()->set_file(
          ManifestFileName(newest->name));
      outputs.emplace_back(std::move(send));
    } else {
      outputs.emplace_back(FetchPieceList{newest->name});
    }
  }
}

// Reads the pieces in the local staging area. An endpoint that runs the version
// still has them staged, so they need no download and can be sent to other
// instances.
void Stager::State::ReadLocalPieces(kernel::Time now) {
  while (staging_area.AccessesInProgress() < kMaximumParallelAccesses) {
    const auto next = staging_area.FindFirst(StageArea::PieceState::kMissing);
    if (!next) {
      return;
    }
    const AccessId access = staging_area.StartRead(now, *next);
    outputs.emplace_back(ReadStagedPiece{newest->name, *next, access});
  }
}

bool Stager::State::StartTransfer(kernel::Time now) {
  DeclaredVersion& version = *newest;
  // Only pieces that the local staging area lacks are requested from other
  // instances.
  const bool read_local_first =
      (IsRunningNewest() || !version.newly_declared) &&
      !version.transfer_started && !targets_interim;
  if (read_local_first) {
    if (!HoldsTarget()) {
      return false;
    }
    ReadLocalPieces(now);
    if (staging_area.FindFirst(StageArea::PieceState::kMissing) ||
        staging_area.AccessesInProgress() > 0) {
      return false;
    }
  }
  if (!version.transfer_started) {
    version.transfer_started = true;
    if (HoldsTarget()) {
      staging_area.DiscardUnverified();
    }
    std::vector<std::string> digests{version.manifest_digest};
    if (interim) {
      // The interim version goes first because few of its pieces are missing.
      digests.insert(digests.begin(), interim->manifest_digest);
    }
    transfer.SetWantedVersions(now, std::move(digests));
    transfer.OnManifestFetched(now, version.manifest_digest,
                               weights::Source::kOrigin, version.manifest_text);
    for (auto& [index, bytes] : std::exchange(version.local_pieces, {})) {
      transfer.OnChunkFetched(now, version.manifest_digest, index,
                              weights::Source::kStore, std::move(bytes));
    }
  }
  return true;
}

bool Stager::State::IsInterimDue(kernel::Time now) const {
  if (!interim || interim_finished || !interim->complete || newest->complete ||
      report->busy || report->version >= interim->name.number) {
    return false;
  }
  const auto begin = std::chrono::duration_cast<milliseconds>(
      settings.first_turn_delay +
      (settings.last_turn_delay - settings.first_turn_delay) *
          kInterimTurnStartShare);
  return now >= TurnStart(*interim, begin, settings.last_turn_delay);
}

void Stager::State::AssignStagingArea(kernel::Time now) {
  const DeclaredVersion& target = Target();
  staging_area.Assign(target.name, target.manifest_digest,
                      target.manifest->chunks.size());
  phase = Phase::kStaging;
  order.reset();
  CloseOrderConnection();
  ReportStaging(now, ProgressReport::Kind::kTargetChanged, target);
}

// The staging area holds one version. It is assigned to another one only when
// the endpoint has taken the pieces of the latest order, or cannot take them
// any more: it would otherwise take pieces of both.
void Stager::State::SelectTarget(kernel::Time now) {
  if (order && !order->accepted) {
    return;
  }
  if (!targets_interim && IsInterimDue(now)) {
    targets_interim = true;
  } else if (targets_interim && (newest->complete || IsRunning(*interim))) {
    interim_finished = true;
    targets_interim = false;
  }
  if (Target().manifest && !HoldsTarget()) {
    AssignStagingArea(now);
  }
}

void Stager::State::ExpireOrder(kernel::Time now) {
  const bool no_response =
      phase == Phase::kOrdered && now - phase_started >= kOrderResponseTimeout;
  const bool interim_loaded =
      phase == Phase::kLoading && targets_interim && IsRunning(*interim);
  const bool no_effect = phase == Phase::kLoading && !report->busy &&
                         now - phase_started >= kLoadEffectTimeout;
  if (!no_response && !interim_loaded && !no_effect) {
    return;
  }
  // Without an effect, all pieces are verified and ordered again.
  if (no_effect) {
    next_order_attempt = now + kOrderBackoff;
  }
  phase = Phase::kStaging;
  GiveUpOrder(now);
}

void Stager::State::GiveUpOrder(kernel::Time now) {
  if (order && !order->accepted) {
    pending_orders.OnGivenUp(now, order->sent, order->manifest_digest);
  }
  order.reset();
}

void Stager::State::StagePieces(kernel::Time now) {
  for (std::uint32_t i = 0;
       i < staging_area.Size() &&
       staging_area.AccessesInProgress() < kMaximumParallelAccesses;
       ++i) {
    if (staging_area.At(i) != StageArea::PieceState::kMissing) {
      continue;
    }
    const std::string_view bytes =
        transfer.ChunkBytes(Target().manifest_digest, i);
    if (!bytes.empty()) {
      const AccessId access = staging_area.StartWrite(now, i);
      outputs.emplace_back(
          StagePiece{Target().name, i, std::string(bytes), access});
    }
  }
}

bool Stager::State::VerifyPieces(kernel::Time now) {
  // A write for another version could change a piece after it was verified.
  if (staging_area.HasForeignWrites() ||
      pending_writes.MayAffectOther(now, staging_area.ManifestDigest())) {
    return false;
  }
  if (!order_connection && now >= next_order_connection) {
    const bool may_be_reused =
        order_connection_failures >= kNewConnectionFailures;
    order_connection =
        OrderConnection{++last_order_connection, std::nullopt, may_be_reused};
    outputs.emplace_back(
        OpenOrderConnection{last_order_connection, may_be_reused});
  }
  if (!order_connection || !order_connection->opened) {
    return false;
  }
  const kernel::Time since =
      std::max(*order_connection->opened, now - settings.verification_lifetime);
  staging_area.ExpireVerification(since);
  while (staging_area.AccessesInProgress() < kMaximumParallelAccesses) {
    const auto next = staging_area.FindFirst(StageArea::PieceState::kWritten);
    if (!next) {
      break;
    }
    const AccessId access = staging_area.StartRead(now, *next);
    outputs.emplace_back(ReadStagedPiece{Target().name, *next, access});
  }
  return staging_area.AllVerifiedSince(since);
}

void Stager::State::SendOrder(kernel::Time now) {
  const DeclaredVersion& target = Target();
  ReportStaging(now, ProgressReport::Kind::kOrdered, target,
                "replaces " + std::to_string(report->version));
  phase = Phase::kOrdered;
  phase_started = now;
  order = SentOrder{.manifest_digest = target.manifest_digest,
                    .connection = order_connection->id,
                    .expected_orders = report->accepted_orders,
                    .sent = now,
                    .may_be_reused = order_connection->may_be_reused};
  order_connection_failures = 0;
  outputs.emplace_back(
      OrderLoad{target.name, report->accepted_orders, order_connection->id});
  CloseOrderConnection();
}

void Stager::State::StageAndOrder(kernel::Time now) {
  DeclaredVersion& target = Target();
  // The endpoint would take what is written now for an order that was given up.
  if (!HoldsTarget() ||
      pending_orders.MayAffectOther(now, target.manifest_digest)) {
    return;
  }
  if (targets_interim || !IsInterimDue(now)) {
    StagePieces(now);
  }
  if (!staging_area.AllWritten()) {
    phase = Phase::kStaging;
    return;
  }
  if (phase == Phase::kStaging) {
    phase = Phase::kWaitingForTurn;
    if (!target.staged_at) {
      target.staged_at = now;
    }
    ReportProgress(ProgressReport::Kind::kStaged, target);
  }
  if (phase == Phase::kWaitingForTurn) {
    // An interim version is targeted only once its turn has come.
    const bool awaits_turn =
        !targets_interim && now < TurnStart(target, settings.first_turn_delay,
                                            settings.last_turn_delay);
    if (awaits_turn || now < next_order_attempt || report->busy) {
      return;
    }
    phase = Phase::kVerifying;
  }
  const bool verified = VerifyPieces(now);
  // The number of orders has to be that of the process that was verified.
  if (verified && report_sent >= *order_connection->opened && !report->busy) {
    SendOrder(now);
  }
}

bool Stager::State::AdvanceDeployment(kernel::Time now) {
  const bool runs = IsRunningNewest();
  if (runs && !running_reported) {
    running_reported = true;
    phase = Phase::kStaging;
    GiveUpOrder(now);
    ReportProgress(ProgressReport::Kind::kRunning, *newest);
  }
  if (!StartTransfer(now) || runs) {
    return false;
  }
  running_reported = false;
  return true;
}

void Stager::State::Advance(kernel::Time now) {
  RequestReportIfDue(now);
  if (!newest) {
    return;
  }
  RequestListIfDue(now);
  if (!report || !report->reachable) {
    return;
  }
  ExpireOrder(now);
  SelectTarget(now);
  if (newest->manifest && !AdvanceDeployment(now)) {
    return;
  }
  if (phase == Phase::kOrdered || phase == Phase::kLoading ||
      !Target().manifest) {
    return;
  }
  StageAndOrder(now);
}

}  // namespace radishrudder::staging
