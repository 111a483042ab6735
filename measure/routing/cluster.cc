#include "measure/routing/cluster.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace radishrudder::measure {
namespace {

constexpr std::uint32_t kDataCentres = 3;
constexpr double kDistanceInsideSeconds = 0.0005;
constexpr double kDistanceBetweenSeconds = 0.005;
constexpr double kWarmUpSeconds = 30;
constexpr double kSampleSeconds = 0.1;
constexpr double kPercent = 100;
constexpr std::uint64_t kIncarnation = 1;
constexpr double kCachedShareAtCapacity = 0.5;

double CallsPerSecond(const Options& options) {
  return options.load_factor * options.endpoints *
         EngineCallsPerSecond({}, kCachedShareAtCapacity);
}

// Generators with nearby seeds for different purposes.
kernel::Random Seeded(const Options& options, std::uint64_t purpose) {
  kernel::Random random(options.seed);
  const std::uint64_t base = random.Next();
  return kernel::Random(base ^ (purpose * 0x9e3779b97f4a7c15ULL));
}

}  // namespace

Cluster::Cluster(const Options& options, std::string_view policy)
    : m_options(options),
      m_begin(m_events.Now() + FromSeconds(kWarmUpSeconds)),
      m_random(Seeded(options, 1)),
      m_workload(options.workspaces,
                 options.shared_percent / kPercent,
                 CallsPerSecond(options),
                 Seeded(options, 2)) {
  AddEndpoints();
  AddEntries(policy);
}

Figures Cluster::Run() {
  ScheduleCall();
  const double lag = m_options.lag_ms / 1'000.0;
  for (std::uint32_t i = 0; i < m_endpoints.size(); ++i) {
    ScheduleReport(i, lag * m_random.Uniform());
  }
  m_events.After(kSampleSeconds, [this] { Sample(); });
  m_events.RunUntil(m_begin + FromSeconds(m_options.seconds));
  return m_figures.Take();
}

void Cluster::AddEndpoints() {
  m_endpoints.resize(m_options.endpoints);
  for (std::uint32_t i = 0; i < m_endpoints.size(); ++i) {
    EndpointState& state = m_endpoints[i];
    state.engine = std::make_unique<Engine>(EngineSettings{}, m_events);
    state.endpoint.instance = "runner-" + std::to_string(i);
    state.endpoint.incarnation = kIncarnation;
    state.endpoint.data_centre = std::to_string(i % kDataCentres);
    state.endpoint.load = state.engine->Load();
  }
}

void Cluster::AddEntries(std::string_view policy) {
  for (std::uint32_t i = 0; i < m_options.entries; ++i) {
    routing::RouterSettings settings;
    settings.entry = "entry-" + std::to_string(i);
    settings.policy = policy;
    Entry entry;
    entry.data_centre = i % kDataCentres;
    entry.router =
        std::make_unique<routing::Router>(settings, Seeded(m_options, 100 + i));
    std::vector<routing::Endpoint> endpoints;
    for (std::uint32_t j = 0; j < m_endpoints.size(); ++j) {
      endpoints.push_back(m_endpoints[j].endpoint);
      endpoints.back().distance_seconds = Distance(entry, j);
    }
    entry.router->OnEndpoints(m_events.Now(), endpoints);
    m_entries.push_back(std::move(entry));
  }
}

double Cluster::Distance(const Entry& entry, std::uint32_t endpoint) const {
  return entry.data_centre == endpoint % kDataCentres ? kDistanceInsideSeconds
                                                      : kDistanceBetweenSeconds;
}

void Cluster::ScheduleCall() {
  const double now = ToSeconds(m_events.Now().time_since_epoch());
  m_events.After(m_workload.SecondsToNext(now), [this] { OnCall(); });
}

