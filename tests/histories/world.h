#ifndef TESTS_HISTORIES_WORLD_H_
#define TESTS_HISTORIES_WORLD_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "faults.h"
#include "history.h"
#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/calls/entry_core.h"
#include "scheduler.h"

namespace radishrudder::histories {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates several entries and agents of one service, a network that delays,
// loses, duplicates and reorders messages, endpoints, and callers that repeat
// calls as far as the outcomes allow. All random choices depend on the seed.
// `Entry` and `Gate` have the interfaces of calls::EntryCore and
// calls::AgentGate.
template <typename Entry, typename Gate>
class Simulation {
 public:
  Simulation(Faults faults, document::ServiceDocument document)
      : m_faults(faults),
        m_document(std::move(document)),
        m_random(faults.seed) {
    m_history.only_planned_stops = faults.only_planned_stops;
    for (int i = 0; i < kAgents; ++i) {
      m_agents.emplace_back().name = "agent-" + std::to_string(i);
      StartAgent(m_agents.back());
    }
    for (int i = 0; i < kEntries; ++i) {
      m_entries.emplace_back().name = "entry-" + std::to_string(i);
      StartEntry(m_entries.back());
    }
  }

  History Run() {
    ScheduleFaults();
    for (int i = 0; i < kOperations; ++i) {
      ScheduleAfter(RandomDuration(milliseconds(0), seconds(12)),
                    [this, i] { StartOperation(i); });
    }
    for (kernel::Duration t{0}; t < kActiveDuration; t += milliseconds(50)) {
      ScheduleAfter(t, [this] { Tick(); });
    }
    for (kernel::Duration t = kActiveDuration; t < kSimulatedDuration;
         t += milliseconds(450)) {
      ScheduleAfter(t, [this] { TickGates(); });
    }
    for (kernel::Duration t = kActiveDuration; t < kSimulatedDuration;
         t += seconds(9)) {
      ScheduleAfter(t, [this] { Tick(); });
    }
    m_scheduler.RunAll();
    return std::move(m_history);
  }

 private:
  static constexpr int kEntries = 3;
  static constexpr int kAgents = 4;
  static constexpr int kOperations = 60;
  static constexpr int kMaximumRepeats = 4;
  // The cores tick every 50 ms for this time, and less often afterwards, when
  // only long delayed messages are left.
  static constexpr kernel::Duration kActiveDuration = seconds(45);
  static constexpr kernel::Duration kSimulatedDuration =
      std::chrono::minutes(20);

  struct Node {
    std::string name;
    std::uint64_t incarnation = 0;
    kernel::Time paused_until{};
    std::deque<std::function<void()>> inbox{};
  };
  struct EntryNode : Node {
    std::unique_ptr<Entry> core;
    std::map<calls::CallId, int> open;  // Invocation index by call.
    std::map<std::string, calls::EndpointView> view;
    bool draining = false;
  };
  struct AgentNode : Node {
    std::unique_ptr<Gate> gate;
    std::map<calls::EndpointCallId, int> running;  // Execution index by call.
    std::string digest = "sha256:1";
    bool leaving = false;
    kernel::Time listed_leaving_at{};
  };
  struct Caller {
    OperationKind kind = OperationKind::kIdempotent;
    int repeats = 0;
    std::string key;  // Key in use; empty while another one is requested.
  };

  kernel::Time Now() const { return m_scheduler.Now(); }
  void ScheduleAfter(kernel::Duration delay, std::function<void()> action) {
    m_scheduler.ScheduleAfter(delay, std::move(action));
  }
  kernel::Duration RandomDuration(kernel::Duration low, kernel::Duration high) {
    return low + kernel::Duration(static_cast<std::int64_t>(
                     m_random.Below((high - low).count() + 1)));
  }
  template <typename T>
  T& RandomItem(std::vector<T>& items) {
    return items[m_random.Below(items.size())];
  }

