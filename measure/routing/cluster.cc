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
// Without a cache to fill, only the queues and the learned costs settle.
constexpr double kPublishedWarmUpSeconds = 10;
constexpr double kSampleSeconds = 0.1;
constexpr double kPercent = 100;
constexpr std::uint64_t kIncarnation = 1;
constexpr double kCachedShareAtCapacity = 0.5;

CallSizes SizesOf(const Options& options) {
  if (!options.published_engine) {
    return {};
  }
  CallSizes sizes = kPublishedSizes;
  sizes.output_spread = options.output_spread;
  return sizes;
}

// The load is relative to what the engines can do with slow endpoints counted.
double CallsPerSecond(const Options& options,
                      const EngineSettings& engine,
                      const CallSizes& sizes) {
  const double slow = options.slow_percent / kPercent;
  const double mean_speed = 1 - slow + slow / options.pace_factor;
  return options.load_factor * options.endpoints * mean_speed *
         EngineCallsPerSecond(engine, MeanOfWorkload(sizes),
                              kCachedShareAtCapacity);
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
      m_exact_cost(policy.ends_with(kExactSuffix)),
      m_sizes(SizesOf(options)),
      m_engine(options.published_engine ? PublishedEngine() : EngineSettings()),
      m_begin(m_events.Now() + FromSeconds(options.published_engine
                                               ? kPublishedWarmUpSeconds
                                               : kWarmUpSeconds)),
      m_random(Seeded(options, 1)),
      m_workload(options.workspaces,
                 options.shared_percent / kPercent,
                 CallsPerSecond(options, m_engine, m_sizes),
                 m_sizes,
                 Seeded(options, 2)) {
  for (std::uint32_t i = 0; i < options.workspaces; ++i) {
    m_workspace_names.push_back("workspace-" + std::to_string(i));
  }
  AddEndpoints();
  AddEntries(RegisteredName(policy));
}

Figures Cluster::Run() {
  if (m_options.published_engine) {
    m_workload.StartAt(ToSeconds(m_events.Now().time_since_epoch()));
  }
  ScheduleCall();
  if (m_options.slow_percent > 0) {
    DrawPaces();
  }
  const double lag = m_options.lag_ms / 1'000.0;
  for (std::uint32_t i = 0; i < m_endpoints.size(); ++i) {
    ScheduleReport(i, lag * m_random.Uniform());
  }
  m_events.After(kSampleSeconds, [this] { Sample(); });
  m_events.RunUntil(m_begin + FromSeconds(m_options.seconds));
  Figures figures = m_figures.Take();
  figures.cost_error_median = MeanOverEntries(&routing::CallCosts::MedianError);
  figures.cost_error_high = MeanOverEntries(&routing::CallCosts::HighError);
  return figures;
}

double Cluster::MeanOverEntries(double (routing::CallCosts::*error)()
                                    const) const {
  double sum = 0;
  for (const Entry& entry : m_entries) {
    sum += (entry.costs.*error)();
  }
  return sum / static_cast<double>(m_entries.size());
}

void Cluster::DrawPaces() {
  m_events.After(m_options.pace_ms / 1'000.0, [this] { DrawPaces(); });
  for (const EndpointState& state : m_endpoints) {
    const bool slow = m_random.Chance(m_options.slow_percent / kPercent);
    state.engine->SetPace(slow ? m_options.pace_factor : 1);
  }
}

void Cluster::AddEndpoints() {
  m_endpoints.resize(m_options.endpoints);
  for (std::uint32_t i = 0; i < m_endpoints.size(); ++i) {
    EndpointState& state = m_endpoints[i];
    state.engine = std::make_unique<Engine>(m_engine, m_events);
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
    if (m_options.published_engine) {
      entry.router->SetEngine(PublishedFigures());
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
  const routing::CallCost cost = CostOf(m_entries[entry], prompt);
  routing::RouteRequest request;
  if (m_options.published_engine) {
    request.call.cost = &cost;
    request.call.seconds_to_deadline = m_options.deadline_ms / 1'000.0;
  } else {
    request.call.prefix_hash = prompt.prefix;
    request.call.prefix_share = static_cast<double>(prompt.prefix_tokens) /
                                (prompt.prefix_tokens + prompt.own_tokens);
  }
  const routing::Route route = router.Choose(m_events.Now(), request);
  if (route.reason != routing::NoRoute::kNone) {
    std::cerr << "no route to any endpoint\n";
    std::abort();
  }
  const auto chosen =
      std::ranges::find_if(m_endpoints, [&route](const EndpointState& state) {
        return state.endpoint.instance == route.instance;
      });
  const auto call = std::make_shared<SentCall>(SentCall{
      .entry = entry,
      .endpoint = static_cast<std::uint32_t>(chosen - m_endpoints.begin()),
      .id = m_next_call,
      .prompt = prompt,
      .called = m_events.Now()});
  ++m_next_call;
  router.OnSent(m_events.Now(), RunOf(*call), request.call);
  Send(call);
}

routing::EndpointRun Cluster::RunOf(const SentCall& call) const {
  return {m_endpoints[call.endpoint].endpoint.instance, kIncarnation, call.id};
}

routing::CallFeatures Cluster::FeaturesOf(const Prompt& prompt) const {
  return {.route = "route",
          .workspace = m_workspace_names[prompt.workspace],
          .prompt_tokens =
              static_cast<double>(prompt.prefix_tokens) + prompt.own_tokens,
          .answer_estimate = prompt.output_estimate};
}

routing::CallCost Cluster::CostOf(const Entry& entry,
                                  const Prompt& prompt) const {
  const routing::CallFeatures features = FeaturesOf(prompt);
  if (m_exact_cost) {
    const double output = prompt.output_tokens;
    return {features.prompt_tokens, output, output};
  }
  return entry.costs.Estimate(features);
}

void Cluster::Send(const std::shared_ptr<SentCall>& sent) {
  const double distance = Distance(m_entries[sent->entry], sent->endpoint);
  EngineCall call;
  call.prompt = sent->prompt;
  if (m_options.published_engine) {
    call.deadline =
        sent->called + std::chrono::milliseconds(m_options.deadline_ms);
  }
  call.on_first_token = [=, this](bool hit) {
    OnFirstToken(*sent, distance, hit);
  };
  call.on_event = [=, this](std::uint32_t events) {
    if (m_options.published_engine) {
      m_events.After(distance, [=, this] {
        m_entries[sent->entry].router->OnProgress(RunOf(*sent), events);
      });
    }
  };
  call.on_end = [=, this](std::uint32_t tokens, bool complete) {
    OnEnd(sent, tokens, complete);
  };
  m_events.After(distance, [=, this] {
    m_endpoints[sent->endpoint].engine->Submit(call);
  });
}

void Cluster::OnFirstToken(SentCall& call, double distance, bool hit) {
  call.first_byte = m_events.Now() + FromSeconds(distance) - call.called;
  if (call.called >= m_begin) {
    m_figures.OnFirstToken(ToSeconds(*call.first_byte), hit);
  }
}

void Cluster::OnEnd(const std::shared_ptr<SentCall>& call,
                    std::uint32_t tokens,
                    bool complete) {
  const routing::LoadReport load = m_endpoints[call->endpoint].engine->Load();
  if (!complete && call->called >= m_begin) {
    m_figures.OnCut(call->first_byte ? std::nullopt
                                     : std::optional(ToSeconds(m_events.Now() -
                                                               call->called)));
  }
  Entry& entry = m_entries[call->entry];
  m_events.After(Distance(entry, call->endpoint), [=, &entry, this] {
    entry.costs.OnEnded(FeaturesOf(call->prompt), tokens, complete);
    if (complete) {
      entry.router->OnAnswered(m_events.Now(), RunOf(*call),
                               {.first_byte = *call->first_byte, .load = load});
    } else {
      entry.router->OnAbandoned(m_events.Now(), RunOf(*call));
    }
  });
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
  if (m_options.published_engine) {
    report.load.measured_at = m_events.Now();
  }
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
