#include "tests/direct/prompt_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr std::size_t kSubjects = 60;
constexpr std::uint32_t kSlots = 16;
constexpr milliseconds kPrefill{200};
constexpr milliseconds kEventInterval{70};
constexpr int kEvents = 16;
// From the beginning of an answer to the end of the endpoint.
constexpr milliseconds kCrashDelay{60};
constexpr milliseconds kDownTime{3700};
constexpr char kCrashingPart[] = "bad";
constexpr milliseconds kExchangeInterval{250};
constexpr std::size_t kExchangeFanOut = 4;

Configuration MakeFleetConfiguration() {
  RouteRule route;
  route.name = "route";
  route.host = "shop.example";
  route.prefix = "/a/";
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.maximum_attempts = 2;
  route.timeout = milliseconds(6000);
  route.services = {{"service", 1}};
  EngineRule engine;
  engine.slots = kSlots;
  engine.model = "draft";
  Configuration configuration;
  configuration.version = 1;
  configuration.routes = {route};
  configuration.services = {{.name = "service", .engine = engine}};
  return configuration;
}

EndpointResponse StreamHead(CallId call) {
  EndpointResponse head;
  head.status = 200;
  head.attempt_id = "id-" + std::to_string(call);
  head.has_signature = true;
  return head;
}

}  // namespace

PromptFleet::PromptFleet(const PromptLoad& load, std::uint64_t seed)
    : m_load(load), m_random(seed) {
  for (std::size_t i = 0; i < load.entries; ++i) {
    m_entries.push_back(std::make_unique<Entry>(
        EntrySettings{.name = "entry-" + std::to_string(i)},
        kernel::Random(m_random.Next())));
    m_entries.back()->OnConfiguration(m_now, MakeFleetConfiguration());
  }
  for (std::size_t i = 0; i < load.endpoints; ++i) {
    Endpoint endpoint;
    endpoint.listed.id = "i-" + std::to_string(i);
    endpoint.listed.service = "service";
    endpoint.listed.address = endpoint.listed.id;
    endpoint.listed.slots = kSlots;
    endpoint.listed.started = 1;
    endpoint.listed.model = "draft";
    endpoint.listed.model_version = 1;
    m_endpoints.push_back(std::move(endpoint));
  }
  m_told_evidence.resize(m_entries.size());
  ListEndpoints();
}

milliseconds PromptFleet::Since(kernel::Time time) const {
  return std::chrono::duration_cast<milliseconds>(time - m_start);
}

void PromptFleet::Run() {
  while (Since(m_now) < m_load.duration) {
    Step();
  }
}

void PromptFleet::Step() {
  m_now += kStep;
  const double seconds = std::chrono::duration<double>(kStep).count();
  m_sound_due += m_load.sound_per_second * seconds;
  for (; m_sound_due >= 1; m_sound_due -= 1) {
    Offer(m_random.Below(m_entries.size()), /*crashing=*/false);
  }
  if (Since(m_now) >= m_load.crashing_from) {
    m_crashing_due += m_load.crashing_per_second * seconds;
  }
  for (; m_crashing_due >= 1; m_crashing_due -= 1) {
    Offer(m_random.Below(m_entries.size()), /*crashing=*/true);
  }
  if (m_load.all_endpoints_end && Since(m_now) >= *m_load.all_endpoints_end) {
    m_load.all_endpoints_end.reset();
    for (Endpoint& endpoint : m_endpoints) {
      End(endpoint);
    }
  }
  for (Endpoint& endpoint : m_endpoints) {
    AdvanceEndpoint(endpoint);
  }
  ExchangeEvidence();
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    m_entries[i]->OnConfigurationConfirmed(m_now.time_since_epoch());
    m_entries[i]->OnTick(m_now);
    CarryOut(i);
  }
}

void PromptFleet::ExchangeEvidence() {
  if (m_now < m_next_exchange) {
    return;
  }
  m_next_exchange = m_now + kExchangeInterval;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (m_entries[i]->CrashEvidenceRevision() == m_told_evidence[i]) {
      continue;
    }
    m_told_evidence[i] = m_entries[i]->CrashEvidenceRevision();
    for (std::size_t k = 0; k < kExchangeFanOut; ++k) {
      const std::size_t other = m_random.Below(m_entries.size());
      m_entries[other]->OnCrashEvidence(m_now,
                                        m_entries[i]->CrashEvidence(m_now));
      m_entries[i]->OnCrashEvidence(m_now,
                                    m_entries[other]->CrashEvidence(m_now));
    }
  }
}

