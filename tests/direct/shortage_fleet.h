#ifndef TESTS_DIRECT_SHORTAGE_FLEET_H_
#define TESTS_DIRECT_SHORTAGE_FLEET_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/direct/entry.h"
#include "tests/direct/shortage_result.h"

namespace radishrudder::direct {
using std::chrono::milliseconds;
using Ranks = std::array<double, 3>;

inline constexpr std::array kTargets{milliseconds(400), milliseconds(400),
                                     milliseconds(1000)};
inline constexpr milliseconds kStep{10};
inline constexpr milliseconds kWarmUp{5000};
inline constexpr milliseconds kLoadEnd{25000};
inline constexpr milliseconds kEnd{40000};
inline constexpr milliseconds kCallTime{10000};
inline constexpr milliseconds kEventInterval{50};
inline constexpr milliseconds kReportInterval{150};
inline constexpr milliseconds kExchangeInterval{2000};
// Time until the list shows that an endpoint is lost.
inline constexpr milliseconds kListDelay{2000};
inline constexpr std::size_t kEndpoints = 12;
inline constexpr std::size_t kDataCentres = 4;
inline constexpr std::uint32_t kSlots = 12;
inline constexpr std::uint32_t kTokensPerEvent = 5;
inline constexpr double kMeanEvents = 30;
inline constexpr int kMaximumReturns = 3;
// Calls a second that the endpoints can complete; the first event takes an
// interval too.
inline constexpr double kCapacity = kEndpoints * kSlots / (kMeanEvents * 0.05);

struct ShortageCase {
  std::string name;
  Ranks load{0.3, 0.3, 0.4};  // Of the capacity, by rank.
  bool one_data_centre = false;
  bool endpoints_lost = false;
  bool callers_return = false;
  double large_share = 0;            // Calls of five times the usual length.
  double first_workspace_share = 0;  // 0: all workspaces send alike.
  double leaving_share = 0;          // Callers who leave early.
  bool urgent_fits = true;           // The most urgent rank alone fits.
  std::size_t entries = 4;
};

inline Configuration MakeRankedConfiguration() {
  Configuration configuration;
  configuration.version = 1;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    RouteRule route;
    route.name = "route-" + std::to_string(rank);
    route.host = "shop.example";
    route.prefix = "/" + std::to_string(rank) + "/";
    route.kind = RouteKind::kStream;
    route.maximum_attempts = 2;
    route.priority = rank;
    route.timeout = kCallTime;
    route.latency_target = kTargets[rank];
    route.services = {{"service", 1}};
    configuration.routes.push_back(route);
  }
  EngineRule engine;
  engine.slots = kSlots;
  engine.model = "draft";
  engine.step_ms = 9.6;
  engine.step_ms_per_call = 0.0388;
  engine.prompt_tokens_per_s = 19100;
  engine.tokens_per_event = kTokensPerEvent;
  engine.mean_prompt_tokens = 100;
  engine.mean_answer_tokens = kMeanEvents * kTokensPerEvent;
  configuration.services = {{.name = "service", .engine = engine}};
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    configuration.workspaces.push_back(
        {.name = "w" + std::to_string(i), .keys = {"k" + std::to_string(i)}});
  }
  return configuration;
}

// Entries in front of endpoints that cannot take all calls, with routes of
// three priorities, on a simulated clock.
class ShortageFleet {
 public:
  ShortageFleet(const ShortageCase& load, std::uint64_t seed)
      : m_load(load), m_random(seed), m_endpoints(kEndpoints) {
    for (std::size_t i = 0; i < load.entries; ++i) {
      EntrySettings settings{.name = "entry-" + std::to_string(i)};
      settings.data_centre = DataCentre(i);
      m_entries.push_back(
          std::make_unique<Entry>(settings, kernel::Random(m_random.Next())));
      m_entries.back()->OnConfiguration(m_now, MakeRankedConfiguration());
      m_entries.back()->OnEntryCount(load.entries);
    }
    SendList();
  }