  // Passes an input to a node, now or when its pause ends. Inputs are processed
  // in order.
  void PassInput(Node& node, std::function<void()> action) {
    if (node.paused_until > Now() || !node.inbox.empty()) {
      node.inbox.push_back(std::move(action));
      return;
    }
    action();
    ProcessOutputs();
  }

  void Resume(Node& node) {
    if (node.paused_until > Now()) {
      return;  // Paused again; the end of the later pause calls this again.
    }
    while (!node.inbox.empty()) {
      const std::function<void()> action = std::move(node.inbox.front());
      node.inbox.pop_front();
      action();
      ProcessOutputs();
    }
  }

  void StartAgent(AgentNode& agent) {
    if (agent.incarnation == 0 || !m_faults.same_incarnation_after_restart) {
      agent.incarnation = ++m_last_incarnation;
    }
    agent.running.clear();
    agent.gate = std::make_unique<Gate>(
        calls::GateSettings{.self = {agent.name, agent.incarnation},
                            .service = m_document.service,
                            .key_lifetime = seconds(10),
                            .maximum_waiting = 4},
        kernel::Random(m_random.Next()));
    agent.gate->OnDocument(Now(), m_document);
    agent.gate->OnEndpointState(Now(), agent.digest, true);
    if (agent.leaving) {
      agent.gate->OnDrain(Now());
    }
  }

  void StartEntry(EntryNode& entry) {
    for (const auto& [call, invocation] : entry.open) {
      MarkCallLost(invocation);
    }
    entry.open.clear();
    entry.incarnation = ++m_last_incarnation;
    entry.core = std::make_unique<Entry>(
        calls::EntrySettings{.self = {entry.name, entry.incarnation}},
        kernel::Random(m_random.Next()));
    entry.core->OnDocument(Now(), m_document);
    entry.view.clear();
    UpdateView(entry, 1.0);
  }

  // Updates an entry's view of each agent with the given probability; agents
  // behind a partition are not updated.
  void UpdateView(EntryNode& entry, double chance) {
    for (const AgentNode& agent : m_agents) {
      if (IsPartitioned(entry.name, agent.name) || !m_random.Chance(chance)) {
        continue;
      }
      const bool listed = agent.leaving && Now() >= agent.listed_leaving_at;
      entry.view[agent.name] = {.instance = agent.name,
                                .incarnation = agent.incarnation,
                                .leaving = listed,
                                .running_digest = agent.digest};
    }
    std::vector<calls::EndpointView> views;
    for (const auto& [name, view] : entry.view) {
      views.push_back(view);
    }
    entry.core->OnEndpoints(Now(), m_document.service, std::move(views));
  }

  void Tick() {
    for (EntryNode& entry : m_entries) {
      if (entry.paused_until <= Now()) {
        UpdateView(entry, 0.3);
        entry.core->OnTick(Now());
      }
    }
    TickGates();
  }

  void TickGates() {
    for (AgentNode& agent : m_agents) {
      if (agent.paused_until <= Now()) {
        agent.gate->OnTick(Now());
      }
    }
    ProcessOutputs();
  }

  // Processes the outputs of all cores.
  void ProcessOutputs() {
    for (EntryNode& entry : m_entries) {
      for (const calls::EntryOutput& output : entry.core->TakeOutputs()) {
        if (const auto* send = std::get_if<wire::Send>(&output)) {
          SendToAgent(entry, *send);
        } else {
          RecordOutput(entry, output);
        }
      }
    }
    for (AgentNode& agent : m_agents) {
      for (const calls::GateOutput& output : agent.gate->TakeOutputs()) {
        if (const auto* send = std::get_if<wire::Send>(&output)) {
          SendToEntry(agent, *send);
        } else if (const auto* start =
                       std::get_if<calls::StartEndpointCall>(&output)) {
          StartExecution(agent, *start);
        } else {
          EndExecution(agent, std::get<calls::CancelEndpointCall>(output).call,
                       calls::EndpointCallResult::kInterrupted);
        }
      }
    }
  }

