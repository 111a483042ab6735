// Results of the stager's requests to the endpoint.
#include <utility>

#include "radishrudder/staging/stager.h"
#include "source/radishrudder/staging/stager_state.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// Intervals between two requests for the endpoint's report.
constexpr milliseconds kReportIntervalWhileLoading{100};
constexpr milliseconds kReportIntervalWhileUnreachable{100};
constexpr milliseconds kReportIntervalWhileStaging{400};
constexpr milliseconds kReportIntervalWhileIdle{1000};
// Delay before another order after the endpoint refused one.
constexpr milliseconds kRefusedOrderBackoff{300};
// Delay before another connection for an order after one failed or ended.
constexpr milliseconds kOrderConnectionBackoff{100};

}  // namespace

void Stager::OnPieceStaged(kernel::Time now,
                           AccessId access,
                           StageResult result) {
  State& state = *m_state;
  if (auto ended = state.staging_area.End(access)) {
    if (ended->is_current) {
      state.staging_area.Set(ended->index,
                             result == StageResult::kStored
                                 ? StageArea::PieceState::kWritten
                                 : StageArea::PieceState::kMissing);
    }
    if (result == StageResult::kNoResponse) {
      state.pending_writes.OnGivenUp(now, ended->sent,
                                     std::move(ended->manifest_digest));
    }
  }
  OnTick(now);
}

void Stager::OnStagedPieceRead(kernel::Time now,
                               AccessId access,
                               std::string bytes) {
  State& state = *m_state;
  const auto ended = state.staging_area.End(access);
  if (!ended || !ended->is_current) {
    OnTick(now);
    return;
  }
  DeclaredVersion* version = state.FindByManifestDigest(ended->manifest_digest);
  const bool matches =
      version != nullptr &&
      weights::Sha256(bytes) == version->DigestOf(ended->index);
  const bool in_transfer = version != nullptr && version->transfer_started;
  // Before the transfer, `kWritten` marks a piece that was read and failed its
  // digest. Other instances supply it once the transfer has started.
  state.staging_area.Set(ended->index,
                         matches       ? StageArea::PieceState::kVerified
                         : in_transfer ? StageArea::PieceState::kMissing
                                       : StageArea::PieceState::kWritten);
  if (matches && !in_transfer) {
    version->local_pieces.emplace(ended->index, std::move(bytes));
  } else if (!matches && in_transfer) {
    state.ReportProgress(ProgressReport::Kind::kStagedPieceCorrupted, *version,
                         "piece " + std::to_string(ended->index));
  }
  OnTick(now);
}

void Stager::OnOrderConnection(kernel::Time now,
                               OrderConnectionId connection,
                               bool open) {
  State& state = *m_state;
  if (!state.order_connection || state.order_connection->id != connection) {
    return;
  }
  if (open) {
    state.order_connection->opened = now;
    state.next_report_request = now;
  } else {
    state.CloseOrderConnection();
    ++state.order_connection_failures;
    state.next_order_connection = now + kOrderConnectionBackoff;
  }
  OnTick(now);
}

void Stager::State::OnEndpointRestarted(kernel::Time now,
                                        const EndpointReport& next) {
  if (newest) {
    ReportStaging(now, ProgressReport::Kind::kEndpointRestarted, *newest,
                  "started at " + std::to_string(next.started_at_ms));
  }
  running_reported = false;
  phase = Phase::kStaging;
  staging_area.DiscardAll();
  pending_writes.OnProcessEnded(report_sent);
  pending_orders.OnProcessEnded(report_sent);
  // The connection of an order leads to the process whose report came before.
  order.reset();
  CloseOrderConnection();
}

void Stager::State::UpdatePending(kernel::Time now) {
  if (!report->reachable) {
    pending_writes.OnUnreachable();
    pending_orders.OnUnreachable();
    return;
  }
  pending_writes.OnAnswered(now, report_sent);
  pending_orders.OnAnswered(now, report_sent);
  if (order && report->accepted_orders > order->expected_orders) {
    order->accepted = true;
  }
}

void Stager::OnReport(kernel::Time now, const EndpointReport& report) {
  State& state = *m_state;
  state.report_requested = false;
  // The report before may not have been answered, so the start time is that of
  // the latest one that was.
  const bool restarted = state.report && report.reachable &&
                         report.started_at_ms != 0 &&
                         state.report->started_at_ms != 0 &&
                         report.started_at_ms != state.report->started_at_ms;
  if (restarted) {
    state.OnEndpointRestarted(now, report);
  }
  if (report.reachable) {
    const std::uint64_t known_start =
        state.report ? state.report->started_at_ms : 0;
    state.report = report;
    if (report.started_at_ms == 0) {
      state.report->started_at_ms = known_start;
    }
    state.report_sent = state.report_request_sent;
  } else if (state.report) {
    state.report->reachable = false;
  }
  if (state.report) {
    state.UpdatePending(now);
  }
  const bool loading = state.phase == State::Phase::kOrdered ||
                       state.phase == State::Phase::kLoading;
  state.next_report_request =
      now + (loading                    ? kReportIntervalWhileLoading
             : !report.reachable        ? kReportIntervalWhileUnreachable
             : !state.IsRunningNewest() ? kReportIntervalWhileStaging
                                        : kReportIntervalWhileIdle);
  if (state.order_connection && state.order_connection->opened &&
      state.report_request_sent < *state.order_connection->opened) {
    state.next_report_request = now;
  }
  OnTick(now);
}

void Stager::OnOrderResult(kernel::Time now,
                           OrderConnectionId connection,
                           OrderResult result) {
  State& state = *m_state;
  if (state.phase != State::Phase::kOrdered || !state.order ||
      state.order->connection != connection) {
    return;
  }
  const DeclaredVersion* version =
      state.FindByManifestDigest(state.order->manifest_digest);
  const DeclaredVersion& reported = version ? *version : *state.newest;
  state.next_report_request = now;
  switch (result) {
    case OrderResult::kStarted:
    case OrderResult::kAlreadyLoaded:
      state.order->accepted = !state.order->may_be_reused;
      [[fallthrough]];
    case OrderResult::kNoResponse:
      state.ReportStaging(
          now, ProgressReport::Kind::kOrderAnswered, reported,
          result == OrderResult::kNoResponse ? "no response" : "accepted");
      // The endpoint's next reports show whether the order takes effect.
      state.phase = State::Phase::kLoading;
      state.phase_started = now;
      break;
    case OrderResult::kPreconditionFailed:
    case OrderResult::kFailed:
    case OrderResult::kNotSent:
      state.ReportStaging(
          now, ProgressReport::Kind::kOrderRefused, reported,
          result == OrderResult::kNotSent ? "connection ended" : "");
      state.order.reset();
      state.phase = State::Phase::kStaging;
      state.next_order_attempt = now + kRefusedOrderBackoff;
      break;
  }
  OnTick(now);
}

}  // namespace radishrudder::staging
