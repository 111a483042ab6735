#include "source/radishrudder/direct/service_pool.h"

#include <algorithm>
#include <utility>

#include "radishrudder/direct/allowed_regions.h"

namespace radishrudder::direct {
namespace {

constexpr const char* kPolicy = "least-loaded-of-two";
constexpr const char* kPolicyByCost = "least-predicted-wait";
// Time that an endpoint gets no calls after it refused one, doubled by each
// further refusal: one that loads a version refuses all calls for seconds.
constexpr std::chrono::milliseconds kInitialRefusalBackoff{50};
constexpr std::uint32_t kMaximumRefusalDoublings = 4;
// Number of endpoints that an entry sends calls to.
constexpr std::uint32_t kSubsetSize = 64;
// Endpoints of each data centre among them if calls are limited to regions:
// those of a distant region would be left out otherwise and its calls refused.
constexpr std::uint32_t kMinimumPerDataCentre = 16;
// Nominal one-way delays to data centres in the same region and in another one;
// only their order matters.
constexpr double kSameRegionSeconds = 0.001;
constexpr double kOtherRegionSeconds = 0.002;
// Calls per slot that an endpoint without an engine may have, running or
// queued. Its calls are short compared with the latency targets, so a short
// queue keeps it busy without missing them.
constexpr double kCallsPerSlotWithoutEngine = 2;
// An endpoint with attempts in progress that sends nothing for this long gets
// no further calls until it responds. Events of running calls arrive several
// times as often.
constexpr std::chrono::milliseconds kUnresponsiveTimeout{400};
// Time until one call probes an unresponsive endpoint again, doubled by each
// probe without a response: a call can be stuck on the way to the endpoint
// until after its caller has disconnected.
constexpr std::chrono::milliseconds kInitialProbeBackoff{2000};
constexpr std::uint32_t kMaximumBackoffDoublings = 2;
// Part of its share that an entry may always use; the rest evens out errors of
// the shares.
constexpr double kUsableShare = 0.95;
// An endpoint that left is remembered for this time after its listing ended:
// an older copy of the list may still have it.
constexpr std::chrono::minutes kLeavingLifetime{10};
// Slots of endpoints that state none.
constexpr std::uint32_t kDefaultSlots = 4;

std::string VersionName(std::uint64_t version) {
  return version == 0 ? std::string() : std::to_string(version);
}

routing::EngineFigures FiguresOf(const EngineRule& rule) {
  return {.slots = rule.slots,
          .step_ms = rule.step_ms,
          .step_ms_per_call = rule.step_ms_per_call,
          .step_ms_per_1k_context = rule.step_ms_per_1k_context,
          .prompt_tokens_per_s = rule.prompt_tokens_per_s,
          .prompt_ms_per_million_pairs = rule.prompt_ms_per_million_pairs,
          .prompt_tokens_per_step = rule.prompt_tokens_per_step,
          .tokens_per_event = rule.tokens_per_event,
          .mean_prompt_tokens = rule.mean_prompt_tokens,
          .mean_answer_tokens = rule.mean_answer_tokens};
}

routing::RouterSettings RouterSettingsOf(const EntrySettings& settings) {
  routing::RouterSettings router;
  router.entry = settings.name;
  router.policy = kPolicy;
  router.subset.size = kSubsetSize;
  return router;
}

}  // namespace

ServicePool::ServicePool(const EntrySettings& settings,
                         const EndpointKnowledge& knowledge,
                         kernel::Random random)
    : m_settings(settings),
      m_limits(knowledge.limits),
      m_evacuations(knowledge.evacuations),
      m_cold(knowledge.cold_rates),
      m_router(RouterSettingsOf(settings), random),
      m_budget(settings.retry_budget_ratio, settings.maximum_saved_retries) {}

void ServicePool::Configure(const ServiceRule& rule, bool ranks_differ) {
  m_engine = rule.engine;
  m_ranks_differ = ranks_differ;
  m_router.SetEngine(m_engine ? std::optional(FiguresOf(*m_engine))
                              : std::nullopt);
  UpdatePolicy();
  m_cold.Configure(rule);
}

void ServicePool::LimitDataCentres(bool limited) {
  m_router.SetMinimumPerDataCentre(limited ? kMinimumPerDataCentre : 0);
}

void ServicePool::Update(kernel::Time now,
                         std::span<const ListedEndpoint> endpoints) {
  m_listed.clear();
  for (const ListedEndpoint& endpoint : endpoints) {
    ListedEndpoint& listed =
        m_listed.emplace(endpoint.id, endpoint).first->second;
    const auto reported =
        m_reported_versions.find(std::pair(endpoint.id, endpoint.started));
    if (reported != m_reported_versions.end()) {
      listed.model_version = std::max(listed.model_version, reported->second);
    }
    if (endpoint.slots > 0) {
      m_router.SetDefaultCapacity(CapacityOf(endpoint.slots));
    }
  }
  std::erase_if(m_reported_versions, [this](const auto& item) {
    return !m_listed.contains(item.first.first);
  });
  m_cold.OnList(now, endpoints);
  UpdateRouter(now);
}

void ServicePool::RequireVersion(kernel::Time now, std::uint64_t version) {
  if (version > m_required_version) {
    m_required_version = version;
    m_required_since = now;
    UpdateRouter(now);
  }
}

SelectedEndpoint ServicePool::SelectEndpoint(
    kernel::Time now,
    const EndpointRequirements& requirements) {
  const std::string version = VersionName(requirements.version.value_or(0));
  const Unavailable unavailable =
      FindUnavailable(now, requirements.data_centres);
  if (unavailable.first_available_at) {
    return {.reason = routing::NoRoute::kRefusing,
            .available_after = *unavailable.first_available_at - now};
  }
  routing::RouteRequest request{
      .manifest_digest = version,
      .excluded = requirements.excluded,
      .unavailable = unavailable.ids,
      .data_centres = requirements.data_centres,
      .require_free_capacity = requirements.require_free_capacity,
      .places_share = requirements.places_share};
  request.call = requirements.call;
  routing::Route route = m_router.Choose(now, request);
  if (route.instance.empty() &&
      route.reason == routing::NoRoute::kNoFreeCapacity &&
      IsBelowShare(requirements, unavailable.capacity)) {
    request.require_free_capacity = false;
    route = m_router.Choose(now, request);
  }
  SelectedEndpoint selected{.incarnation = route.incarnation,
                            .reason = route.reason};
  const auto found = m_listed.find(route.instance);
  if (found != m_listed.end()) {
    selected.id = found->first;
    selected.address = found->second.address;
    selected.model_version = found->second.model_version;
    m_pauses.OnSelected(now, {found->first, route.incarnation});
    m_limits.OnSelected(now, {found->first, route.incarnation});
    m_cold.OnSelected(now, {found->first, route.incarnation});
  }
  return selected;
}

ServicePool::Unavailable ServicePool::FindUnavailable(
    kernel::Time now,
    std::optional<std::span<const std::string>> data_centres) const {
  Unavailable unavailable;
  if (m_pauses.IsEmpty() && m_limits.IsEmpty() && m_cold.IsEmpty()) {
    return unavailable;
  }
  kernel::Time first = kernel::Time::max();
  bool others = false;
  for (const auto& [id, listed] : m_listed) {
    if (!CanBeUsed(listed) || !IsAllowed(data_centres, listed.data_centre)) {
      continue;
    }
    const routing::EndpointRun run{id, listed.started};
    const kernel::Time available_at =
        std::max({m_pauses.AvailableAt(run), m_limits.AvailableAt(now, run),
                  m_cold.AvailableAt(now, run)});
    if (available_at <= now) {
      others = true;
      continue;
    }
    first = std::min(first, available_at);
    unavailable.ids.push_back(id);
    unavailable.capacity += CapacityOf(listed.slots);
  }
  if (!others && !unavailable.ids.empty()) {
    unavailable.first_available_at = first;
  }
  return unavailable;
}

std::optional<kernel::Time> ServicePool::OnPauseRequested(
    kernel::Time now,
    const routing::EndpointRun& run,
    kernel::Duration pause) {
  return m_pauses.OnRequested(now, run, pause);
}

bool ServicePool::OnLeaving(kernel::Time now, const routing::EndpointRun& run) {
  const bool is_new =
      m_leaving
          .emplace(std::pair(std::string(run.instance), run.incarnation), now)
          .second;
  if (is_new) {
    UpdateRouter(now);
  }
  return is_new;
}

bool ServicePool::HasLeft(const routing::EndpointRun& run) const {
  return !m_leaving.empty() && m_leaving.contains(std::pair(
                                   std::string(run.instance), run.incarnation));
}

void ServicePool::OnResponded(kernel::Time now,
                              const routing::EndpointRun& run) {
  m_pauses.OnAnswered(now, run);
}

void ServicePool::OnColdTime(kernel::Time now,
                             const routing::EndpointRun& run,
                             kernel::Duration cold_time) {
  m_cold.OnColdTime(now, run, cold_time);
}

bool ServicePool::MaySend(
    kernel::Time now,
    const routing::EndpointRun& run,
    std::optional<std::span<const std::string>> data_centres) const {
  // Where a run is that is not listed any more is unknown.
  const auto listed = m_listed.find(run.instance);
  const bool place_known =
      listed != m_listed.end() && listed->second.started == run.incarnation;
  const bool excluded_place =
      place_known ? m_evacuations.Contains(listed->second.data_centre) ||
                        !IsAllowed(data_centres, listed->second.data_centre)
                  : data_centres.has_value() || !m_evacuations.IsEmpty();
  return !m_pauses.IsPaused(now, run) && !HasLeft(run) && !excluded_place;
}

void ServicePool::OnLoad(kernel::Time now,
                         std::string_view id,
                         const routing::LoadReport& load) {
  const auto found = m_listed.find(id);
  if (found == m_listed.end()) {
    return;
  }
  if (load.pace && !std::exchange(m_pace_stated, true)) {
    UpdatePolicy();
  }
  routing::Endpoint endpoint = ToRouterEndpoint(found->second);
  endpoint.load = load;
  endpoint.load_known = true;
  endpoint.load.capacity = CapacityOf(load.capacity);
  endpoint.load.measured_at = now;
  m_router.OnEndpoint(now, endpoint);
}

void ServicePool::OnLoadReport(kernel::Time now,
                               const EndpointLoadReport& report) {
  const auto found = m_listed.find(report.endpoint);
  if (found == m_listed.end() || found->second.started != report.started) {
    return;
  }
  // The list tells of a new version some seconds later.
  const bool newer_version = report.model_version > found->second.model_version;
  if (newer_version) {
    found->second.model_version = report.model_version;
    m_reported_versions[{report.endpoint, report.started}] =
        report.model_version;
  }
  if (m_reported_states.OnReport(now, {report.endpoint, report.started},
                                 report.takes_no_new_calls) ||
      newer_version) {
    UpdateRouter(now);
  }
  routing::Endpoint endpoint = ToRouterEndpoint(found->second);
  endpoint.load = {.running = report.running,
                   .waiting = report.waiting,
                   .capacity = CapacityOf(found->second.slots),
                   .pace = report.pace,
                   .measured_at = report.measured_at};
  endpoint.load_known = true;
  m_router.OnEndpoint(now, endpoint);
}

bool ServicePool::IsBelowShare(const EndpointRequirements& requirements,
                               double unavailable_capacity) const {
  double attempts = m_attempts;
  double capacity = m_capacity;
  if (requirements.data_centres) {
    attempts = 0;
    capacity = 0;
    for (const auto& [id, listed] : m_listed) {
      if (!IsAllowed(requirements.data_centres, listed.data_centre)) {
        continue;
      }
      const auto state = m_response_states.find(id);
      attempts += state != m_response_states.end() ? state->second.attempts : 0;
      capacity += CanBeUsed(listed) ? CapacityOf(listed.slots) : 0;
    }
  }
  // Places that are left to more urgent calls are none of its share.
  return attempts + 1 <= requirements.capacity_share * kUsableShare *
                             std::min(1.0, requirements.places_share) *
                             (capacity - unavailable_capacity);
}

std::uint32_t ServicePool::CapacityOf(std::uint32_t slots) const {
  const std::uint32_t stated = slots > 0 ? slots : kDefaultSlots;
  return m_engine
             ? stated
             : static_cast<std::uint32_t>(stated * kCallsPerSlotWithoutEngine);
}

void ServicePool::UpdatePolicy() {
  m_router.SetPolicy(m_engine && PlacesByCost() ? kPolicyByCost : kPolicy);
}

kernel::Duration ServicePool::RefusalBackoff(const routing::EndpointRun& run) {
  const auto state = m_response_states.find(run.instance);
  if (!PlacesByCost() || state == m_response_states.end()) {
    return {};
  }
  const std::uint32_t doublings =
      std::min(state->second.refusals++, kMaximumRefusalDoublings);
  return kInitialRefusalBackoff * (1U << doublings);
}

void ServicePool::OnSent(kernel::Time now,
                         const routing::EndpointRun& run,
                         const routing::CallView& call) {
  m_router.OnSent(now, run, call);
  ++m_attempts;
  ResponseState& state = m_response_states[std::string(run.instance)];
  if (state.attempts++ == 0) {
    state.last_received = now;
  }
  if (state.unresponsive) {
    ++state.probes;
    OnTick(now);
  }
}

void ServicePool::OnAnswered(kernel::Time now,
                             const routing::EndpointRun& run,
                             const routing::Answer& answer) {
  OnAttemptEnded(run);
  const auto state = m_response_states.find(run.instance);
  if (state != m_response_states.end()) {
    state->second.refusals = 0;
  }
  m_router.OnAnswered(now, run, answer);
}

void ServicePool::OnRefused(kernel::Time now,
                            const routing::EndpointRun& run,
                            routing::Refusal refusal) {
  OnAttemptEnded(run);
  m_router.OnRefused(now, run, refusal, RefusalBackoff(run));
}

void ServicePool::OnFailed(kernel::Time now, const routing::EndpointRun& run) {
  OnAttemptEnded(run);
  m_router.OnFailed(now, run);
}

void ServicePool::OnAbandoned(kernel::Time now,
                              const routing::EndpointRun& run) {
  OnAttemptEnded(run);
  m_router.OnAbandoned(now, run);
}

void ServicePool::OnAttemptEnded(const routing::EndpointRun& run) {
  const auto found = m_response_states.find(run.instance);
  if (found != m_response_states.end() && found->second.attempts > 0) {
    --found->second.attempts;
    --m_attempts;
  }
}

void ServicePool::OnDataReceived(kernel::Time now, std::string_view id) {
  const auto found = m_response_states.find(id);
  if (found != m_response_states.end()) {
    found->second.last_received = now;
    found->second.unresponsive = false;
    found->second.probes = 0;
  }
}

bool ServicePool::IsExcluded(kernel::Time now, const ResponseState& state) {
  return state.unresponsive && (state.attempts > 0 || now < state.next_probe);
}

void ServicePool::OnTick(kernel::Time now) {
  m_pauses.OnTick(now);
  m_cold.OnTick(now);
  std::erase_if(m_leaving, [this, now](const auto& item) {
    return now - item.second >= kLeavingLifetime &&
           !m_listed.contains(item.first.first);
  });
  bool changed = m_reported_states.OnTick(now);
  for (auto item = m_response_states.begin();
       item != m_response_states.end();) {
    ResponseState& state = item->second;
    if (state.attempts > 0 &&
        now - state.last_received >= kUnresponsiveTimeout) {
      state.unresponsive = true;
      state.next_probe =
          now + kInitialProbeBackoff *
                    (1U << std::min(state.probes, kMaximumBackoffDoublings));
    }
    const bool excluded_from_routing = IsExcluded(now, state);
    changed = changed || excluded_from_routing != state.excluded_from_routing;
    state.excluded_from_routing = excluded_from_routing;
    const bool obsolete =
        state.attempts == 0 && !m_listed.contains(item->first);
    item = obsolete ? m_response_states.erase(item) : std::next(item);
  }
  if (changed) {
    UpdateRouter(now);
  }
}

bool ServicePool::CanBeUsed(const ListedEndpoint& listed) const {
  const auto state = m_response_states.find(listed.id);
  const bool excluded =
      state != m_response_states.end() && state->second.excluded_from_routing;
  // An endpoint without a complete model, or with too old a version, cannot
  // serve calls.
  return !listed.leaving && !excluded &&
         !m_evacuations.Contains(listed.data_centre) &&
         !HasLeft({listed.id, listed.started}) &&
         !m_reported_states.TakesNoNewCalls({listed.id, listed.started}) &&
         (!m_engine || (listed.model_version > 0 &&
                        listed.model_version >= m_required_version));
}

routing::Endpoint ServicePool::ToRouterEndpoint(
    const ListedEndpoint& listed) const {
  routing::Endpoint endpoint;
  endpoint.instance = listed.id;
  endpoint.incarnation = listed.started;
  endpoint.data_centre = listed.data_centre;
  endpoint.distance_seconds = DistanceSeconds(listed.data_centre);
  endpoint.leaving = !CanBeUsed(listed);
  endpoint.running_digest = VersionName(listed.model_version);
  endpoint.load_known = false;
  return endpoint;
}

double ServicePool::DistanceSeconds(std::string_view data_centre) const {
  if (data_centre == m_settings.data_centre) {
    return 0;
  }
  const auto region = m_settings.regions.find(data_centre);
  return region != m_settings.regions.end() &&
                 region->second == m_settings.region
             ? kSameRegionSeconds
             : kOtherRegionSeconds;
}

void ServicePool::UpdateRouter(kernel::Time now) {
  std::vector<routing::Endpoint> endpoints;
  endpoints.reserve(m_listed.size());
  m_capacity = 0;
  for (const auto& [id, listed] : m_listed) {
    endpoints.push_back(ToRouterEndpoint(listed));
    m_capacity += endpoints.back().leaving ? 0 : CapacityOf(listed.slots);
  }
  m_router.OnEndpoints(now, endpoints);
}

}  // namespace radishrudder::direct