  // Network.

  bool IsPartitioned(const std::string& entry, const std::string& agent) const {
    return m_partitions.contains({entry, agent});
  }

  void SendToAgent(EntryNode& entry, const wire::Send& send) {
    AgentNode& agent = FindAgent(send.to);
    const std::uint64_t run = entry.incarnation;
    if (IsPartitioned(entry.name, agent.name) && m_random.Chance(0.5)) {
      ScheduleAfter(milliseconds(1), [this, &entry, run, send] {
        PassInput(entry, [&entry, run, send, now = Now()] {
          if (entry.incarnation == run) {
            entry.core->OnSendFailed(now, send.message);
          }
        });
      });
      return;
    }
    Transmit(IsPartitioned(entry.name, agent.name), [this, &agent, send] {
      PassInput(agent, [this, &agent, send] {
        agent.gate->OnMessage(Now(), {}, send.message);
      });
    });
  }

  void SendToEntry(AgentNode& agent, const wire::Send& send) {
    for (EntryNode& entry : m_entries) {
      if (entry.name == send.to) {
        Transmit(IsPartitioned(entry.name, agent.name), [this, &entry, send] {
          PassInput(entry, [this, &entry, send] {
            entry.core->OnMessage(Now(), send.message);
          });
        });
      }
    }
  }

  void Transmit(bool partitioned, const std::function<void()>& deliver) {
    const int copies = m_random.Chance(m_faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      kernel::Duration delay = RandomDuration(milliseconds(1), milliseconds(4));
      if (m_random.Chance(m_faults.moderate_delay)) {
        delay = RandomDuration(milliseconds(1), milliseconds(700));
      }
      if (m_random.Chance(m_faults.long_delay)) {
        delay = m_random.Chance(0.5)
                    ? RandomDuration(seconds(1), seconds(20))
                    : RandomDuration(seconds(1), std::chrono::minutes(15));
      }
      if (!partitioned && !m_random.Chance(m_faults.loss)) {
        ScheduleAfter(delay, deliver);
      }
    }
  }

  AgentNode& FindAgent(const std::string& name) {
    return *std::find_if(m_agents.begin(), m_agents.end(),
                         [&](const AgentNode& a) { return a.name == name; });
  }

  // Endpoints.

  void StartExecution(AgentNode& agent, const calls::StartEndpointCall& start) {
    if (m_random.Chance(m_faults.endpoint_failure / 2)) {
      ScheduleAfter(milliseconds(1),
                    [this, &agent, run = agent.incarnation, call = start.call] {
                      NotifyGate(agent, run, [&agent, call](kernel::Time now) {
                        agent.gate->OnEndpointCallEnded(
                            now, call, calls::EndpointCallResult::kNotSent);
                      });
                    });
      return;
    }
    const int index = static_cast<int>(m_history.executions.size());
    Execution& execution = m_history.executions.emplace_back();
    execution.operation = std::stoi(start.body);
    execution.invocation = std::stoi(start.headers.at(0).value);
    execution.agent = {agent.name, agent.incarnation};
    execution.started = Now();
    execution.digest = agent.digest;
    agent.running[start.call] = index;
    const std::uint64_t run = agent.incarnation;
    ScheduleAfter(RandomDuration(milliseconds(1), milliseconds(20)),
                  [this, &agent, run, start] {
                    ProduceAnswer(agent, run, start.call, 0);
                  });
  }

