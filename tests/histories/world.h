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

// Some entries and agents of one service, a network that delays, loses,
// repeats and reorders, fake endpoints, and callers who repeat calls as far as
// the outcomes allow. All of it is drawn from the seed. `Entry` and `Gate`
// have the interfaces of calls::EntryCore and calls::AgentGate.
template <typename Entry, typename Gate>
class World {
 public:
  World(Faults faults, document::ServiceDocument document)
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
      At(Between(milliseconds(0), seconds(12)),
         [this, i] { StartOperation(i); });
    }
    for (kernel::Duration t{0}; t < kActive; t += milliseconds(50)) {
      At(t, [this] { Tick(); });
    }
    for (kernel::Duration t = kActive; t < kHorizon; t += milliseconds(450)) {
      At(t, [this] { TickGates(); });
    }
    for (kernel::Duration t = kActive; t < kHorizon; t += seconds(9)) {
      At(t, [this] { Tick(); });
    }
    m_scheduler.RunAll();
    return std::move(m_history);
  }

 private:
  static constexpr int kEntries = 3;
  static constexpr int kAgents = 4;
  static constexpr int kOperations = 60;
  static constexpr int kMaximumRepeats = 4;
  static constexpr kernel::Duration kActive = seconds(45);
  static constexpr kernel::Duration kHorizon = std::chrono::minutes(20);

  struct Node {
    std::string name;
    std::uint64_t incarnation = 0;
    kernel::Time paused_until{};
    std::deque<std::function<void()>> inbox{};
  };
  struct EntryNode : Node {
    std::unique_ptr<Entry> core;
    std::map<calls::CallId, int> open;  // Invocations by call.
    std::map<std::string, calls::EndpointView> view;
    bool draining = false;
  };
  struct AgentNode : Node {
    std::unique_ptr<Gate> gate;
    std::map<calls::EndpointCallId, int> running;  // Executions by call.
    std::string digest = "sha256:1";
    bool leaving = false;
    kernel::Time listed_leaving{};
  };
  struct Caller {
    OperationKind kind = OperationKind::kIdempotent;
    int repeats = 0;
    std::string key;  // The one in use; empty while it asks for another.
  };

  kernel::Time Now() const { return m_scheduler.Now(); }
  void At(kernel::Duration delay, std::function<void()> action) {
    m_scheduler.After(delay, std::move(action));
  }
  kernel::Duration Between(kernel::Duration low, kernel::Duration high) {
    return low + kernel::Duration(static_cast<std::int64_t>(
                     m_random.Below((high - low).count() + 1)));
  }
  template <typename T>
  T& Any(std::vector<T>& items) {
    return items[m_random.Below(items.size())];
  }

  // Gives an input to a node now, or once it runs again; inputs keep their
  // order.
  void Input(Node& node, std::function<void()> action) {
    if (node.paused_until > Now() || !node.inbox.empty()) {
      node.inbox.push_back(std::move(action));
      return;
    }
    action();
    Flush();
  }

  void Wake(Node& node) {
    if (node.paused_until > Now()) {
      return;  // Paused again; that pause wakes it.
    }
    while (!node.inbox.empty()) {
      const std::function<void()> action = std::move(node.inbox.front());
      node.inbox.pop_front();
      action();
      Flush();
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
      LoseCall(invocation);
    }
    entry.open.clear();
    entry.incarnation = ++m_last_incarnation;
    entry.core = std::make_unique<Entry>(
        calls::EntrySettings{.self = {entry.name, entry.incarnation}},
        kernel::Random(m_random.Next()));
    entry.core->OnDocument(Now(), m_document);
    entry.view.clear();
    RefreshView(entry, 1.0);
  }

  // Agents come into an entry's view late, and not through a partition.
  void RefreshView(EntryNode& entry, double chance) {
    for (const AgentNode& agent : m_agents) {
      if (IsCut(entry.name, agent.name) || !m_random.Chance(chance)) {
        continue;
      }
      const bool listed = agent.leaving && Now() >= agent.listed_leaving;
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
        RefreshView(entry, 0.3);
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
    Flush();
  }

  // Carries out what the cores ask for, until they ask for nothing.
  void Flush() {
    for (EntryNode& entry : m_entries) {
      for (const calls::EntryOutput& output : entry.core->TakeOutputs()) {
        if (const auto* send = std::get_if<wire::Send>(&output)) {
          SendToAgent(entry, *send);
        } else {
          Show(entry, output);
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
                       calls::EndpointEnd::kInterrupted);
        }
      }
    }
  }

  // Network.

  bool IsCut(const std::string& entry, const std::string& agent) const {
    return m_cut.contains({entry, agent});
  }

  void SendToAgent(EntryNode& entry, const wire::Send& send) {
    AgentNode& agent = AgentNamed(send.to);
    const std::uint64_t run = entry.incarnation;
    if (IsCut(entry.name, agent.name) && m_random.Chance(0.5)) {
      At(milliseconds(1), [this, &entry, run, send] {
        Input(entry, [&entry, run, send, now = Now()] {
          if (entry.incarnation == run) {
            entry.core->OnSendFailed(now, send.message);
          }
        });
      });
      return;
    }
    Transmit(IsCut(entry.name, agent.name), [this, &agent, send] {
      Input(agent, [this, &agent, send] {
        agent.gate->OnMessage(Now(), {}, send.message);
      });
    });
  }

  void SendToEntry(AgentNode& agent, const wire::Send& send) {
    for (EntryNode& entry : m_entries) {
      if (entry.name == send.to) {
        Transmit(IsCut(entry.name, agent.name), [this, &entry, send] {
          Input(entry, [this, &entry, send] {
            entry.core->OnMessage(Now(), send.message);
          });
        });
      }
    }
  }

  void Transmit(bool cut, const std::function<void()>& deliver) {
    const int copies = m_random.Chance(m_faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      kernel::Duration delay = Between(milliseconds(1), milliseconds(4));
      if (m_random.Chance(m_faults.slow)) {
        delay = Between(milliseconds(1), milliseconds(700));
      }
      if (m_random.Chance(m_faults.very_late)) {
        delay = m_random.Chance(0.5)
                    ? Between(seconds(1), seconds(20))
                    : Between(seconds(1), std::chrono::minutes(15));
      }
      if (!cut && !m_random.Chance(m_faults.loss)) {
        At(delay, deliver);
      }
    }
  }

  AgentNode& AgentNamed(const std::string& name) {
    return *std::find_if(m_agents.begin(), m_agents.end(),
                         [&](const AgentNode& a) { return a.name == name; });
  }

  // Endpoints.

  void StartExecution(AgentNode& agent, const calls::StartEndpointCall& start) {
    if (m_random.Chance(m_faults.endpoint_failure / 2)) {
      At(milliseconds(1),
         [this, &agent, run = agent.incarnation, call = start.call] {
           ToGate(agent, run, [&agent, call](kernel::Time now) {
             agent.gate->OnEndpointEnd(now, call, calls::EndpointEnd::kNotSent);
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
    At(Between(milliseconds(1), milliseconds(20)),
       [this, &agent, run, start] { Generate(agent, run, start.call, 0); });
  }

  // Gives one step of an answer: its head, parts, then the end.
  void Generate(AgentNode& agent,
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
      EndExecution(agent, call, calls::EndpointEnd::kInterrupted);
      return;
    }
    if (step == 0) {
      ToGate(agent, run, [&agent, call](kernel::Time now) {
        agent.gate->OnEndpointHead(now, call, 200, {}, "");
      });
    } else if (step <= kParts) {
      const std::string part = name + "." + std::to_string(step) + " ";
      execution.body += part;
      ToGate(agent, run, [&agent, call, part](kernel::Time now) {
        agent.gate->OnEndpointData(now, call, part);
      });
    } else {
      EndExecution(agent, call, calls::EndpointEnd::kComplete);
      return;
    }
    At(Between(milliseconds(1), milliseconds(60)),
       [=, this, &agent] { Generate(agent, run, call, step + 1); });
  }

  void EndExecution(AgentNode& agent,
                    calls::EndpointCallId call,
                    calls::EndpointEnd end) {
    const auto running = agent.running.find(call);
    if (running == agent.running.end()) {
      return;
    }
    m_history.executions.at(running->second).complete =
        end == calls::EndpointEnd::kComplete;
    agent.running.erase(running);
    // After the current input, for gates are not called from within.
    At(kernel::Duration(0), [this, &agent, run = agent.incarnation, call, end] {
      ToGate(agent, run, [&agent, call, end](kernel::Time now) {
        agent.gate->OnEndpointEnd(now, call, end);
      });
    });
  }

  void ToGate(AgentNode& agent,
              std::uint64_t run,
              const std::function<void(kernel::Time)>& action) {
    Input(agent, [this, &agent, run, action] {
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
      case OperationKind::kOnce:
        Invoke(operation, "");
        break;
      case OperationKind::kOnceWithKey:
        AskForKey(operation);
        break;
      case OperationKind::kOnceWithOwnKey:
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
    m_keys[index] = key;
    EntryNode& entry = Any(m_entries);
    const calls::CallId call = ++m_last_call;
    entry.open[call] = index;
    const std::uint64_t run = entry.incarnation;
    Input(entry, [this, &entry, run, call, request] {
      if (entry.incarnation == run) {
        entry.core->OnCall(Now(), call, request);
      }
    });
    if (m_random.Chance(m_faults.caller_leaves)) {
      At(Between(milliseconds(0), milliseconds(300)),
         [this, &entry, call] { LeaveCall(entry, call); });
    }
  }

  void LeaveCall(EntryNode& entry, calls::CallId call) {
    const auto open = entry.open.find(call);
    if (open == entry.open.end()) {
      return;
    }
    Input(entry,
          [this, &entry, call] { entry.core->OnCallerGone(Now(), call); });
    LoseCall(open->second);
    entry.open.erase(open);
  }

  // The caller will see no end of this call, unless it has seen one.
  void LoseCall(int index) {
    Invocation& call = m_history.invocations.at(index);
    if (call.ends == 0) {
      call.lost = true;
      Decide(index, wire::OUTCOME_UNKNOWN, "");
    }
  }

  // Asks any entry for a key; the operation begins, or goes on, with it.
  void AskForKey(int operation) {
    EntryNode& entry = Any(m_entries);
    const calls::CallId call = ++m_last_call;
    m_asking[call] = operation;
    calls::CallRequest request = Request(operation);
    request.method = "POST";
    request.target = std::string(calls::kIssueKeyTarget);
    Input(entry, [this, &entry, call, request] {
      entry.core->OnCall(Now(), call, request);
    });
  }

  void Show(EntryNode& entry, const calls::EntryOutput& output) {
    if (const auto* head = std::get_if<calls::AnswerHead>(&output)) {
      if (Invocation* seen = Seen(entry, head->call)) {
        seen->digest = head->manifest_digest;
      }
    } else if (const auto* part = std::get_if<calls::AnswerPart>(&output)) {
      ShowPart(entry, *part);
    } else if (const auto* whole =
                   std::get_if<calls::AnswerComplete>(&output)) {
      if (Invocation* seen = Seen(entry, whole->call)) {
        seen->whole = true;
        ++seen->ends;
      }
      m_asking.erase(whole->call);
    } else if (const auto* failed = std::get_if<calls::CallFailed>(&output)) {
      ShowFailure(entry, *failed);
    }
  }

  Invocation* Seen(EntryNode& entry, calls::CallId call) {
    const auto open = entry.open.find(call);
    if (open == entry.open.end()) {
      return nullptr;
    }
    Invocation& seen = m_history.invocations.at(open->second);
    seen.outputs_after_end += seen.ends > 0 ? 1 : 0;
    return &seen;
  }

  void ShowPart(EntryNode& entry, const calls::AnswerPart& part) {
    if (Invocation* seen = Seen(entry, part.call)) {
      seen->body += part.data;
      return;
    }
    const auto asking = m_asking.find(part.call);
    if (asking != m_asking.end()) {
      const std::size_t begin = part.data.find("rr1-");
      UseKey(asking->second,
             part.data.substr(begin, part.data.rfind('"') - begin));
    }
  }

  // Calls with the key, sometimes through two entries at the same time.
  void UseKey(int operation, const std::string& key) {
    if (!m_callers[operation].key.empty()) {
      return;  // Another answer brought one before.
    }
    m_callers[operation].key = key;
    At(Between(milliseconds(0), milliseconds(400)),
       [this, operation, key] { Invoke(operation, key); });
    if (m_random.Chance(0.3)) {
      At(Between(milliseconds(0), milliseconds(400)),
         [this, operation, key] { Invoke(operation, key); });
    }
  }

  void ShowFailure(EntryNode& entry, const calls::CallFailed& failed) {
    Invocation* seen = Seen(entry, failed.call);
    if (seen != nullptr) {
      ++seen->ends;
      seen->failed = failed.outcome;
      seen->detail += " " + failed.detail;
      Decide(entry.open.at(failed.call), failed.outcome, failed.issued_key);
      return;
    }
    const auto asking = m_asking.find(failed.call);
    if (asking != m_asking.end() &&
        m_callers[asking->second].repeats++ < kMaximumRepeats) {
      AskForKeySoon(asking->second);
    }
  }

  void AskForKeySoon(int operation) {
    At(milliseconds(500), [this, operation] { AskForKey(operation); });
  }

  // Repeats a call in every way that its outcome allows.
  void Decide(int index, wire::Outcome outcome, const std::string& issued) {
    const Invocation& call = m_history.invocations.at(index);
    const int operation = call.operation;
    if (m_callers[operation].repeats++ >= kMaximumRepeats) {
      return;
    }
    const std::string key = m_keys[index];
    if (key != m_callers[operation].key) {
      return;  // The caller has gone on with another key.
    }
    const kernel::Duration soon = Between(milliseconds(1), milliseconds(600));
    const kernel::Duration late = Between(seconds(5), seconds(20));
    const kernel::Duration delay = m_random.Chance(0.2) ? late : soon;
    if (call.kind == OperationKind::kIdempotent ||
        (outcome == wire::OUTCOME_UNKNOWN && !key.empty())) {
      At(delay, [this, operation, key] { Invoke(operation, key); });
    } else if (outcome == wire::OUTCOME_NOT_RUN && key.empty()) {
      At(soon, [this, operation] { Invoke(operation, ""); });
    } else if (outcome == wire::OUTCOME_NOT_RUN) {
      m_callers[operation].key.clear();
      issued.empty() ? AskForKeySoon(operation) : UseKey(operation, issued);
    }
  }

  // Faults.

  void ScheduleFaults() {
    Repeat(m_faults.restarts, [this] { RestartAgent(Any(m_agents)); });
    Repeat(m_faults.entry_restarts, [this] { RestartEntry(Any(m_entries)); });
    Repeat(m_faults.pauses, [this] { Pause(Any(m_agents)); });
    Repeat(m_faults.pauses, [this] { Pause(Any(m_entries)); });
    Repeat(m_faults.partitions, [this] { Partition(); });
    Repeat(m_faults.departures, [this] { Leave(Any(m_agents)); });
    Repeat(m_faults.entry_departures, [this] { DrainEntry(Any(m_entries)); });
    Repeat(m_faults.reloads, [this] { Reload(Any(m_agents)); });
  }

  void Repeat(int times, const std::function<void()>& action) {
    for (int i = 0; i < times; ++i) {
      At(Between(milliseconds(500), seconds(14)), action);
    }
  }

  void RestartAgent(AgentNode& agent) {
    const wire::ProcessKey old{agent.name, agent.incarnation};
    agent.paused_until = {};
    agent.inbox.clear();
    StartAgent(agent);
    for (EntryNode& entry : m_entries) {
      if (m_random.Chance(0.7)) {
        Input(entry,
              [this, &entry, old] { entry.core->OnPeerLost(Now(), old); });
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
        Input(agent,
              [this, &agent, old] { agent.gate->OnPeerLost(Now(), old); });
      }
    }
  }

  void Pause(Node& node) {
    node.paused_until = std::max(
        node.paused_until, Now() + Between(milliseconds(100), seconds(8)));
    m_scheduler.At(node.paused_until, [this, &node] { Wake(node); });
  }

  void Partition() {
    EntryNode& entry = Any(m_entries);
    AgentNode& agent = Any(m_agents);
    m_cut.emplace(entry.name, agent.name);
    if (m_random.Chance(0.5)) {
      const wire::ProcessKey lost{agent.name, agent.incarnation};
      Input(entry,
            [this, &entry, lost] { entry.core->OnPeerLost(Now(), lost); });
      const wire::ProcessKey peer{entry.name, entry.incarnation};
      Input(agent,
            [this, &agent, peer] { agent.gate->OnPeerLost(Now(), peer); });
    }
    At(Between(milliseconds(200), seconds(6)), [this, &entry, &agent] {
      m_cut.erase({entry.name, agent.name});
    });
  }

  // The agent hears within 1.5 s that it leaves, the entries' list later.
  void Leave(AgentNode& agent) {
    const auto staying =
        std::count_if(m_agents.begin(), m_agents.end(),
                      [](const AgentNode& a) { return !a.leaving; });
    if (agent.leaving || staying <= 1) {
      return;
    }
    agent.leaving = true;
    agent.listed_leaving = Now() + Between(seconds(1), seconds(5));
    m_history.departures.push_back({.instance = agent.name, .at = Now()});
    At(Between(milliseconds(0), milliseconds(1500)), [this, &agent] {
      Input(agent, [this, &agent] { agent.gate->OnDrain(Now()); });
    });
  }

  // A planned stop of an entry; the balancer sends it calls for a while.
  void DrainEntry(EntryNode& entry) {
    Input(entry, [this, &entry] { entry.core->OnDrain(Now()); });
    At(seconds(3), [this, &entry] {
      if (entry.core->CallsInProgress() == 0) {
        StartEntry(entry);
      }
    });
  }

  // The endpoint comes back with other weights: after a drain, or in the
  // middle of its answers.
  void Reload(AgentNode& agent) {
    const std::string digest = "sha256:" + std::to_string(++m_last_digest);
    if (!m_faults.only_planned_stops && m_random.Chance(0.5)) {
      Load(agent, digest);
      return;
    }
    Input(agent, [this, &agent] {
      agent.gate->OnEndpointState(Now(), agent.digest, false);
    });
    At(seconds(3), [this, &agent, digest] { Load(agent, digest); });
  }

  void Load(AgentNode& agent, const std::string& digest) {
    if (m_faults.only_planned_stops && !agent.running.empty()) {
      At(seconds(1), [this, &agent, digest] { Load(agent, digest); });
      return;
    }
    agent.digest = digest;
    for (const auto& [call, execution] : agent.running) {
      m_history.executions.at(execution).mixed = true;
    }
    Input(agent, [this, &agent, digest] {
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
  std::set<std::pair<std::string, std::string>> m_cut;
  std::map<int, Caller> m_callers;
  std::map<int, std::string> m_keys;  // By invocation.
  std::map<calls::CallId, int> m_asking;
  std::uint64_t m_last_incarnation = 0;
  calls::CallId m_last_call = 0;
  int m_last_digest = 1;
};

}  // namespace radishrudder::histories

#endif  // TESTS_HISTORIES_WORLD_H_
