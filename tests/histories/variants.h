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

// Broken variants of the cores, each with one promise dropped. They hide
// single methods of the real ones.
namespace radishrudder::histories {

using calls::AgentGate;
using calls::EndpointCallId;
using calls::EndpointEnd;
using calls::EntryCore;
using calls::GateOutput;

// Calls an answer whole that broke off.
struct GateThatEndsCutAnswers : AgentGate {
  using AgentGate::AgentGate;
  void OnEndpointEnd(kernel::Time now, EndpointCallId call, EndpointEnd end) {
    AgentGate::OnEndpointEnd(
        now, call,
        end == EndpointEnd::kInterrupted ? EndpointEnd::kComplete : end);
  }
};

// Takes as many parts as came for the number that was sent.
struct EntryWithoutPartCount : EntryCore {
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

// Treats every copy of an attempt as a new one.
struct GateThatForgetsAttempts : AgentGate {
  using AgentGate::AgentGate;
  std::uint64_t last = 1ULL << 40U;
  std::map<std::uint64_t, std::uint64_t> originals;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      auto& id = *message.mutable_start_attempt()->mutable_id();
      originals[++last] = id.sequence();
      id.set_sequence(last);
    }
    AgentGate::OnMessage(now, wall, message);
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

// Takes attempts meant for an earlier run.
struct GateForAnyRun : AgentGate {
  GateForAnyRun(const calls::GateSettings& settings, kernel::Random random)
      : AgentGate(settings, random), run(settings.self.incarnation) {}
  std::uint64_t run;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      message.mutable_start_attempt()->set_agent_incarnation(run);
    }
    AgentGate::OnMessage(now, wall, message);
  }
};

// Takes a broken connection for a refusal.
struct EntryThatTrustsBrokenStreams : EntryCore {
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
  void OnPeerLost(kernel::Time now, const wire::ProcessKey& peer) {
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
    EntryCore::OnPeerLost(now, peer);
  }
};

struct GateThatIgnoresDrain : AgentGate {
  using AgentGate::AgentGate;
  void OnDrain(kernel::Time now) {}
};

// Never notices that it was paused.
struct GateWithoutPauses : AgentGate {
  using AgentGate::AgentGate;
  kernel::Time last{};
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall,
                 const wire::Envelope& message) {
    FillGap(now);
    AgentGate::OnMessage(now, wall, message);
  }
  void OnTick(kernel::Time now) {
    FillGap(now);
    AgentGate::OnTick(now);
  }
  void FillGap(kernel::Time now) {
    constexpr auto kStep = std::chrono::milliseconds(500);
    while (last != kernel::Time{} && last + kStep < now) {
      last += kStep;
      AgentGate::OnTick(last);
    }
    last = now;
  }
};

// Cuts what runs when it is told to drain.
struct GateThatCutsOnDrain : AgentGate {
  using AgentGate::AgentGate;
  std::set<EndpointCallId> started;
  bool cut = false;
  void OnDrain(kernel::Time now) {
    AgentGate::OnDrain(now);
    cut = true;
  }
  std::vector<GateOutput> TakeOutputs() {
    auto outputs = AgentGate::TakeOutputs();
    for (const GateOutput& output : outputs) {
      if (const auto* start = std::get_if<calls::StartEndpointCall>(&output)) {
        started.insert(start->call);
      }
    }
    for (const EndpointCallId call :
         cut ? std::exchange(started, {}) : std::set<EndpointCallId>{}) {
      outputs.emplace_back(calls::CancelEndpointCall{.call = call});
    }
    return outputs;
  }
};

// Runs a call whatever its key says.
struct GateWithoutLedger : AgentGate {
  using AgentGate::AgentGate;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      message.mutable_start_attempt()->clear_idempotency_key();
    }
    AgentGate::OnMessage(now, wall, message);
  }
};

// Lets a key run that it reported as not run.
struct GateThatReopensKeys : AgentGate {
  using AgentGate::AgentGate;
  std::map<std::uint64_t, std::string> keys;  // By sequence.
  std::map<std::string, std::uint64_t> reopened;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      auto& start = *message.mutable_start_attempt();
      keys[start.id().sequence()] = start.idempotency_key();
      auto key = calls::ParseIdempotencyKey(start.idempotency_key());
      if (key) {
        key->nonce += reopened[start.idempotency_key()];
        start.set_idempotency_key(calls::Format(*key));
      }
    }
    AgentGate::OnMessage(now, wall, message);
  }
  std::vector<GateOutput> TakeOutputs() {
    auto outputs = AgentGate::TakeOutputs();
    for (const GateOutput& output : outputs) {
      const auto* send = std::get_if<wire::Send>(&output);
      if (send != nullptr && send->message.has_attempt_end() &&
          send->message.attempt_end().outcome() == wire::OUTCOME_NOT_RUN) {
        ++reopened[keys[send->message.attempt_end().id().sequence()]];
      }
    }
    return outputs;
  }
};

// Takes keys of the callers' own and remembers them by itself, as any agent
// would if keys did not name one.
struct GateForAnyKey : AgentGate {
  GateForAnyKey(const calls::GateSettings& settings, kernel::Random random)
      : AgentGate(settings, random), self(settings.self) {}
  wire::ProcessKey self;
  void OnMessage(kernel::Time now,
                 kernel::WallTime wall,
                 wire::Envelope message) {
    if (message.has_start_attempt()) {
      auto& start = *message.mutable_start_attempt();
      const std::string own =
          calls::Format({.agent = self,
                         .expires = now + std::chrono::seconds(10),
                         .nonce = 0});
      start.set_idempotent(start.idempotency_key().empty());
      if (!start.idempotency_key().empty()) {
        const auto [known, added] =
            known_keys.emplace(start.idempotency_key(), own);
        auto key = *calls::ParseIdempotencyKey(known->second);
        key.nonce = kernel::StableHash(start.idempotency_key());
        start.set_idempotency_key(calls::Format(key));
      }
    }
    AgentGate::OnMessage(now, wall, message);
  }
  std::map<std::string, std::string> known_keys;
};

// Never hears that the endpoint changed its weights.
struct GateThatIgnoresReloads : AgentGate {
  using AgentGate::AgentGate;
  void OnEndpointState(kernel::Time now, const std::string& digest, bool open) {
    AgentGate::OnEndpointState(now, "sha256:1", open);
  }
};

// Takes answers to attempts of an earlier run of the entry for its own.
struct EntryForAnyRun : EntryCore {
  EntryForAnyRun(const calls::EntrySettings& settings, kernel::Random random)
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