  // Produces one step of an answer: the head, one of the parts, or the end.
  void ProduceAnswer(AgentNode& agent,
                     std::uint64_t run,
                     calls::EndpointCallId call,
                     int step) {
    const auto running = agent.running.find(call);
    if (agent.incarnation != run || running == agent.running.end()) {
      return;
    }
    Execution& execution = m_history.executions.at(running->second);
    const std::string name = std::to_string(running->second);
    if (m_random.Chance(m_faults.endpoint_failure)) {
      EndExecution(agent, call, calls::EndpointCallResult::kInterrupted);
      return;
    }
    if (step == 0) {
      NotifyGate(agent, run, [&agent, call](kernel::Time now) {
        agent.gate->OnEndpointHead(now, call, 200, {}, "");
      });
    } else if (step <= kParts) {
      const std::string part = name + "." + std::to_string(step) + " ";
      execution.body += part;
      NotifyGate(agent, run, [&agent, call, part](kernel::Time now) {
        agent.gate->OnEndpointData(now, call, part);
      });
    } else {
      EndExecution(agent, call, calls::EndpointCallResult::kComplete);
      return;
    }
    ScheduleAfter(
        RandomDuration(milliseconds(1), milliseconds(60)),
        [=, this, &agent] { ProduceAnswer(agent, run, call, step + 1); });
  }

  void EndExecution(AgentNode& agent,
                    calls::EndpointCallId call,
                    calls::EndpointCallResult result) {
    const auto running = agent.running.find(call);
    if (running == agent.running.end()) {
      return;
    }
    m_history.executions.at(running->second).complete =
        result == calls::EndpointCallResult::kComplete;
    agent.running.erase(running);
    // Scheduled after the current input, because a gate must not be called
    // while its outputs are processed.
    ScheduleAfter(kernel::Duration(0), [this, &agent, run = agent.incarnation,
                                        call, result] {
      NotifyGate(agent, run, [&agent, call, result](kernel::Time now) {
        agent.gate->OnEndpointCallEnded(now, call, result);
      });
    });
  }

  void NotifyGate(AgentNode& agent,
                  std::uint64_t run,
                  const std::function<void(kernel::Time)>& action) {
    PassInput(agent, [this, &agent, run, action] {
      if (agent.incarnation == run) {
        action(Now());
      }
    });
  }

  // Callers.

  void StartOperation(int operation) {
    Caller& caller = m_callers[operation];
    caller.kind = static_cast<OperationKind>(m_random.Below(4));
    switch (caller.kind) {
      case OperationKind::kIdempotent:
      case OperationKind::kNonIdempotent:
        Invoke(operation, "");
        break;
      case OperationKind::kNonIdempotentWithIssuedKey:
        RequestKey(operation);
        break;
      case OperationKind::kNonIdempotentWithCallerKey:
        caller.key = "own-" + std::to_string(operation);
        Invoke(operation, caller.key);
        break;
    }
  }

  calls::CallRequest Request(int operation) {
    calls::CallRequest request;
    request.service = m_document.service;
    request.workspace = "workspace-" + std::to_string(operation % 3);
    request.body = std::to_string(operation);
    const bool once = m_callers[operation].kind != OperationKind::kIdempotent;
    request.method = once ? "POST" : "GET";
    request.target = once ? "/deposits" : "/stock";
    return request;
  }

  void Invoke(int operation, const std::string& key) {
    const int index = static_cast<int>(m_history.invocations.size());
    Invocation& invocation = m_history.invocations.emplace_back();
    invocation.operation = operation;
    invocation.kind = m_callers[operation].kind;
    invocation.called = Now();
    invocation.detail = key;
    calls::CallRequest request = Request(operation);
    request.headers = {
        {.name = "x-invocation", .value = std::to_string(index)}};
    request.idempotency_key = key;
    m_key_by_invocation[index] = key;
    EntryNode& entry = RandomItem(m_entries);
    const calls::CallId call = ++m_last_call;
    entry.open[call] = index;
    const std::uint64_t run = entry.incarnation;
    PassInput(entry, [this, &entry, run, call, request] {
      if (entry.incarnation == run) {
        entry.core->OnCall(Now(), call, request);
      }
    });
    if (m_random.Chance(m_faults.caller_disconnect)) {
      ScheduleAfter(RandomDuration(milliseconds(0), milliseconds(300)),
                    [this, &entry, call] { DisconnectCaller(entry, call); });
    }
  }

