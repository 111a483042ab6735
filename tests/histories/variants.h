#ifndef TESTS_HISTORIES_VARIANTS_H_
#define TESTS_HISTORIES_VARIANTS_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/calls/attempt_key.h"
#include "radishrudder/calls/entry_core.h"
#include "radishrudder/calls/idempotency_key.h"

// Broken variants of the cores. Each violates one guarantee, which the checks
// must detect, by hiding some methods of the real core.
namespace radishrudder::histories {

using calls::AgentGate;
using calls::EndpointCallId;
using calls::EndpointCallResult;
using calls::EntryCore;
using calls::GateOutput;

// Reports an interrupted answer as complete.
struct GateThatCompletesInterruptedAnswers : AgentGate {
  using AgentGate::AgentGate;
  void OnEndpointCallEnded(kernel::Time now,
                           EndpointCallId call,
                           EndpointCallResult result) {
    AgentGate::OnEndpointCallEnded(now, call,
                                   result == EndpointCallResult::kInterrupted
                                       ? EndpointCallResult::kComplete
                                       : result);
  }
};

// Treats the number of received parts as the number of sent parts.
struct EntryThatIgnoresPartCount : EntryCore {
  using EntryCore::EntryCore;
  std::map<std::uint64_t, std::set<std::uint64_t>> seen;
  void OnMessage(kernel::Time now, wire::Envelope message) {
    if (message.has_attempt_part()) {
      seen[message.attempt_part().id().sequence()].insert(
          message.attempt_part().sequence());
    }
    if (message.has_attempt_end()) {
      auto& end = *message.mutable_attempt_end();
      end.set_parts(seen[end.id().sequence()].size());
    }
    EntryCore::OnMessage(now, message);
  }
};

// Treats every copy of an attempt as a new attempt.
struct GateWithoutAttemptMemory : AgentGate {
  using AgentGate::AgentGate;
  std::uint64_t last = 1ULL << 40U;
  std::map<std::uint64_t, std::uint64_t> originals;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      auto& id = *message.mutable_start_attempt()->mutable_id();
      originals[++last] = id.sequence();
      id.set_sequence(last);
    }
    AgentGate::OnMessage(now, wall_now, message);
  }
  std::vector<GateOutput> TakeOutputs() {
    auto outputs = AgentGate::TakeOutputs();
    for (GateOutput& output : outputs) {
      if (auto* send = std::get_if<wire::Send>(&output)) {
        Restore(send->message);
      }
    }
    return outputs;
  }
  void Restore(wire::Envelope& message) {
    wire::AttemptId* const id =
        message.has_attempt_head()
            ? message.mutable_attempt_head()->mutable_id()
        : message.has_attempt_part()
            ? message.mutable_attempt_part()->mutable_id()
        : message.has_attempt_end()
            ? message.mutable_attempt_end()->mutable_id()
            : nullptr;
    if (id != nullptr && originals.contains(id->sequence())) {
      id->set_sequence(originals[id->sequence()]);
    }
  }
};

// Accepts attempts addressed to an earlier run of the agent.
struct GateThatAcceptsAnyRun : AgentGate {
  GateThatAcceptsAnyRun(const calls::GateSettings& settings,
                        kernel::Random random)
      : AgentGate(settings, random), run(settings.self.incarnation) {}
  std::uint64_t run;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      message.mutable_start_attempt()->set_agent_incarnation(run);
    }
    AgentGate::OnMessage(now, wall_now, message);
  }
};

// Treats a lost connection as a refusal.
struct EntryThatTreatsLostConnectionAsRefusal : EntryCore {
  using EntryCore::EntryCore;
  std::vector<wire::Envelope> sent;
  std::vector<calls::EntryOutput> TakeOutputs() {
    auto outputs = EntryCore::TakeOutputs();
    for (const auto& output : outputs) {
      const auto* send = std::get_if<wire::Send>(&output);
      if (send != nullptr && send->message.has_start_attempt()) {
        sent.push_back(send->message);
        sent.back().mutable_from()->set_instance(send->to);
      }
    }
    return outputs;
  }
  void OnPeerDisconnected(kernel::Time now, const wire::ProcessKey& peer) {
    for (const wire::Envelope& start : sent) {
      if (start.from().instance() == peer.instance) {
        wire::Envelope refusal;
        *refusal.mutable_from() = wire::ToMessage(peer);
        *refusal.mutable_attempt_end()->mutable_id() =
            start.start_attempt().id();
        refusal.mutable_attempt_end()->set_outcome(wire::OUTCOME_NOT_RUN);
        EntryCore::OnMessage(now, refusal);
      }
    }
    EntryCore::OnPeerDisconnected(now, peer);
  }
};

struct GateThatIgnoresDrain : AgentGate {
  using AgentGate::AgentGate;
  void OnDrain(kernel::Time now) {}
};

