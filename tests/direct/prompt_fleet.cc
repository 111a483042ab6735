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
// Of a service without an engine. One target is asked for by many callers.
constexpr milliseconds kPlainAnswerTime{80};
constexpr std::uint64_t kPopularShare = 3;

Configuration MakeFleetConfiguration(const PromptLoad& load) {
  RouteRule route;
  route.name = "route";
  route.host = "shop.example";
  route.prefix = "/a/";
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.maximum_attempts = 2;
  route.timeout = milliseconds(6000);
  route.services = {{"service", 1}};
  Configuration configuration;
  configuration.version = 1;
  configuration.services = {{.name = "service"}};
  if (load.plain) {
    route.kind =
        load.repeatable ? RouteKind::kIdempotent : RouteKind::kNonIdempotent;
  } else {
    EngineRule engine;
    engine.slots = kSlots;
    engine.model = "draft";
    configuration.services.front().engine = engine;
  }
  configuration.routes = {route};
  return configuration;
}

EndpointResponse ResponseHead(CallId call) {
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
    m_entries.push_back(MakeEntry(i));
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

std::unique_ptr<Entry> PromptFleet::MakeEntry(std::size_t index) {
  auto entry = std::make_unique<Entry>(
      EntrySettings{.name = "entry-" + std::to_string(index)},
      kernel::Random(m_random.Next()));
  entry->OnConfiguration(m_now, MakeFleetConfiguration(m_load));
  return entry;
}

void PromptFleet::RestartEntry() {
  const std::size_t index = m_random.Below(m_entries.size());
  m_entries[index] = MakeEntry(index);
  m_told_evidence[index] = 0;
  for (Endpoint& endpoint : m_endpoints) {
    std::erase_if(endpoint.work,
                  [index](const Work& work) { return work.entry == index; });
  }
  ListEndpoints();
  // A new process asks one of the others at once.
  if (m_entries.size() > 1) {
    Exchange(index, (index + 1 + m_random.Below(m_entries.size() - 1)) %
                        m_entries.size());
  }
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
    const std::size_t first = m_random.Below(m_entries.size());
    const std::size_t count =
        m_load.crashing_at_all_entries ? m_entries.size() : 1;
    for (std::size_t i = 0; i < count; ++i) {
      Offer((first + i) % m_entries.size(), /*crashing=*/true);
    }
  }
  if (m_load.all_endpoints_end && Since(m_now) >= *m_load.all_endpoints_end) {
    m_load.all_endpoints_end.reset();
    for (Endpoint& endpoint : m_endpoints) {
      End(endpoint);
    }
  }
  if (!m_load.entry_restarts.empty() &&
      Since(m_now) >= m_load.entry_restarts.front()) {
    m_load.entry_restarts.erase(m_load.entry_restarts.begin());
    RestartEntry();
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
      Exchange(i, m_random.Below(m_entries.size()));
    }
  }
}

void PromptFleet::Exchange(std::size_t first, std::size_t second) {
  m_entries[second]->OnCrashEvidence(m_now,
                                     m_entries[first]->CrashEvidence(m_now));
  m_entries[first]->OnCrashEvidence(m_now,
                                    m_entries[second]->CrashEvidence(m_now));
}

void PromptFleet::Offer(std::size_t entry, bool crashing) {
  const CallId call = ++m_last_call;
  const CallerRequest request = MakeRequest(call, crashing);
  m_offered[{entry, call}] = {m_now, crashing, false};
  m_entries[entry]->OnRequest(m_now, m_now.time_since_epoch(), call,
                              std::make_shared<const CallerRequest>(request));
  CarryOut(entry);
}

CallerRequest PromptFleet::MakeRequest(CallId call, bool crashing) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/a/b";
  request.host = "shop.example";
  request.attempt_id = "id-" + std::to_string(call);
  request.time_left = milliseconds(6000);
  request.received_at = m_now;
  const std::string crashing_name =
      kCrashingPart + std::to_string((crashing ? m_crashing_offered++ : 0) %
                                     m_load.crashing_parts);
  if (m_load.plain) {
    const bool popular = m_random.Below(kPopularShare) == 0;
    request.path = "/a/" + (crashing  ? crashing_name
                            : popular ? "popular"
                                      : "own" + std::to_string(call));
    request.body = "order";
  } else {
    request.body = "prompt " + std::to_string(call);
    request.prompt_parts = {
        "first", crashing
                     ? crashing_name
                     : "subject" + std::to_string(m_random.Below(kSubjects))};
  }
  request.target = request.path;
  return request;
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
    if (work == endpoint.work.end() || work->crashes) {
      continue;
    }
    if (m_load.plain) {
      if (m_now >= work->begins + kPlainAnswerTime) {
        endpoint.work.erase(work);
        Answer(item);
      }
      continue;
    }
    if (m_now < work->begins + kEventInterval * (work->events + 1)) {
      continue;
    }
    Entry& entry = *m_entries[item.entry];
    if (work->events == 0) {
      entry.OnResponseHead(m_now, item.call, ResponseHead(item.call));
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

void PromptFleet::Answer(const Work& work) {
  Entry& entry = *m_entries[work.entry];
  entry.OnResponseHead(m_now, work.call, ResponseHead(work.call));
  entry.OnResponseBody(m_now, work.call, "answer");
  entry.OnResponseEnd(m_now, work.call);
  CarryOut(work.entry);
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
    } else if (const auto* reply = std::get_if<SendResponse>(&output)) {
      m_offered[{entry, reply->call}].answered = reply->status == 200;
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
  const milliseconds prefill = m_load.plain ? milliseconds(0) : kPrefill;
  endpoint->work.push_back({entry, send.call, m_now + prefill, crashing});
  m_entries[entry]->OnSending(m_now, send.call);
}

void PromptFleet::Cancel(std::size_t entry, CallId call) {
  for (Endpoint& endpoint : m_endpoints) {
    std::erase_if(endpoint.work, [entry, call](const Work& work) {
      return work.entry == entry && work.call == call;
    });
  }
}

std::uint64_t PromptFleet::LateCrashingArrivals(std::size_t crashes,
                                                milliseconds settling) const {
  if (m_crashes.size() < crashes) {
    return 0;
  }
  const kernel::Time bound = m_crashes[crashes - 1] + settling;
  return static_cast<std::uint64_t>(std::ranges::count_if(
      m_crashing_arrivals,
      [bound](kernel::Time time) { return time > bound; }));
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