  void DisconnectCaller(EntryNode& entry, calls::CallId call) {
    const auto open = entry.open.find(call);
    if (open == entry.open.end()) {
      return;
    }
    PassInput(entry, [this, &entry, call] {
      entry.core->OnCallerDisconnected(Now(), call);
    });
    MarkCallLost(open->second);
    entry.open.erase(open);
  }

  // Marks a call as lost unless its caller has received a final output.
  void MarkCallLost(int index) {
    Invocation& call = m_history.invocations.at(index);
    if (call.final_outputs == 0) {
      call.lost = true;
      RepeatIfAllowed(index, wire::OUTCOME_UNKNOWN, "");
    }
  }

  // Requests a key from a random entry. The operation starts or continues with
  // the key.
  void RequestKey(int operation) {
    EntryNode& entry = RandomItem(m_entries);
    const calls::CallId call = ++m_last_call;
    m_key_requests[call] = operation;
    calls::CallRequest request = Request(operation);
    request.method = "POST";
    request.target = std::string(calls::kIssueKeyTarget);
    PassInput(entry, [this, &entry, call, request] {
      entry.core->OnCall(Now(), call, request);
    });
  }

  void RecordOutput(EntryNode& entry, const calls::EntryOutput& output) {
    if (const auto* head = std::get_if<calls::AnswerHead>(&output)) {
      if (Invocation* observed = FindInvocation(entry, head->call)) {
        observed->digest = head->manifest_digest;
      }
    } else if (const auto* part = std::get_if<calls::AnswerPart>(&output)) {
      RecordPart(entry, *part);
    } else if (const auto* complete =
                   std::get_if<calls::AnswerComplete>(&output)) {
      if (Invocation* observed = FindInvocation(entry, complete->call)) {
        observed->complete = true;
        ++observed->final_outputs;
      }
      m_key_requests.erase(complete->call);
    } else if (const auto* failed = std::get_if<calls::CallFailed>(&output)) {
      RecordFailure(entry, *failed);
    }
  }

  Invocation* FindInvocation(EntryNode& entry, calls::CallId call) {
    const auto open = entry.open.find(call);
    if (open == entry.open.end()) {
      return nullptr;
    }
    Invocation& observed = m_history.invocations.at(open->second);
    observed.outputs_after_end += observed.final_outputs > 0 ? 1 : 0;
    return &observed;
  }

  void RecordPart(EntryNode& entry, const calls::AnswerPart& part) {
    if (Invocation* observed = FindInvocation(entry, part.call)) {
      observed->body += part.data;
      return;
    }
    const auto key_request = m_key_requests.find(part.call);
    if (key_request != m_key_requests.end()) {
      const std::size_t begin = part.data.find("rr1-");
      UseKey(key_request->second,
             part.data.substr(begin, part.data.rfind('"') - begin));
    }
  }

  // Makes the call with the key, sometimes twice at about the same time.
  void UseKey(int operation, const std::string& key) {
    if (!m_callers[operation].key.empty()) {
      return;  // An earlier answer contained a key.
    }
    m_callers[operation].key = key;
    ScheduleAfter(RandomDuration(milliseconds(0), milliseconds(400)),
                  [this, operation, key] { Invoke(operation, key); });
    if (m_random.Chance(0.3)) {
      ScheduleAfter(RandomDuration(milliseconds(0), milliseconds(400)),
                    [this, operation, key] { Invoke(operation, key); });
    }
  }

  void RecordFailure(EntryNode& entry, const calls::CallFailed& failed) {
    Invocation* observed = FindInvocation(entry, failed.call);
    if (observed != nullptr) {
      ++observed->final_outputs;
      observed->failed = failed.outcome;
      observed->detail += " " + failed.detail;
      RepeatIfAllowed(entry.open.at(failed.call), failed.outcome,
                      failed.issued_key);
      return;
    }
    const auto key_request = m_key_requests.find(failed.call);
    if (key_request != m_key_requests.end() &&
        m_callers[key_request->second].repeats++ < kMaximumRepeats) {
      ScheduleKeyRequest(key_request->second);
    }
  }

