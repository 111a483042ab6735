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

// A gap between inputs longer than this is taken for a pause of the process.
constexpr kernel::Duration kPauseLimit = std::chrono::seconds(3);
// After a pause, news get this long to arrive before anything is begun.
constexpr kernel::Duration kSettleTime = std::chrono::seconds(2);

enum class Phase {
  kUnknown,     // The endpoint was not read back; the gate is closed.
  kServing,     // The gate is open.
  kDraining,    // The gate is closed; calls in progress end.
  kVerifying,   // Empty; the endpoint is read back before the order.
  kOrdering,    // An order is in progress.
  kConfirming,  // The order ended; the endpoint is read back.
  kEmpty,       // The gate is closed; nothing fit to serve runs.
};

// The version that the document in force wants.
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

  void Observe(kernel::Time now);
  void Evaluate(kernel::Time now);
  void EvaluateServing(kernel::Time now);
  void EvaluateStatus(kernel::Time now);
  void ConfirmOrder(kernel::Time now);
  void ServeOrWait(kernel::Time now);
  void Serve();
  void StopServing(Phase next);
  void StartOrder(kernel::Time now);
  void AskEndpoint(kernel::Time now);
  void Announce();
  bool MayAct(kernel::Time now) const;
  bool HasTarget() const { return target.revision != 0; }
  bool RunsTarget() const {
    return HasTarget() && endpoint.Digest() == target.digest;
  }
  bool IsComplete() const { return complete.contains(target.digest); }
  // Returns whether calls may go to what the endpoint runs.
  bool IsFit() const {
    return endpoint.IsReachable() && !endpoint.Digest().empty() &&
           !orders.IsUncertain(endpoint.Digest()) &&
           (RunsTarget() || served.empty() || endpoint.Digest() == served ||
            endpoint.Digest() == orders.Digest());
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
  std::set<std::string, std::less<>> complete;
  Target target;
  Ready announced;
  Phase phase = Phase::kUnknown;
  std::string served;  // The digest that calls last went to.
  kernel::Time last_input{};
  kernel::Time settled_at{};
  bool peers_known = false;
  bool draining = false;
  bool gate_empty = true;
  // This instance left its version in its turn and did not serve since.
  bool turn_taken = false;
};

// Notices a pause of the process: what it knew may be old.
void Rollout::State::Observe(kernel::Time now) {
  const bool first = last_input == kernel::Time{};
  if (!first && now - last_input > kPauseLimit) {
    settled_at = now + kSettleTime;
  }
  last_input = std::max(last_input, now);
}

bool Rollout::State::MayAct(kernel::Time now) const {
  return HasTarget() && !draining && now >= settled_at && orders.MayOrder(now);
}

void Rollout::State::Evaluate(kernel::Time now) {
  if (settings.plain) {
    phase = Phase::kServing;
    Announce();
    return;
  }
  if (phase == Phase::kServing) {
    EvaluateServing(now);
  } else if (phase == Phase::kDraining && RunsTarget()) {
    Serve();
  } else if (phase == Phase::kOrdering && orders.EndOverdue(now)) {
    phase = Phase::kConfirming;
    AskEndpoint(now);
  }
}

void Rollout::State::EvaluateServing(kernel::Time now) {
  Announce();
  if (!MayAct(now) || RunsTarget() || !IsComplete() || !peers_known) {
    return;
  }
  if (CurrentTurn().may_leave) {
    turn_taken = true;
    StopServing(Phase::kDraining);
  }
}