  Result Run() {
    while (Elapsed() < kEnd) {
      Step();
    }
    for (const auto& [id, call] : m_calls) {
      Count(call);
    }
    return m_result;
  }

 private:
  struct SimulatedCall {
    std::size_t entry = 0;
    std::uint32_t rank = 0;
    std::size_t workspace = 0;
    int events = 0;
    bool large = false;
    bool measured = false;
    int returns = 0;
    kernel::Time offered{};
    std::optional<kernel::Time> leaves_at{};
    int responses = 0;
    bool left = false;
    bool in_target = false;
    bool complete = false;
    bool returned = false;  // Another call took its place.
  };
  struct Work {
    CallId call = 0;
    std::uint32_t priority = 0;
    std::optional<kernel::Time> next_event{};  // Nothing: waits for a slot.
    int events = 0;                            // That were sent.
  };
  struct Endpoint {
    std::vector<Work> work;  // Running calls first.
    bool lost = false;
  };

  static std::string DataCentre(std::size_t i) {
    return std::string(1, static_cast<char>('a' + i % kDataCentres));
  }
  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(m_now - m_start);
  }

  void SendList() {
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      if (m_endpoints[i].lost) {
        continue;
      }
      ListedEndpoint endpoint;
      endpoint.id = endpoint.address = std::to_string(i);
      endpoint.service = "service";
      endpoint.data_centre = DataCentre(i);
      endpoint.slots = kSlots;
      endpoint.started = 1;
      endpoint.model = "draft";
      endpoint.model_version = 1;
      listed.push_back(endpoint);
    }
    for (const auto& entry : m_entries) {
      entry->OnEndpoints(m_now, listed);
    }
  }

  void Step() {
    m_now += kStep;
    if (Elapsed() < kLoadEnd) {
      OfferCalls();
    }
    if (m_load.endpoints_lost && Elapsed() == kWarmUp) {
      LoseEndpoints();
    }
    if (m_load.endpoints_lost && Elapsed() == kWarmUp + kListDelay) {
      SendList();
    }
    for (Endpoint& endpoint : m_endpoints) {
      Advance(endpoint);
    }
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      const auto tick = static_cast<std::size_t>(Elapsed() / kStep);
      if ((tick + i) % static_cast<std::size_t>(kReportInterval / kStep) == 0) {
        Report(i);
      }
    }
    if (Elapsed().count() % kExchangeInterval.count() == 0) {
      Exchange();
    }
    LeaveEarly();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      m_entries[i]->OnConfigurationConfirmed(m_now.time_since_epoch());
      m_entries[i]->OnTick(m_now);
      CarryOut(i);
    }
  }

  void OfferCalls() {
    const bool burst = Elapsed() >= kWarmUp;
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
      const double load = burst ? m_load.load[rank] : 0.2;
      m_due[rank] += load * kCapacity / MeanLength() *
                     std::chrono::duration<double>(kStep).count() * 2 *
                     m_random.Uniform();
      for (; m_due[rank] >= 1; m_due[rank] -= 1) {
        Offer(MakeCall(rank));
      }
    }
  }

  double MeanLength() const { return 1 + 4 * m_load.large_share; }

  SimulatedCall MakeCall(std::uint32_t rank) {
    SimulatedCall call;
    call.rank = rank;
    call.entry = m_random.Below(m_load.entries);
    if (m_load.one_data_centre && Elapsed() >= kWarmUp) {
      call.entry -= call.entry % kDataCentres;
    }
    call.workspace = m_random.Uniform() < m_load.first_workspace_share
                         ? 0
                         : m_random.Below(kWorkspaces);
    const double length = 0.5 + m_random.Uniform();
    call.large = m_load.large_share > 0
                     ? m_random.Uniform() < m_load.large_share
                     : length > 1.4;
    call.events = static_cast<int>(std::lround(
        kMeanEvents * length * (m_load.large_share > 0 && call.large ? 5 : 1)));
    call.measured = Elapsed() >= kWarmUp;
    call.offered = m_now;
    if (m_random.Uniform() < m_load.leaving_share) {
      call.leaves_at = m_now + milliseconds(10 + m_random.Below(1000));
    }
    return call;
  }

  void Offer(const SimulatedCall& call) {
    const CallId id = ++m_last_call;
    CallerRequest request;
    request.method = "POST";
    request.target = request.path = "/" + std::to_string(call.rank) + "/b";
    request.host = "shop.example";
    request.attempt_id = "id-" + std::to_string(id);
    request.key = "k" + std::to_string(call.workspace);
    request.time_left = kCallTime;
    request.prompt_tokens = 100;
    request.answer_tokens_estimate = call.events * kTokensPerEvent;
    request.received_at = m_now;
    m_calls[id] = call;
    m_entries[call.entry]->OnRequest(
        m_now, m_now.time_since_epoch(), id,
        std::make_shared<const CallerRequest>(request));
    CarryOut(call.entry);
  }

  void CarryOut(std::size_t entry) {
    for (const Output& output : m_entries[entry]->TakeOutputs()) {
      if (const auto* send = std::get_if<SendAttempt>(&output)) {
        Send(entry, *send);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&output)) {
        for (Endpoint& endpoint : m_endpoints) {
          std::erase_if(endpoint.work, [cancel](const Work& work) {
            return work.call == cancel->call;
          });
        }
      } else if (const auto* reply = std::get_if<SendResponse>(&output)) {
        Respond(reply->call);
      } else if (const auto* start = std::get_if<StartResponse>(&output)) {
        SimulatedCall& call = m_calls.at(start->call);
        ++call.responses;
        call.in_target = m_now - call.offered <= kTargets[call.rank];
      } else if (const auto* finish = std::get_if<FinishResponse>(&output)) {
        m_calls.at(finish->call).complete = true;
      }
    }
  }

  void Respond(CallId id) {
    SimulatedCall& call = m_calls.at(id);
    ++call.responses;
    if (m_load.callers_return && call.returns < kMaximumReturns) {
      call.returned = true;
      SimulatedCall again = call;
      again.responses = 0;
      again.returned = false;
      ++again.returns;
      again.offered = m_now;
      Offer(again);
    }
  }

  void Send(std::size_t entry, const SendAttempt& send) {
    Endpoint& endpoint = m_endpoints[std::stoul(send.endpoint_id)];
    if (endpoint.lost) {
      m_entries[entry]->OnAttemptFailed(m_now, send.call,
                                        AttemptFailure::kNotSent);
      CarryOut(entry);
      return;
    }
    const Work work{.call = send.call, .priority = send.priority.value_or(0)};
    const auto place = std::ranges::find_if(endpoint.work, [&](const Work& w) {
      return !w.next_event && w.priority > work.priority;
    });
    endpoint.work.insert(place, work);
    m_entries[entry]->OnSending(m_now, send.call);
    CarryOut(entry);
  }

  void Advance(Endpoint& endpoint) {
    // Calls that were running or due when the step began; handling one may
    // change the queue.
    std::vector<CallId> running;
    for (std::size_t i = 0;
         i < std::min<std::size_t>(endpoint.work.size(), kSlots); ++i) {
      running.push_back(endpoint.work[i].call);
    }
    for (const CallId id : running) {
      const auto work = std::ranges::find(endpoint.work, id, &Work::call);
      if (work == endpoint.work.end()) {
        continue;
      }
      if (!work->next_event) {
        work->next_event = m_now + kEventInterval;
      } else if (m_now >= *work->next_event) {
        work->next_event = m_now + kEventInterval;
        SendEvent(endpoint, *work);
      }
    }
  }

  void SendEvent(Endpoint& endpoint, Work& work) {
    const CallId id = work.call;
    const SimulatedCall& call = m_calls.at(id);
    Entry& entry = *m_entries[call.entry];
    if (work.events == 0) {
      EndpointResponse head;
      head.status = 200;
      head.attempt_id = "id-" + std::to_string(id);
      head.has_signature = true;
      head.delimited = true;
      head.load = LoadOf(endpoint);
      entry.OnResponseHead(m_now, id, head);
    }
    const bool last = ++work.events >= call.events;
    entry.OnResponseBody(m_now, id, "data: a\n\n");
    if (last) {
      std::erase_if(endpoint.work,
                    [id](const Work& other) { return other.call == id; });
      entry.OnResponseEnd(m_now, id);
    }
    CarryOut(call.entry);
  }

  routing::LoadReport LoadOf(const Endpoint& endpoint) const {
    const auto running = static_cast<std::uint32_t>(
        std::min<std::size_t>(endpoint.work.size(), kSlots));
    return {
        .running = running,
        .waiting = static_cast<std::uint32_t>(endpoint.work.size()) - running,
        .capacity = kSlots};
  }

  void Report(std::size_t i) {
    if (m_endpoints[i].lost) {
      return;
    }
    const routing::LoadReport load = LoadOf(m_endpoints[i]);
    const EndpointLoadReport report{.service = "service",
                                    .endpoint = std::to_string(i),
                                    .started = 1,
                                    .running = load.running,
                                    .waiting = load.waiting,
                                    .model_version = 1,
                                    .measured_at = m_now};
    for (const auto& entry : m_entries) {
      entry->OnLoadReports(m_now, {&report, 1});
    }
  }

  void LoseEndpoints() {
    for (std::size_t i = 0; i < kEndpoints; i += 3) {
      m_endpoints[i].lost = true;
      for (const Work& work : std::exchange(m_endpoints[i].work, {})) {
        const std::size_t entry = m_calls.at(work.call).entry;
        m_entries[entry]->OnAttemptFailed(m_now, work.call,
                                          AttemptFailure::kInterrupted);
        CarryOut(entry);
      }
    }
  }

  void Exchange() {
    for (const auto& entry : m_entries) {
      Entry& other = *m_entries[m_random.Below(m_entries.size())];
      other.OnDemands(m_now, entry->Demands(m_now));
      entry->OnDemands(m_now, other.Demands(m_now));
    }
  }

  void LeaveEarly() {
    if (m_load.leaving_share == 0) {
      return;
    }
    for (auto& [id, call] : m_calls) {
      if (call.leaves_at && m_now >= *call.leaves_at && !call.left) {
        call.left = true;
        m_entries[call.entry]->OnCallerDisconnected(m_now, id);
        CarryOut(call.entry);
      }
    }
  }

  void Count(const SimulatedCall& call) {
    m_result.unanswered += !call.left && call.responses == 0 ? 1 : 0;
    m_result.answered_twice += call.responses > 1 ? 1 : 0;
    if (!call.measured || call.leaves_at || call.returned) {
      return;
    }
    const bool good = call.complete && call.in_target;
    const auto add = [&](Share& share) {
      share.offered += 1;
      share.good += good ? 1 : 0;
      share.served += call.complete ? 1 : 0;
    };
    add(m_result.ranks[call.rank]);
    add(m_result.workspaces[call.workspace]);
    add(m_result.all);
    if (call.large) {
      add(m_result.largest);
    }
    m_result.goodput += good ? call.events : 0;
  }

  ShortageCase m_load;
  kernel::Random m_random;
  kernel::Time m_start{std::chrono::hours(1)};
  kernel::Time m_now = m_start;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<Endpoint> m_endpoints;
  Ranks m_due{};
  std::map<CallId, SimulatedCall> m_calls;
  CallId m_last_call = 0;
  Result m_result;
};

}  // namespace radishrudder::direct

#endif  // TESTS_DIRECT_SHORTAGE_FLEET_H_
