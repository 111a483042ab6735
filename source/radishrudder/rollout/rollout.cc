#include "radishrudder/rollout/rollout.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "endpoint_view.h"
#include "orders.h"
#include "turn.h"

namespace radishrudder::rollout {
namespace {

// A longer time between inputs is taken for a pause of this process.
constexpr kernel::Duration kMaximumInputInterval = std::chrono::seconds(3);
// No version change is started for this time after a pause, so that updates
// about the peers arrive first.
constexpr kernel::Duration kSettleTime = std::chrono::seconds(2);

enum class Phase {
  kUnknown,     // The endpoint has not been read back; the gate is closed.
  kServing,     // The gate is open.
  kDraining,    // The gate is closed; calls are still in progress.
  kVerifying,   // No calls are left; a read-back precedes the order.
  kOrdering,    // An order is in progress.
  kConfirming,  // The order has ended; a read-back must confirm the version.
  // The gate is closed until an order can be issued or the running version may
  // serve calls.
  kNotServing,
};

// The version that the document in force specifies.
struct Target {
  std::uint64_t revision = 0;
  std::string digest;
  document::RolloutSection settings;
};

}  // namespace

struct Rollout::State {
  State(RolloutSettings rollout_settings, kernel::Random random)
      : settings(std::move(rollout_settings)),
        orders(settings.self.incarnation,
               settings.order_timeout,
               kernel::Random(random.Next())),
        endpoint(settings.read_back_interval) {}

  void DetectPause(kernel::Time now);
  void Evaluate(kernel::Time now);
  void EvaluateServing(kernel::Time now);
  void HandleStatus(kernel::Time now);
  void ConfirmOrder(kernel::Time now);
  void ServeOrWait(kernel::Time now);
  void StartServing();
  void StopServing(Phase next);
  void IssueOrder(kernel::Time now);
  void RequestReadBack(kernel::Time now);
  void RequestLaterStatus(kernel::Time now);
  void PublishReadiness();
  bool CanIssueOrder(kernel::Time now) const;
  bool HasTarget() const { return target.revision != 0; }
  bool RunsTarget() const {
    return HasTarget() && endpoint.RunningDigest() == target.digest;
  }
  // Returns whether the target has to be ordered. If an unanswered order may
  // replace the running target, an order for it replaces that order.
  bool MustLoadTarget() const {
    return HasTarget() && (!RunsTarget() || orders.IsUncertain(target.digest));
  }
  bool IsTargetComplete() const {
    return complete_versions.contains(target.digest);
  }
  // Returns whether the version that the endpoint runs may serve calls.
  bool IsServable() const {
    return endpoint.IsReachable() && !endpoint.RunningDigest().empty() &&
           !orders.IsUncertain(endpoint.RunningDigest()) &&
           (RunsTarget() || served_digest.empty() ||
            endpoint.RunningDigest() == served_digest ||
            endpoint.RunningDigest() == orders.OrderedDigest());
  }
  Turn CurrentTurn() const {
    return DecideTurn(settings.self.instance, target.revision, target.settings,
                      peers);
  }
  std::string ExplainServing() const;

