#include "simulation.h"

#include <cmath>
#include <utility>
#include <variant>

namespace radishrudder::measure {

namespace {

constexpr kernel::Duration kMessageDelay = std::chrono::milliseconds(1);
constexpr kernel::Duration kTickInterval = std::chrono::milliseconds(10);
constexpr kernel::Duration kViewInterval = std::chrono::milliseconds(500);

kernel::Duration Seconds(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(seconds));
}

kernel::Duration Exponential(kernel::Random& random, double mean) {
  return Seconds(-mean * std::log(1 - random.Uniform()));
}

}  // namespace

Simulation::Simulation(Load load) : m_load(load), m_random(load.seed) {
  m_document.service = "shop-api";
  m_document.kind = document::ServiceKind::kPlain;
  m_document.calls.timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(kTimeout);
  m_document.calls.endpoint_concurrency = kConcurrency;
  m_agents.resize(load.endpoints);
  for (int i = 0; i < load.endpoints; ++i) {
    m_agents[i].key.instance = "agent-" + std::to_string(i);
    StartAgent(m_agents[i]);
  }
  for (int i = 0; i < load.entries; ++i) {
    m_entries.push_back(std::make_unique<calls::EntryCore>(
        calls::EntrySettings{.self = {"entry-" + std::to_string(i), 1}},
        kernel::Random(m_random.Next())));
    m_entries.back()->OnDocument(m_scheduler.Now(), m_document);
  }
}

Figures Simulation::Run() {
  m_end = m_scheduler.Now() + m_load.duration;
  m_figures.seconds = std::chrono::duration<double>(m_load.duration).count();
  m_figures.answered_by_workspace.resize(m_load.workspaces);
  m_figures.calls_by_workspace.resize(m_load.workspaces);
  const double share = Capacity() / m_load.workspaces;
  for (int i = 0; i < m_load.workspaces; ++i) {
    const bool floods = i == 0 && m_load.flood > 0;
    ScheduleCalls(i, share * (floods ? m_load.flood : m_load.load_factor));
  }
  m_scheduler.ScheduleAfter(m_load.duration / 2, [this] { KillSome(); });
  ShareEndpoints();
  Tick();
  m_scheduler.RunAll();
  return std::move(m_figures);
}

void Simulation::StartAgent(Agent& agent) {
  agent.key.incarnation = ++m_last_incarnation;
  agent.gate = std::make_unique<calls::AgentGate>(
      calls::GateSettings{.self = agent.key, .service = m_document.service},
      kernel::Random(m_random.Next()));
  agent.gate->OnDocument(m_scheduler.Now(), m_document);
  agent.gate->OnEndpointState(m_scheduler.Now(), "", true);
}

void Simulation::ShareEndpoints() {
  for (const auto& entry : m_entries) {
    std::vector<calls::EndpointView> views;
    for (const Agent& agent : m_agents) {
      views.push_back(
          {.instance = agent.key.instance,
           .incarnation = agent.key.incarnation,
           .running = static_cast<std::uint32_t>(agent.gate->CallsInProgress()),
           .waiting = static_cast<std::uint32_t>(agent.gate->CallsWaiting()),
           .capacity = kConcurrency});
    }
    entry->OnEndpoints(m_scheduler.Now(), m_document.service, std::move(views));
  }
  if (m_scheduler.Now() < m_end) {
    m_scheduler.ScheduleAfter(kViewInterval, [this] { ShareEndpoints(); });
  }
}

void Simulation::ScheduleCalls(int workspace, double per_second) {
  if (m_scheduler.Now() >= m_end) {
    return;
  }
  m_scheduler.ScheduleAfter(Exponential(m_random, 1 / per_second),
                            [this, workspace, per_second] {
                              Call(workspace);
                              ScheduleCalls(workspace, per_second);
                            });
}