  void ScheduleKeyRequest(int operation) {
    ScheduleAfter(milliseconds(500),
                  [this, operation] { RequestKey(operation); });
  }

  // Repeats a call if its outcome allows that.
  void RepeatIfAllowed(int index,
                       wire::Outcome outcome,
                       const std::string& issued) {
    const Invocation& call = m_history.invocations.at(index);
    const int operation = call.operation;
    if (m_callers[operation].repeats++ >= kMaximumRepeats) {
      return;
    }
    const std::string key = m_key_by_invocation[index];
    if (key != m_callers[operation].key) {
      return;  // The caller uses another key by now.
    }
    const kernel::Duration short_delay =
        RandomDuration(milliseconds(1), milliseconds(600));
    const kernel::Duration long_repeat_delay =
        RandomDuration(seconds(5), seconds(20));
    const kernel::Duration delay =
        m_random.Chance(0.2) ? long_repeat_delay : short_delay;
    if (call.kind == OperationKind::kIdempotent ||
        (outcome == wire::OUTCOME_UNKNOWN && !key.empty())) {
      ScheduleAfter(delay, [this, operation, key] { Invoke(operation, key); });
    } else if (outcome == wire::OUTCOME_NOT_RUN && key.empty()) {
      ScheduleAfter(short_delay, [this, operation] { Invoke(operation, ""); });
    } else if (outcome == wire::OUTCOME_NOT_RUN) {
      m_callers[operation].key.clear();
      issued.empty() ? ScheduleKeyRequest(operation)
                     : UseKey(operation, issued);
    }
  }

  // Faults.

  void ScheduleFaults() {
    ScheduleRepeatedly(m_faults.restarts,
                       [this] { RestartAgent(RandomItem(m_agents)); });
    ScheduleRepeatedly(m_faults.entry_restarts,
                       [this] { RestartEntry(RandomItem(m_entries)); });
    ScheduleRepeatedly(m_faults.pauses,
                       [this] { Pause(RandomItem(m_agents)); });
    ScheduleRepeatedly(m_faults.pauses,
                       [this] { Pause(RandomItem(m_entries)); });
    ScheduleRepeatedly(m_faults.partitions, [this] { Partition(); });
    ScheduleRepeatedly(m_faults.departures,
                       [this] { StartDeparture(RandomItem(m_agents)); });
    ScheduleRepeatedly(m_faults.entry_departures,
                       [this] { DrainEntry(RandomItem(m_entries)); });
    ScheduleRepeatedly(m_faults.reloads,
                       [this] { Reload(RandomItem(m_agents)); });
  }

  void ScheduleRepeatedly(int times, const std::function<void()>& action) {
    for (int i = 0; i < times; ++i) {
      ScheduleAfter(RandomDuration(milliseconds(500), seconds(14)), action);
    }
  }

  void RestartAgent(AgentNode& agent) {
    const wire::ProcessKey old{agent.name, agent.incarnation};
    agent.paused_until = {};
    agent.inbox.clear();
    StartAgent(agent);
    for (EntryNode& entry : m_entries) {
      if (m_random.Chance(0.7)) {
        PassInput(entry, [this, &entry, old] {
          entry.core->OnPeerDisconnected(Now(), old);
        });
      }
    }
  }

  void RestartEntry(EntryNode& entry) {
    const wire::ProcessKey old{entry.name, entry.incarnation};
    entry.paused_until = {};
    entry.inbox.clear();
    StartEntry(entry);
    for (AgentNode& agent : m_agents) {
      if (m_random.Chance(0.7)) {
        PassInput(agent, [this, &agent, old] {
          agent.gate->OnPeerDisconnected(Now(), old);
        });
      }
    }
  }

  void Pause(Node& node) {
    node.paused_until =
        std::max(node.paused_until,
                 Now() + RandomDuration(milliseconds(100), seconds(8)));
    m_scheduler.At(node.paused_until, [this, &node] { Resume(node); });
  }