// Never detects that it was paused.
struct GateWithoutPauseDetection : AgentGate {
  using AgentGate::AgentGate;
  kernel::Time last{};
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 const wire::Envelope& message) {
    TickDuringGap(now);
    AgentGate::OnMessage(now, wall_now, message);
  }
  void OnTick(kernel::Time now) {
    TickDuringGap(now);
    AgentGate::OnTick(now);
  }
  void TickDuringGap(kernel::Time now) {
    constexpr auto kStep = std::chrono::milliseconds(500);
    while (last != kernel::Time{} && last + kStep < now) {
      last += kStep;
      AgentGate::OnTick(last);
    }
    last = now;
  }
};

// Cancels the running calls on a drain.
struct GateThatCancelsOnDrain : AgentGate {
  using AgentGate::AgentGate;
  std::set<EndpointCallId> started;
  bool draining = false;
  void OnDrain(kernel::Time now) {
    AgentGate::OnDrain(now);
    draining = true;
  }
  std::vector<GateOutput> TakeOutputs() {
    auto outputs = AgentGate::TakeOutputs();
    for (const GateOutput& output : outputs) {
      if (const auto* start = std::get_if<calls::StartEndpointCall>(&output)) {
        started.insert(start->call);
      }
    }
    for (const EndpointCallId call :
         draining ? std::exchange(started, {}) : std::set<EndpointCallId>{}) {
      outputs.emplace_back(calls::CancelEndpointCall{.call = call});
    }
    return outputs;
  }
};

// Ignores idempotency keys.
struct GateThatIgnoresKeys : AgentGate {
  using AgentGate::AgentGate;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      message.mutable_start_attempt()->clear_idempotency_key();
    }
    AgentGate::OnMessage(now, wall_now, message);
  }
};

// Lets the call of a key run although it was reported as not run.
struct GateThatAcceptsRefusedKeys : AgentGate {
  using AgentGate::AgentGate;
  std::map<std::uint64_t, std::string> keys;  // By sequence.
  std::map<std::string, std::uint64_t> refusals;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      auto& start = *message.mutable_start_attempt();
      keys[start.id().sequence()] = start.idempotency_key();
      auto key = calls::ParseIdempotencyKey(start.idempotency_key());
      if (key) {
        key->nonce += refusals[start.idempotency_key()];
        start.set_idempotency_key(calls::Format(*key));
      }
    }
    AgentGate::OnMessage(now, wall_now, message);
  }
  std::vector<GateOutput> TakeOutputs() {
    auto outputs = AgentGate::TakeOutputs();
    for (const GateOutput& output : outputs) {
      const auto* send = std::get_if<wire::Send>(&output);
      if (send != nullptr && send->message.has_attempt_end() &&
          send->message.attempt_end().outcome() == wire::OUTCOME_NOT_RUN) {
        ++refusals[keys[send->message.attempt_end().id().sequence()]];
      }
    }
    return outputs;
  }
};

// Accepts keys generated by callers and records them per agent, as every agent
// would if keys did not name the agent that accepts them.
struct GateThatAcceptsCallerKeys : AgentGate {
  GateThatAcceptsCallerKeys(const calls::GateSettings& settings,
                            kernel::Random random)
      : AgentGate(settings, random), self(settings.self) {}
  wire::ProcessKey self;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall_now,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      auto& start = *message.mutable_start_attempt();
      const std::string issued_key =
          calls::Format({.agent = self,
                         .expires = now + std::chrono::seconds(10),
                         .nonce = 0});
      start.set_idempotent(start.idempotency_key().empty());
      if (!start.idempotency_key().empty()) {
        const auto [known, added] =
            known_keys.emplace(start.idempotency_key(), issued_key);
        auto key = *calls::ParseIdempotencyKey(known->second);
        key.nonce = kernel::StableHash(start.idempotency_key());
        start.set_idempotency_key(calls::Format(key));
      }
    }
    AgentGate::OnMessage(now, wall_now, message);
  }
  std::map<std::string, std::string> known_keys;
};

// Ignores that the endpoint changed its weights.
struct GateThatIgnoresDigestChanges : AgentGate {
  using AgentGate::AgentGate;
  void OnEndpointState(kernel::Time now, const std::string& digest, bool open) {
    AgentGate::OnEndpointState(now, "sha256:1", open);
  }
};

// Accepts answers to attempts of an earlier run of the entry.
struct EntryThatAcceptsAnyRun : EntryCore {
  EntryThatAcceptsAnyRun(const calls::EntrySettings& settings,
                         kernel::Random random)
      : EntryCore(settings, random), run(settings.self.incarnation) {}
  std::uint64_t run;
  void OnMessage(kernel::Time now, wire::Envelope message) {
    if (message.has_attempt_head()) {
      message.mutable_attempt_head()->mutable_id()->set_entry_incarnation(run);
    } else if (message.has_attempt_part()) {
      message.mutable_attempt_part()->mutable_id()->set_entry_incarnation(run);
    } else if (message.has_attempt_end()) {
      message.mutable_attempt_end()->mutable_id()->set_entry_incarnation(run);
    }
    EntryCore::OnMessage(now, message);
  }
};

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_VARIANTS_H_