void Simulation::Call(int workspace) {
  const calls::CallId id = ++m_last_call;
  ++m_figures.calls;
  ++m_figures.calls_by_workspace[workspace];
  m_open[id] = {.workspace = workspace,
                .deadline = m_scheduler.Now() + kTimeout};
  calls::CallRequest request;
  request.service = m_document.service;
  request.workspace = "workspace-" + std::to_string(workspace);
  request.method = "GET";
  request.target = "/stock";
  m_entries[m_random.Below(m_entries.size())]->OnCall(m_scheduler.Now(), id,
                                                      std::move(request));
  Flush();
}

void Simulation::Tick() {
  for (const auto& entry : m_entries) {
    entry->OnTick(m_scheduler.Now());
  }
  for (const Agent& agent : m_agents) {
    agent.gate->OnTick(m_scheduler.Now());
  }
  Flush();
  if (m_scheduler.Now() < m_end + 2 * kTimeout) {
    m_scheduler.ScheduleAfter(kTickInterval, [this] { Tick(); });
  }
}

void Simulation::Flush() {
  for (const auto& entry : m_entries) {
    FlushEntry(*entry);
  }
  for (Agent& agent : m_agents) {
    FlushAgent(agent);
  }
}

void Simulation::FlushEntry(calls::EntryCore& entry) {
  for (const calls::EntryOutput& output : entry.TakeOutputs()) {
    if (const auto* send = std::get_if<wire::Send>(&output)) {
      m_figures.attempts += send->message.has_start_attempt() ? 1 : 0;
      m_scheduler.ScheduleAfter(kMessageDelay, [this, send = *send] {
        for (Agent& agent : m_agents) {
          if (agent.key.instance == send.to) {
            agent.gate->OnMessage(m_scheduler.Now(), {}, send.message);
          }
        }
        Flush();
      });
    } else if (const auto* whole =
                   std::get_if<calls::AnswerComplete>(&output)) {
      const OpenCall& call = m_open.at(whole->call);
      if (m_scheduler.Now() <= call.deadline) {
        ++m_figures.answered;
        ++m_figures.answered_by_workspace[call.workspace];
      }
    }
  }
}

void Simulation::FlushAgent(Agent& agent) {
  for (const calls::GateOutput& output : agent.gate->TakeOutputs()) {
    if (const auto* send = std::get_if<wire::Send>(&output)) {
      m_scheduler.ScheduleAfter(kMessageDelay, [this, send = *send] {
        const std::size_t index = std::stoul(send.to.substr(6));
        m_entries[index]->OnMessage(m_scheduler.Now(), send.message);
        Flush();
      });
    } else if (const auto* start =
                   std::get_if<calls::StartEndpointCall>(&output)) {
      StartAtEndpoint(agent, *start);
    }
  }
}

void Simulation::StartAtEndpoint(Agent& agent,
                                 const calls::StartEndpointCall& start) {
  const kernel::Duration time = m_load.all_failing
                                    ? std::chrono::milliseconds(5)
                                    : Exponential(m_random, kServiceSeconds);
  m_scheduler.ScheduleAfter(
      time, [this, &agent, run = agent.key.incarnation, call = start.call] {
        if (agent.key.incarnation != run) {
          return;
        }
        const kernel::Time now = m_scheduler.Now();
        if (!m_load.all_failing) {
          agent.gate->OnEndpointHead(now, call, 200, {}, "");
          agent.gate->OnEndpointData(now, call, "answer");
        }
        agent.gate->OnEndpointCallEnded(
            now, call,
            m_load.all_failing ? calls::EndpointCallResult::kInterrupted
                               : calls::EndpointCallResult::kComplete);
        Flush();
      });
}

void Simulation::KillSome() {
  const int killed = m_load.endpoints * m_load.kill_percent / 100;
  for (int i = 0; i < killed; ++i) {
    const wire::ProcessKey old = m_agents[i].key;
    StartAgent(m_agents[i]);
    for (const auto& entry : m_entries) {
      entry->OnPeerDisconnected(m_scheduler.Now(), old);
    }
  }
  Flush();
}

}  // namespace radishrudder::measure