  void Partition() {
    EntryNode& entry = RandomItem(m_entries);
    AgentNode& agent = RandomItem(m_agents);
    m_partitions.emplace(entry.name, agent.name);
    if (m_random.Chance(0.5)) {
      const wire::ProcessKey lost{agent.name, agent.incarnation};
      PassInput(entry, [this, &entry, lost] {
        entry.core->OnPeerDisconnected(Now(), lost);
      });
      const wire::ProcessKey peer{entry.name, entry.incarnation};
      PassInput(agent, [this, &agent, peer] {
        agent.gate->OnPeerDisconnected(Now(), peer);
      });
    }
    ScheduleAfter(RandomDuration(milliseconds(200), seconds(6)),
                  [this, &entry, &agent] {
                    m_partitions.erase({entry.name, agent.name});
                  });
  }

  // Starts the departure of an agent. The agent receives the drain within 1.5
  // s; the entries see it as leaving after 1 to 5 s.
  void StartDeparture(AgentNode& agent) {
    const auto staying =
        std::count_if(m_agents.begin(), m_agents.end(),
                      [](const AgentNode& a) { return !a.leaving; });
    if (agent.leaving || staying <= 1) {
      return;
    }
    agent.leaving = true;
    agent.listed_leaving_at = Now() + RandomDuration(seconds(1), seconds(5));
    m_history.departures.push_back({.instance = agent.name, .at = Now()});
    ScheduleAfter(
        RandomDuration(milliseconds(0), milliseconds(1500)), [this, &agent] {
          PassInput(agent, [this, &agent] { agent.gate->OnDrain(Now()); });
        });
  }

  // Stops an entry as planned and restarts it after 3 s if no calls are in
  // progress. The load balancer still sends it calls meanwhile.
  void DrainEntry(EntryNode& entry) {
    PassInput(entry, [this, &entry] { entry.core->OnDrain(Now()); });
    ScheduleAfter(seconds(3), [this, &entry] {
      if (entry.core->CallsInProgress() == 0) {
        StartEntry(entry);
      }
    });
  }

  // Changes the weights of the endpoint, either after closing it for 3 s or
  // immediately, while it answers calls.
  void Reload(AgentNode& agent) {
    const std::string digest = "sha256:" + std::to_string(++m_last_digest);
    if (!m_faults.only_planned_stops && m_random.Chance(0.5)) {
      ChangeWeights(agent, digest);
      return;
    }
    PassInput(agent, [this, &agent] {
      agent.gate->OnEndpointState(Now(), agent.digest, false);
    });
    ScheduleAfter(seconds(3),
                  [this, &agent, digest] { ChangeWeights(agent, digest); });
  }

  void ChangeWeights(AgentNode& agent, const std::string& digest) {
    if (m_faults.only_planned_stops && !agent.running.empty()) {
      ScheduleAfter(seconds(1),
                    [this, &agent, digest] { ChangeWeights(agent, digest); });
      return;
    }
    agent.digest = digest;
    for (const auto& [call, execution] : agent.running) {
      m_history.executions.at(execution).version_changed = true;
    }
    PassInput(agent, [this, &agent, digest] {
      agent.gate->OnEndpointState(Now(), digest, true);
    });
  }

  static constexpr int kParts = 3;

  Faults m_faults;
  document::ServiceDocument m_document;
  kernel::Random m_random;
  Scheduler m_scheduler;
  History m_history;
  std::vector<EntryNode> m_entries;
  std::vector<AgentNode> m_agents;
  std::set<std::pair<std::string, std::string>> m_partitions;
  std::map<int, Caller> m_callers;
  std::map<int, std::string> m_key_by_invocation;  // By invocation.
  std::map<calls::CallId, int> m_key_requests;
  std::uint64_t m_last_incarnation = 0;
  calls::CallId m_last_call = 0;
  int m_last_digest = 1;
};

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_WORLD_H_