void PromptFleet::Offer(std::size_t entry, bool crashing) {
  const CallId call = ++m_last_call;
  CallerRequest request;
  request.method = "POST";
  request.target = "/a/b";
  request.path = "/a/b";
  request.host = "shop.example";
  request.attempt_id = "id-" + std::to_string(call);
  request.time_left = milliseconds(6000);
  request.received_at = m_now;
  request.prompt_parts = {
      "first", crashing
                   ? kCrashingPart + std::to_string(m_crashing_offered++ %
                                                    m_load.crashing_parts)
                   : "subject" + std::to_string(m_random.Below(kSubjects))};
  m_offered[{entry, call}] = {m_now, crashing, false};
  m_entries[entry]->OnRequest(m_now, m_now.time_since_epoch(), call,
                              std::make_shared<const CallerRequest>(request));
  CarryOut(entry);
}

void PromptFleet::ListEndpoints() {
  std::vector<ListedEndpoint> listed;
  for (const Endpoint& endpoint : m_endpoints) {
    listed.push_back(endpoint.listed);
  }
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    m_entries[i]->OnEndpoints(m_now, listed);
    CarryOut(i);
  }
}

void PromptFleet::AdvanceEndpoint(Endpoint& endpoint) {
  if (endpoint.back_at) {
    if (m_now >= *endpoint.back_at) {
      endpoint.back_at.reset();
      ++endpoint.listed.started;
      ListEndpoints();
    }
    return;
  }
  const bool crashes =
      std::ranges::any_of(endpoint.work, [this](const Work& work) {
        return work.crashes && m_now >= work.begins + kCrashDelay;
      });
  if (crashes) {
    m_crashes.push_back(m_now);
    End(endpoint);
    return;
  }
  // Carrying out outputs may add or cancel work.
  const std::vector<Work> in_progress = endpoint.work;
  for (const Work& item : in_progress) {
    const auto work = std::ranges::find_if(
        endpoint.work, [&item](const Work& w) { return w.call == item.call; });
    if (work == endpoint.work.end() || work->crashes ||
        m_now < work->begins + kEventInterval * (work->events + 1)) {
      continue;
    }
    Entry& entry = *m_entries[item.entry];
    if (work->events == 0) {
      entry.OnResponseHead(m_now, item.call, StreamHead(item.call));
    }
    const int id = ++work->events;
    const bool last = id == kEvents;
    if (last) {
      endpoint.work.erase(work);
    }
    entry.OnResponseBody(m_now, item.call,
                         "id: " + std::to_string(id) + "\ndata: a\n\n");
    if (last) {
      entry.OnResponseEnd(m_now, item.call);
    }
    CarryOut(item.entry);
  }
}

void PromptFleet::End(Endpoint& endpoint) {
  endpoint.back_at = m_now + kDownTime;
  for (const Work& work : std::exchange(endpoint.work, {})) {
    m_entries[work.entry]->OnAttemptFailed(m_now, work.call,
                                           AttemptFailure::kInterrupted);
    CarryOut(work.entry);
  }
}

void PromptFleet::CarryOut(std::size_t entry) {
  for (const Output& output : m_entries[entry]->TakeOutputs()) {
    if (const auto* send = std::get_if<SendAttempt>(&output)) {
      Carry(entry, *send);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&output)) {
      Cancel(entry, cancel->call);
    } else if (const auto* finish = std::get_if<FinishResponse>(&output)) {
      m_offered[{entry, finish->call}].answered = true;
    }
  }
}

void PromptFleet::Carry(std::size_t entry, const SendAttempt& send) {
  const auto endpoint =
      std::ranges::find_if(m_endpoints, [&send](const Endpoint& item) {
        return item.listed.id == send.endpoint_id;
      });
  if (endpoint->back_at) {
    m_entries[entry]->OnAttemptFailed(m_now, send.call,
                                      AttemptFailure::kNotSent);
    CarryOut(entry);
    return;
  }
  const bool crashing = m_offered[{entry, send.call}].crashing;
  if (crashing) {
    m_crashing_arrivals.push_back(m_now);
  }
  endpoint->work.push_back({entry, send.call, m_now + kPrefill, crashing});
  m_entries[entry]->OnSending(m_now, send.call);
}

void PromptFleet::Cancel(std::size_t entry, CallId call) {
  for (Endpoint& endpoint : m_endpoints) {
    std::erase_if(endpoint.work, [entry, call](const Work& work) {
      return work.entry == entry && work.call == call;
    });
  }
}

std::uint64_t PromptFleet::LateCrashingArrivals(milliseconds settling) const {
  constexpr std::size_t kFifth = 4;
  if (m_crashes.size() <= kFifth) {
    return 0;
  }
  return static_cast<std::uint64_t>(std::ranges::count_if(
      m_crashing_arrivals, [this, settling](kernel::Time time) {
        return time > m_crashes[kFifth] + settling;
      }));
}

PromptCounts PromptFleet::Sound(milliseconds from, milliseconds to) const {
  PromptCounts counts;
  for (const auto& [key, offered] : m_offered) {
    const milliseconds at = Since(offered.at);
    if (!offered.crashing && at >= from && at < to) {
      ++counts.offered;
      counts.answered += offered.answered ? 1 : 0;
    }
  }
  return counts;
}

}  // namespace radishrudder::direct