// Acts on a fresh answer of the endpoint.
void Rollout::State::EvaluateStatus(kernel::Time now) {
  if (endpoint.HasRestarted()) {
    orders.OnEndpointRestart();
  }
  switch (phase) {
    case Phase::kServing:
      if (!endpoint.IsReachable() || endpoint.Digest() != served) {
        StopServing(Phase::kEmpty);
        ServeOrWait(now);
      }
      break;
    case Phase::kUnknown:
    case Phase::kEmpty:
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
  if (endpoint.Digest() == orders.Digest()) {
    orders.Succeed();
  } else {
    orders.Fail(now);
  }
  phase = Phase::kEmpty;
  ServeOrWait(now);
}

// The gate is closed and the endpoint answered: serves, orders or waits.
void Rollout::State::ServeOrWait(kernel::Time now) {
  if (!endpoint.IsReachable()) {
    return;
  }
  const bool needs_no_turn =
      turn_taken || endpoint.Digest().empty() || !IsFit();
  const bool may_load = MayAct(now) && gate_empty && IsComplete() &&
                        !RunsTarget() && needs_no_turn;
  if (may_load) {
    StartOrder(now);
  } else if (IsFit() && !draining) {
    Serve();
  } else {
    phase = Phase::kEmpty;
  }
}

void Rollout::State::Serve() {
  phase = Phase::kServing;
  served = endpoint.Digest();
  turn_taken = false;
  Announce();
  outputs.emplace_back(OpenGate{});
}

void Rollout::State::StopServing(Phase next) {
  phase = next;
  gate_empty = false;
  outputs.emplace_back(CloseGate{});
  Announce();
}

void Rollout::State::StartOrder(kernel::Time now) {
  phase = Phase::kOrdering;
  outputs.emplace_back(orders.Give(now, target.revision, target.digest));
}

void Rollout::State::AskEndpoint(kernel::Time now) {
  if (settings.plain) {
    return;
  }
  endpoint.OnAsked(now);
  outputs.emplace_back(ReadBack{});
}

void Rollout::State::Announce() {
  Ready ready;
  ready.accepted = announced.accepted;
  if (phase == Phase::kServing) {
    const bool same = announced.running_digest == served;
    ready.running_digest = served;
    ready.revision = same ? announced.revision : 0;
    ready.accepted = std::max(ready.accepted, target.revision);
    if (settings.plain || (HasTarget() && served == target.digest)) {
      ready.revision = target.revision;
    }
  }
  const bool is_new = ready.running_digest != announced.running_digest ||
                      ready.revision != announced.revision ||
                      ready.accepted != announced.accepted;
  if (is_new) {
    announced = ready;
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
  state.Observe(now);
  if (revision <= state.target.revision) {
    return;
  }
  state.target.revision = revision;
  state.target.settings = document.rollout;
  state.target.digest =
      document.model.has_value() ? document.model->manifest_digest : "";
  state.orders.Retry();
  state.Evaluate(now);
}

void Rollout::OnPeers(kernel::Time now, std::vector<RolloutPeer> peers) {
  m_state->Observe(now);
  m_state->peers = std::move(peers);
  m_state->peers_known = true;
  m_state->Evaluate(now);
}

void Rollout::OnVersionComplete(kernel::Time now,
                                std::string_view manifest_digest) {
  m_state->Observe(now);
  m_state->complete.emplace(manifest_digest);
  m_state->Evaluate(now);
}

void Rollout::OnGateEmpty(kernel::Time now) {
  State& state = *m_state;
  state.Observe(now);
  state.gate_empty = true;
  if (state.phase == Phase::kDraining) {
    state.phase = Phase::kVerifying;
    state.AskEndpoint(now);
  }
}

void Rollout::OnOrderResult(kernel::Time now,
                            const Fence& fence,
                            OrderResult result) {
  State& state = *m_state;
  state.Observe(now);
  if (state.orders.End(now, fence, result)) {
    state.phase = Phase::kConfirming;
    state.AskEndpoint(now);
  }
}

void Rollout::OnEndpointStatus(kernel::Time now, const EndpointStatus& status) {
  State& state = *m_state;
  state.Observe(now);
  if (!state.endpoint.Take(now, status)) {
    state.AskEndpoint(now);
    return;
  }
  state.EvaluateStatus(now);
  state.Evaluate(now);
}

void Rollout::OnDrain(kernel::Time now) {
  m_state->Observe(now);
  m_state->draining = true;
}

void Rollout::OnSuperseded(kernel::Time now) {
  m_state->Observe(now);
  m_state->orders.Stop();
}

void Rollout::OnTick(kernel::Time now) {
  State& state = *m_state;
  state.Observe(now);
  state.Evaluate(now);
  if (state.endpoint.IsDue(now)) {
    state.AskEndpoint(now);
  }
}

kernel::Time Rollout::NextTick() const {
  return std::min(m_state->endpoint.Next(), m_state->orders.Deadline());
}

std::vector<RolloutOutput> Rollout::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

std::string Rollout::Explain() const {
  const State& state = *m_state;
  if (state.settings.plain) {
    return "plain service: always open";
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
      return "revision " + revision + ": reads the endpoint before the order";
    case Phase::kOrdering:
      return "revision " + revision + ": the endpoint loads " +
             state.orders.Digest();
    case Phase::kConfirming:
      return "revision " + revision + ": reads back what the endpoint runs";
    case Phase::kEmpty:
      break;
  }
  if (!state.IsComplete()) {
    return "revision " + revision + ": waits for the weights " +
           state.target.digest;
  }
  if (state.orders.IsRefused()) {
    return "revision " + revision +
           ": the endpoint refused the order for a newer fence; waits for a "
           "new revision or a restart of the endpoint";
  }
  return "revision " + revision + ": waits to order again after " +
         std::to_string(state.orders.Failures()) + " failed orders";
}

std::string Rollout::State::ExplainServing() const {
  const std::string text = "revision " + std::to_string(target.revision) + ": ";
  if (RunsTarget()) {
    return text + "ready";
  }
  if (orders.IsStopped()) {
    return text + "a later run of this agent gives the orders";
  }
  if (!IsComplete()) {
    return text + "serves " + served + ", waits for the weights " +
           target.digest;
  }
  return text + "serves " + served +
         ", waits for its turn: " + Describe(CurrentTurn());
}

}  // namespace radishrudder::rollout