  RolloutSettings settings;
  Orders orders;
  EndpointView endpoint;
  std::vector<RolloutOutput> outputs;
  std::vector<RolloutPeer> peers;
  std::set<std::string, std::less<>> complete_versions;
  Target target;
  Readiness published;
  Phase phase = Phase::kUnknown;
  std::string served_digest;  // Digest of the version that last served calls.
  kernel::Time last_input{};
  kernel::Time settled_at{};
  bool peers_known = false;
  bool draining = false;
  bool gate_empty = true;
  // This instance went out of service in its turn and has not served since.
  bool turn_taken = false;
};

// Detects a pause of this process, after which its knowledge may be stale, and
// delays version changes until updates have arrived.
void Rollout::State::DetectPause(kernel::Time now) {
  const bool first = last_input == kernel::Time{};
  if (!first && now - last_input > kMaximumInputInterval) {
    settled_at = now + kSettleTime;
  }
  last_input = std::max(last_input, now);
}

bool Rollout::State::CanIssueOrder(kernel::Time now) const {
  return HasTarget() && !draining && now >= settled_at && orders.CanIssue(now);
}

void Rollout::State::Evaluate(kernel::Time now) {
  if (settings.plain) {
    phase = Phase::kServing;
    PublishReadiness();
    return;
  }
  if (phase == Phase::kServing) {
    EvaluateServing(now);
  } else if (phase == Phase::kDraining && RunsTarget()) {
    StartServing();
  } else if (phase == Phase::kOrdering && orders.ExpireOverdue(now)) {
    phase = Phase::kConfirming;
    RequestLaterStatus(now);
  }
}

void Rollout::State::EvaluateServing(kernel::Time now) {
  PublishReadiness();
  if (!CanIssueOrder(now) || RunsTarget() || !IsTargetComplete() ||
      !peers_known) {
    return;
  }
  if (CurrentTurn().may_go_out) {
    turn_taken = true;
    StopServing(Phase::kDraining);
  }
}

// Handles a new status of the endpoint.
void Rollout::State::HandleStatus(kernel::Time now) {
  if (endpoint.HasRestarted()) {
    orders.OnEndpointRestart();
  }
  if (endpoint.HasResponded()) {
    orders.ObserveRunning(endpoint.RunningDigest());
  }
  switch (phase) {
    case Phase::kServing:
      if (!endpoint.IsReachable() ||
          endpoint.RunningDigest() != served_digest) {
        StopServing(Phase::kNotServing);
        ServeOrWait(now);
      }
      break;
    case Phase::kUnknown:
    case Phase::kNotServing:
    case Phase::kVerifying:
      ServeOrWait(now);
      break;
    case Phase::kConfirming:
      ConfirmOrder(now);
      break;
    case Phase::kDraining:
    case Phase::kOrdering:
      break;
  }
}

void Rollout::State::ConfirmOrder(kernel::Time now) {
  if (!endpoint.IsReachable()) {
    return;
  }
  if (endpoint.RunningDigest() == orders.OrderedDigest()) {
    orders.RecordSuccess();
  } else {
    orders.RecordFailure(now);
  }
  phase = Phase::kNotServing;
  ServeOrWait(now);
}

// Decides, with the gate closed and a new status of the endpoint, whether to
// issue an order, serve the running version, or wait.
void Rollout::State::ServeOrWait(kernel::Time now) {
  if (!endpoint.IsReachable()) {
    return;
  }
  const bool needs_no_turn =
      turn_taken || endpoint.RunningDigest().empty() || !IsServable();
  const bool can_load = CanIssueOrder(now) && gate_empty &&
                        IsTargetComplete() && MustLoadTarget() && needs_no_turn;
  if (can_load) {
    IssueOrder(now);
  } else if (IsServable() && !draining) {
    StartServing();
  } else {
    phase = Phase::kNotServing;
  }
}

void Rollout::State::StartServing() {
  phase = Phase::kServing;
  served_digest = endpoint.RunningDigest();
  turn_taken = false;
  PublishReadiness();
  outputs.emplace_back(OpenGate{});
}

void Rollout::State::StopServing(Phase next) {
  phase = next;
  gate_empty = false;
  outputs.emplace_back(CloseGate{});
  PublishReadiness();
}

void Rollout::State::IssueOrder(kernel::Time now) {
  phase = Phase::kOrdering;
  outputs.emplace_back(orders.Issue(now, target.revision, target.digest,
                                    endpoint.RunningDigest()));
}

void Rollout::State::RequestReadBack(kernel::Time now) {
  if (settings.plain) {
    return;
  }
  outputs.emplace_back(endpoint.RequestReadBack(now));
}

// Requests a status and ignores those of before.
void Rollout::State::RequestLaterStatus(kernel::Time now) {
  endpoint.DiscardOutstanding();
  RequestReadBack(now);
}

void Rollout::State::PublishReadiness() {
  Readiness ready;
  ready.accepted_revision = published.accepted_revision;
  if (phase == Phase::kServing) {
    const bool has_same_digest = published.running_digest == served_digest;
    ready.running_digest = served_digest;
    ready.revision = has_same_digest ? published.revision : 0;
    ready.accepted_revision =
        std::max(ready.accepted_revision, target.revision);
    if (settings.plain || (HasTarget() && served_digest == target.digest)) {
      ready.revision = target.revision;
    }
  }
  const bool has_changed =
      ready.running_digest != published.running_digest ||
      ready.revision != published.revision ||
      ready.accepted_revision != published.accepted_revision;
  if (has_changed) {
    published = ready;
    outputs.emplace_back(ready);
  }
}

Rollout::Rollout(RolloutSettings settings, kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {
  if (m_state->settings.plain) {
    m_state->phase = Phase::kServing;
    m_state->outputs.emplace_back(OpenGate{});
  }
}

Rollout::~Rollout() = default;

void Rollout::OnDocument(kernel::Time now,
                         std::uint64_t revision,
                         const document::ServiceDocument& document) {
  State& state = *m_state;
  state.DetectPause(now);
  if (revision <= state.target.revision) {
    return;
  }
  state.target.revision = revision;
  state.target.settings = document.rollout;
  state.target.digest =
      document.model.has_value() ? document.model->manifest_digest : "";
  if (document.model.has_value()) {
    // The transfer drops the weights of the version that is replaced.
    std::erase_if(state.complete_versions, [&](const std::string& digest) {
      return digest != state.target.digest;
    });
  }
  state.orders.ClearRefusal();
  state.Evaluate(now);
}

void Rollout::OnPeers(kernel::Time now, std::vector<RolloutPeer> peers) {
  m_state->DetectPause(now);
  m_state->peers = std::move(peers);
  m_state->peers_known = true;
  m_state->Evaluate(now);
}

void Rollout::OnWeightsComplete(kernel::Time now,
                                std::string_view manifest_digest) {
  m_state->DetectPause(now);
  m_state->complete_versions.emplace(manifest_digest);
  m_state->Evaluate(now);
}

void Rollout::OnGateEmpty(kernel::Time now) {
  State& state = *m_state;
  state.DetectPause(now);
  state.gate_empty = true;
  if (state.phase == Phase::kDraining) {
    state.phase = Phase::kVerifying;
    state.RequestLaterStatus(now);
  }
}

void Rollout::OnOrderResult(kernel::Time now,
                            const Fence& fence,
                            OrderResult result) {
  State& state = *m_state;
  state.DetectPause(now);
  if (state.orders.Finish(now, fence, result)) {
    state.phase = Phase::kConfirming;
    state.RequestLaterStatus(now);
  }
}

bool Rollout::OnEndpointStatus(kernel::Time now,
                               const ReadBack& request,
                               const EndpointStatus& status) {
  State& state = *m_state;
  state.DetectPause(now);
  const StatusUse use = state.endpoint.ApplyStatus(now, request, status);
  if (use == StatusUse::kApplied) {
    state.HandleStatus(now);
    state.Evaluate(now);
  } else if (use == StatusUse::kMustRepeat) {
    state.RequestReadBack(now);
  }
  return use == StatusUse::kApplied;
}

void Rollout::OnDrain(kernel::Time now) {
  m_state->DetectPause(now);
  m_state->draining = true;
}

void Rollout::OnSuperseded(kernel::Time now) {
  m_state->DetectPause(now);
  m_state->orders.Stop();
}

void Rollout::OnTick(kernel::Time now) {
  State& state = *m_state;
  state.DetectPause(now);
  state.Evaluate(now);
  if (state.endpoint.IsReadBackDue(now)) {
    state.RequestReadBack(now);
  }
}

kernel::Time Rollout::NextTick() const {
  return std::min(m_state->endpoint.NextReadBack(), m_state->orders.Deadline());
}

std::vector<RolloutOutput> Rollout::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

std::string Rollout::Explain() const {
  const State& state = *m_state;
  if (state.settings.plain) {
    return "plain service: always accepts calls";
  }
  if (!state.HasTarget()) {
    return "waits for the service's document";
  }
  const std::string revision = std::to_string(state.target.revision);
  switch (state.phase) {
    case Phase::kUnknown:
      return "waits for the endpoint to say what it runs";
    case Phase::kServing:
      return state.ExplainServing();
    case Phase::kDraining:
      return "revision " + revision + ": waits for the calls in progress";
    case Phase::kVerifying:
      return "revision " + revision +
             ": reads back the endpoint's status before the order";
    case Phase::kOrdering:
      return "revision " + revision + ": the endpoint loads " +
             state.orders.OrderedDigest();
    case Phase::kConfirming:
      return "revision " + revision +
             ": reads back the version that the endpoint runs";
    case Phase::kNotServing:
      break;
  }
  if (!state.IsTargetComplete()) {
    return "revision " + revision + ": waits for the weights " +
           state.target.digest;
  }
  if (state.orders.IsRefused()) {
    return "revision " + revision +
           ": the endpoint refused the order for a newer fence; waits for a "
           "new revision or a restart of the endpoint";
  }
  return "revision " + revision + ": waits to order again after " +
         std::to_string(state.orders.ConsecutiveFailures()) + " failed orders";
}

std::string Rollout::State::ExplainServing() const {
  const std::string text = "revision " + std::to_string(target.revision) + ": ";
  if (RunsTarget()) {
    return text + "ready";
  }
  if (orders.IsStopped()) {
    return text + "a later run of this agent gives the orders";
  }
  if (!IsTargetComplete()) {
    return text + "serves " + served_digest + ", waits for the weights " +
           target.digest;
  }
  return text + "serves " + served_digest +
         ", waits for its turn: " + DescribeTurn(CurrentTurn());
}

}  // namespace radishrudder::rollout
