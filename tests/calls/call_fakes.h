#ifndef TESTS_CALLS_CALL_FAKES_H_
#define TESTS_CALLS_CALL_FAKES_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/calls/entry_core.h"

namespace radishrudder::calls {

inline document::ServiceDocument PlainDocument() {
  document::ServiceDocument document;
  document.service = "shop-api";
  document.kind = document::ServiceKind::kPlain;
  document.calls.timeout = std::chrono::seconds(10);
  document.calls.endpoint_concurrency = 2;
  document.calls.routes = {
      {.method = "POST", .prefix = "/deposits", .idempotent = false}};
  return document;
}

inline CallRequest Request(std::string method, std::string target) {
  CallRequest request;
  request.service = "shop-api";
  request.workspace = "studio";
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = "{}";
  return request;
}

// The outputs that a caller received for one call.
struct ObservedAnswer {
  std::optional<AnswerHead> head;
  std::string body;
  bool complete = false;
  std::optional<CallFailed> failure;
  std::size_t outputs_after_end = 0;
};

// One entry and several agents with simulated endpoints. Messages are delivered
// immediately unless the test holds them back; the test ends the calls at the
// endpoints.
class FakeService {
 public:
  explicit FakeService(int agents, document::ServiceDocument document)
      : m_document(std::move(document)),
        m_entry({.self = {"entry-1", 100}, .data_centre = "a"},
                kernel::Random(1)) {
    m_entry.OnDocument(now, m_document);
    for (int i = 1; i <= agents; ++i) {
      StartAgent("agent-" + std::to_string(i), 200 + i);
    }
    UpdateEndpoints();
  }

  void StartAgent(const std::string& name, std::uint64_t incarnation) {
    auto& agent = m_agents[name];
    agent.incarnation = incarnation;
    agent.gate =
        std::make_unique<AgentGate>(GateSettings{.self = {name, incarnation},
                                                 .service = m_document.service,
                                                 .maximum_waiting = 2},
                                    kernel::Random(incarnation));
    agent.gate->OnDocument(now, m_document);
    agent.gate->OnEndpointState(now, digest, true);
    agent.running.clear();
  }

  // Updates the entry's list of agents to their current runs.
  void UpdateEndpoints() {
    std::vector<EndpointView> views;
    for (const auto& [name, agent] : m_agents) {
      views.push_back({.instance = name,
                       .incarnation = agent.incarnation,
                       .running_digest = digest,
                       .capacity = m_document.calls.endpoint_concurrency});
    }
    m_entry.OnEndpoints(now, m_document.service, views);
    Deliver();
  }

  void Call(CallId id, CallRequest request) {
    m_entry.OnCall(now, id, std::move(request));
    Deliver();
  }

  // Completes the oldest call at an endpoint with this body.
  void Answer(const std::string& name, const std::string& body) {
    AgentGate& gate = Gate(name);
    const EndpointCallId call = m_agents[name].running.begin()->first;
    gate.OnEndpointHead(now, call, 200, {}, digest);
    gate.OnEndpointData(now, call, body);
    End(name, EndpointCallResult::kComplete);
  }

  void End(const std::string& name, EndpointCallResult result) {
    const EndpointCallId call = m_agents[name].running.begin()->first;
    m_agents[name].running.erase(call);
    Gate(name).OnEndpointCallEnded(now, call, result);
    Deliver();
  }

  // Delivers messages until none are left, except those held back.
  void Deliver() {
    bool delivered = true;
    while (delivered) {
      delivered = DeliverFromEntry();
      for (auto& [name, agent] : m_agents) {
        delivered = DeliverFromAgent(name) || delivered;
      }
    }
  }

  void Tick(kernel::Duration by) {
    now += by;
    m_entry.OnTick(now);
    for (auto& [name, agent] : m_agents) {
      agent.gate->OnTick(now);
    }
    Deliver();
  }

  // Returns the first agent whose endpoint runs a call; empty for none.
  std::string FirstBusyAgent() const {
    for (const auto& [name, agent] : m_agents) {
      if (!agent.running.empty()) {
        return name;
      }
    }
    return "";
  }

  EntryCore& Entry() { return m_entry; }
  AgentGate& Gate(const std::string& name) { return *m_agents[name].gate; }
  ObservedAnswer& ObservedAnswerOf(CallId id) { return m_seen[id]; }
  const std::map<EndpointCallId, StartEndpointCall>& Running(
      const std::string& name) {
    return m_agents[name].running;
  }

  kernel::Time now{std::chrono::hours(1)};
  std::string digest;
  bool hold_messages_to_agents = false;
  bool hold_to_entry = false;
  std::vector<wire::Send> held_messages;
  int executions = 0;
  int cancellations = 0;

 private:
  struct Agent {
    std::uint64_t incarnation = 0;
    std::unique_ptr<AgentGate> gate;
    std::map<EndpointCallId, StartEndpointCall> running;
  };

  bool DeliverFromEntry() {
    const auto outputs = m_entry.TakeOutputs();
    for (const EntryOutput& output : outputs) {
      if (const auto* send = std::get_if<wire::Send>(&output)) {
        SendToAgent(*send);
      } else {
        RecordOutput(output);
      }
    }
    return !outputs.empty();
  }

  void SendToAgent(const wire::Send& send) {
    if (hold_messages_to_agents) {
      held_messages.push_back(send);
    } else if (m_agents.contains(send.to)) {
      Gate(send.to).OnMessage(now, {}, send.message);
    }
  }

  bool DeliverFromAgent(const std::string& name) {
    const auto outputs = Gate(name).TakeOutputs();
    for (const GateOutput& output : outputs) {
      if (const auto* send = std::get_if<wire::Send>(&output)) {
        hold_to_entry ? held_messages.push_back(*send)
                      : m_entry.OnMessage(now, send->message);
      } else if (const auto* start = std::get_if<StartEndpointCall>(&output)) {
        ++executions;
        m_agents[name].running[start->call] = *start;
      } else {
        ++cancellations;
      }
    }
    return !outputs.empty();
  }

  void RecordOutput(const EntryOutput& output) {
    if (const auto* head = std::get_if<AnswerHead>(&output)) {
      FindObservedAnswer(head->call).head = *head;
    } else if (const auto* part = std::get_if<AnswerPart>(&output)) {
      FindObservedAnswer(part->call).body += part->data;
    } else if (const auto* end = std::get_if<AnswerComplete>(&output)) {
      FindObservedAnswer(end->call).complete = true;
    } else if (const auto* failed = std::get_if<CallFailed>(&output)) {
      FindObservedAnswer(failed->call).failure = *failed;
    }
  }

  ObservedAnswer& FindObservedAnswer(CallId id) {
    ObservedAnswer& seen = m_seen[id];
    seen.outputs_after_end += seen.complete || seen.failure ? 1 : 0;
    return seen;
  }

  document::ServiceDocument m_document;
  EntryCore m_entry;
  std::map<std::string, Agent> m_agents;
  std::map<CallId, ObservedAnswer> m_seen;
};

}  // namespace radishrudder::calls

#endif  // TESTS_CALLS_CALL_FAKES_H_