void Cluster::OnCall() {
  ScheduleCall();
  const Prompt prompt = m_workload.NextPrompt();
  const auto entry =
      static_cast<std::uint32_t>(m_random.Below(m_entries.size()));
  routing::Router& router = *m_entries[entry].router;
  routing::RouteRequest request;
  request.call.prefix_hash = prompt.prefix;
  request.call.prefix_share = static_cast<double>(prompt.prefix_tokens) /
                              (prompt.prefix_tokens + prompt.own_tokens);
  const routing::Route route = router.Choose(m_events.Now(), request);
  if (route.reason != routing::NoRoute::kNone) {
    std::cerr << "no route to any endpoint\n";
    std::abort();
  }
  router.OnSent(m_events.Now(), {route.instance, route.incarnation},
                request.call);
  const auto chosen = std::find_if(
      m_endpoints.begin(), m_endpoints.end(), [&](const EndpointState& state) {
        return state.endpoint.instance == route.instance;
      });
  Send(entry, static_cast<std::uint32_t>(chosen - m_endpoints.begin()), prompt,
       m_events.Now());
}

void Cluster::Send(std::uint32_t entry,
                   std::uint32_t endpoint,
                   const Prompt& prompt,
                   kernel::Time called) {
  const double distance = Distance(m_entries[entry], endpoint);
  const auto first_byte = std::make_shared<kernel::Duration>();
  EngineCall call;
  call.prompt = prompt;
  call.on_first_token = [=, this](bool hit) {
    *first_byte = m_events.Now() + FromSeconds(distance) - called;
    OnFirstToken(called, distance, hit);
  };
  call.on_end = [=, this] {
    const routing::LoadReport load = m_endpoints[endpoint].engine->Load();
    m_events.After(distance, [=, this] {
      m_entries[entry].router->OnAnswered(
          m_events.Now(),
          {m_endpoints[endpoint].endpoint.instance, kIncarnation},
          {.first_byte = *first_byte, .load = load});
    });
  };
  m_events.After(distance,
                 [=, this] { m_endpoints[endpoint].engine->Submit(call); });
}

void Cluster::OnFirstToken(kernel::Time called, double distance, bool hit) {
  if (called >= m_begin) {
    m_figures.OnFirstToken(ToSeconds(m_events.Now() - called) + distance, hit);
  }
}

void Cluster::ScheduleReport(std::uint32_t endpoint, double seconds) {
  m_events.After(seconds, [=, this] { Report(endpoint); });
}

// A report is made every `lag` and travels half of it, so that the one in use
// is as old as the lag in the mean.
void Cluster::Report(std::uint32_t endpoint) {
  const double lag = m_options.lag_ms / 1'000.0;
  ScheduleReport(endpoint, lag);
  routing::Endpoint report = m_endpoints[endpoint].endpoint;
  report.load = m_endpoints[endpoint].engine->Load();
  m_events.After(lag / 2, [=, this] {
    for (Entry& entry : m_entries) {
      routing::Endpoint seen = report;
      seen.distance_seconds = Distance(entry, endpoint);
      entry.router->OnEndpoint(m_events.Now(), seen);
    }
  });
  ReportCache(endpoint);
}

void Cluster::ReportCache(std::uint32_t endpoint) {
  EndpointState& state = m_endpoints[endpoint];
  CacheMessage message;
  message.events = state.engine->TakeCacheEvents();
  if (message.events.empty()) {
    return;
  }
  message.first_sequence = state.next_cache_sequence;
  state.next_cache_sequence += message.events.size();
  for (Entry& entry : m_entries) {
    if (m_random.Chance(m_options.gap_percent / kPercent)) {
      continue;
    }
    m_events.After(m_options.lag_ms / 1'000.0, [&entry, &state, message, this] {
      entry.router->OnCacheEvents(
          m_events.Now(), state.endpoint.instance,
          {.first_sequence = message.first_sequence, .events = message.events});
    });
  }
}

void Cluster::Sample() {
  m_events.After(kSampleSeconds, [this] { Sample(); });
  if (m_events.Now() < m_begin) {
    return;
  }
  std::vector<std::size_t> calls;
  for (const EndpointState& state : m_endpoints) {
    calls.push_back(state.engine->Calls());
  }
  m_figures.OnSample(calls);
}

}  // namespace radishrudder::measure
