#include "radishrudder/routing/router.h"

#include <algorithm>
#include <utility>

#include "radishrudder/routing/built_in_policies.h"

namespace radishrudder::routing {
namespace {

// Limits of the time for which an endpoint that refused a call gets no calls.
constexpr kernel::Duration kMinimumRefusalTime = std::chrono::milliseconds(50);
constexpr kernel::Duration kMaximumRefusalTime = std::chrono::seconds(2);
// An endpoint that refused a call because it is leaving gets no calls for this
// time, unless a new run of it appears.
constexpr kernel::Duration kLeavingRefusalTime = std::chrono::seconds(60);

// Tokens of a very large call, in mean calls. About 1% of calls are larger if
// sizes are exponentially distributed.
constexpr double kVeryLargeCalls = 5;

kernel::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

Router::Router(RouterSettings settings, kernel::Random random)
    : m_settings(std::move(settings)),
      m_random(random),
      m_loads(m_settings.load),
      m_work(m_settings.load.report_lag),
      m_ejection(m_settings.ejection),
      m_prefixes(m_settings.prefixes) {
  RegisterBuiltInPolicies();
  if (!SetPolicy(m_settings.policy)) {
    SetPolicy("least-loaded-of-two");
  }
}

bool Router::SetPolicy(std::string_view name) {
  const PolicyFactory factory = PolicyRegistry::Instance().Find(name);
  if (!factory) {
    return false;
  }
  m_policy = factory();
  m_settings.policy = name;
  return true;
}

void Router::OnEndpoints(kernel::Time now,
                         std::span<const Endpoint> endpoints) {
  m_known_endpoint_count = endpoints.size();
  for (Tracked& tracked : m_tracked) {
    tracked.in_subset = false;
  }
  m_subset.clear();
  for (const std::size_t index :
       SelectSubset(m_settings.entry, endpoints, m_settings.subset)) {
    const Endpoint& endpoint = endpoints[index];
    const std::optional<Slot> tracked_slot = Find(endpoint.instance);
    const Slot slot = tracked_slot ? *tracked_slot : Track(endpoint);
    m_tracked[slot].in_subset = true;
    m_subset.push_back(slot);
    UpdateTracked(now, slot, endpoint);
  }
  UntrackIdleOutsideSubset();
}

void Router::OnEndpoint(kernel::Time now, const Endpoint& endpoint) {
  const std::optional<Slot> slot = Find(endpoint.instance);
  if (slot && m_tracked[*slot].in_subset) {
    UpdateTracked(now, *slot, endpoint);
  }
}

void Router::OnCacheEvents(kernel::Time now,
                           std::string_view instance,
                           const CacheEvents& events) {
  const std::optional<Slot> slot = Find(instance);
  if (slot) {
    m_prefixes.OnEvents(now, *slot, events);
  }
}

Route Router::Choose(kernel::Time now, const RouteRequest& request) {
  m_loads.Refresh(now);
  RefreshMeanLatency();
  if (Predicts(request.call)) {
    m_work.Refresh(now);
  }
  CollectCandidates(now, request);
  if (m_candidates.empty()) {
    return MakeNoRoute(now, request);
  }
  const std::span<const Candidate> candidates(m_candidates);
  const std::size_t count =
      Predicts(request.call)
          ? candidates.size()
          : CountUsableCandidates(candidates, m_settings.spill, m_random);
  const std::size_t chosen =
      m_policy->Choose(request.call, candidates.first(count), m_random);
  const Slot slot = *Find(m_candidates[chosen].instance);
  return {.instance = m_candidates[chosen].instance,
          .incarnation = m_tracked[slot].endpoint.incarnation};
}

void Router::OnSent(kernel::Time now,
                    const EndpointRun& run,
                    const CallView& call) {
  const std::optional<Slot> slot = FindRun(run);
  if (!slot) {
    return;
  }
  m_loads.OnStarted(now, *slot);
  m_ejection.OnSent(now, *slot);
  if (call.prefix_hash != 0) {
    m_prefixes.OnCallSent(now, *slot, call.prefix_hash);
  }
  if (run.call != 0 && call.cost != nullptr) {
    m_work.OnStarted(*slot, run.call, *call.cost);
  }
}

void Router::OnProgress(const EndpointRun& run, std::uint32_t events) {
  const std::optional<Slot> slot = FindRun(run);
  if (slot && run.call != 0 && m_engine) {
    m_work.OnProgress(*slot, run.call, events, m_engine->tokens_per_event);
  }
}

void Router::OnAnswered(kernel::Time now,
                        const EndpointRun& run,
                        const Answer& answer) {
  const std::optional<Slot> slot = EndAttempt(now, run);
  if (!slot) {
    return;
  }
  Tracked& tracked = m_tracked[*slot];
  tracked.latency.OnSample(now, answer.first_byte);
  m_ejection.OnSucceeded(now, *slot);
  if (answer.load) {
    const kernel::Duration delay =
        FromSeconds(tracked.endpoint.distance_seconds);
    m_loads.OnResponseLoad(now, *slot, *answer.load, delay);
    m_work.OnMeasured(now - delay, *slot, *answer.load);
  }
}

void Router::OnRefused(kernel::Time now,
                       const EndpointRun& run,
                       Refusal refusal,
                       kernel::Duration retry_after) {
  const std::optional<Slot> slot = EndAttempt(now, run);
  if (!slot) {
    return;
  }
  if (refusal == Refusal::kEndpointUnreachable) {
    m_ejection.OnFailed(now, *slot, m_random);
    return;
  }
  m_ejection.OnInconclusive(*slot);
  if (refusal == Refusal::kOther) {
    return;
  }
  const kernel::Duration duration =
      refusal == Refusal::kLeaving
          ? kLeavingRefusalTime
          : std::clamp(retry_after, kMinimumRefusalTime, kMaximumRefusalTime);
  Tracked& tracked = m_tracked[*slot];
  if (now + duration > tracked.refusing_until) {
    tracked.refusal = refusal;
    tracked.refusing_until = now + duration;
  }
}

void Router::OnFailed(kernel::Time now, const EndpointRun& run) {
  const std::optional<Slot> slot = EndAttempt(now, run);
  if (slot) {
    m_ejection.OnFailed(now, *slot, m_random);
  }
}

void Router::OnAbandoned(kernel::Time now, const EndpointRun& run) {
  const std::optional<Slot> slot = EndAttempt(now, run);
  if (slot) {
    m_ejection.OnInconclusive(*slot);
  }
}

Slot Router::Track(const Endpoint& endpoint) {
  Slot slot = 0;
  if (m_free_slots.empty()) {
    slot = static_cast<Slot>(m_tracked.size());
    m_tracked.emplace_back();
  } else {
    slot = m_free_slots.back();
    m_free_slots.pop_back();
  }
  m_tracked[slot] = Tracked();
  m_tracked[slot].endpoint = endpoint;
  m_slots.emplace(endpoint.instance, slot);
  m_loads.Add(slot);
  m_work.Add(slot);
  m_ejection.Add(slot);
  m_prefixes.Add(slot);
  return slot;
}

void Router::Untrack(Slot slot) {
  m_slots.erase(m_tracked[slot].endpoint.instance);
  m_tracked[slot] = Tracked();
  m_loads.Remove(slot);
  m_work.Remove(slot);
  m_ejection.Remove(slot);
  m_prefixes.Remove(slot);
  m_free_slots.push_back(slot);
}

void Router::UpdateTracked(kernel::Time now,
                           Slot slot,
                           const Endpoint& endpoint) {
  Tracked& tracked = m_tracked[slot];
  if (tracked.endpoint.incarnation != endpoint.incarnation) {
    m_loads.Add(slot);
    m_work.Add(slot);
    m_ejection.Add(slot);
    m_prefixes.Add(slot);
    tracked.latency = {};
    tracked.refusing_until = {};
  }
  tracked.endpoint = endpoint;
  if (endpoint.load_known) {
    m_loads.OnReport(now, slot, endpoint.load);
    m_work.OnReport(now, slot, endpoint.load);
  }
}

void Router::UntrackIdleOutsideSubset() {
  std::vector<Slot> idle;
  for (const auto& [instance, slot] : m_slots) {
    if (!m_tracked[slot].in_subset && m_loads.LocalCalls(slot) == 0) {
      idle.push_back(slot);
    }
  }
  for (const Slot slot : idle) {
    Untrack(slot);
  }
}

std::optional<Slot> Router::Find(std::string_view instance) const {
  const auto position = m_slots.find(instance);
  if (position == m_slots.end()) {
    return std::nullopt;
  }
  return position->second;
}

std::optional<Slot> Router::FindRun(const EndpointRun& run) const {
  const std::optional<Slot> slot = Find(run.instance);
  const bool current =
      slot && m_tracked[*slot].endpoint.incarnation == run.incarnation;
  return current ? slot : std::nullopt;
}

std::optional<Slot> Router::EndAttempt(kernel::Time now,
                                       const EndpointRun& run) {
  const std::optional<Slot> slot = FindRun(run);
  if (!slot) {
    return std::nullopt;
  }
  m_loads.OnEnded(now, *slot);
  m_work.OnEnded(*slot, run.call);
  if (!m_tracked[*slot].in_subset && m_loads.LocalCalls(*slot) == 0) {
    Untrack(*slot);
    return std::nullopt;
  }
  return slot;
}

void Router::RefreshMeanLatency() {
  double sum = 0;
  std::size_t sampled = 0;
  for (const Slot slot : m_subset) {
    const LatencyEstimate& latency = m_tracked[slot].latency;
    if (latency.HasSample()) {
      sum += latency.SecondsAtLastSample();
      ++sampled;
    }
  }
  m_mean_latency_seconds =
      sampled == 0 ? 0 : sum / static_cast<double>(sampled);
}

Router::Eligibility Router::EligibilityOf(kernel::Time now,
                                          Slot slot,
                                          const RouteRequest& request) const {
  const Tracked& tracked = m_tracked[slot];
  const Endpoint& endpoint = tracked.endpoint;
  const bool runs_version = request.manifest_digest.empty() ||
                            request.manifest_digest == endpoint.running_digest;
  const bool is_excluded =
      std::find(request.excluded.begin(), request.excluded.end(),
                endpoint.instance) != request.excluded.end() ||
      std::ranges::binary_search(request.unavailable, endpoint.instance);
  const bool is_elsewhere =
      request.data_centres &&
      std::ranges::find(*request.data_centres, endpoint.data_centre) ==
          request.data_centres->end();
  if (endpoint.leaving || !runs_version || is_excluded || is_elsewhere ||
      now < tracked.refusing_until ||
      (request.require_free_capacity &&
       !HasFreeCapacity(now, slot, request.places_share))) {
    return Eligibility::kIneligible;
  }
  if (endpoint.suspected) {
    return Eligibility::kSuspected;
  }
  return m_ejection.Admits(now, slot) ? Eligibility::kEligible
                                      : Eligibility::kEjected;
}

bool Router::HasFreeCapacity(kernel::Time now,
                             Slot slot,
                             double places_share) const {
  return m_loads.EstimatedCalls(now, slot) + 1 <=
         m_loads.Capacity(slot) * places_share;
}

double Router::Capacity() const {
  double capacity = 0;
  for (const Slot slot : m_subset) {
    const Endpoint& endpoint = m_tracked[slot].endpoint;
    if (!endpoint.leaving && !endpoint.suspected) {
      capacity += m_loads.Capacity(slot);
    }
  }
  return capacity;
}

void Router::CollectCandidates(kernel::Time now, const RouteRequest& request) {
  Eligibility best = Eligibility::kIneligible;
  for (const Slot slot : m_subset) {
    best = std::min(best, EligibilityOf(now, slot, request));
  }
  m_candidates.clear();
  if (best == Eligibility::kIneligible) {
    return;
  }
  for (const Slot slot : m_subset) {
    if (EligibilityOf(now, slot, request) == best) {
      m_candidates.push_back(MakeCandidate(now, slot, request.call));
    }
  }
}

Candidate Router::MakeCandidate(kernel::Time now,
                                Slot slot,
                                const CallView& call) {
  const Tracked& tracked = m_tracked[slot];
  Candidate candidate;
  candidate.instance = tracked.endpoint.instance;
  candidate.capacity = m_loads.Capacity(slot);
  // Failed calls end early and lower the load, so an endpoint that fails fast
  // would attract calls without this addition.
  candidate.estimated_calls = m_loads.EstimatedCalls(now, slot) +
                              m_ejection.FailureRate(slot) * candidate.capacity;
  candidate.latency_seconds =
      tracked.latency.Seconds(now, m_mean_latency_seconds);
  candidate.distance_seconds = tracked.endpoint.distance_seconds;
  if (call.prefix_hash != 0) {
    candidate.cached_prefix_share =
        call.prefix_share * m_prefixes.Likelihood(now, slot, call.prefix_hash);
  }
  if (Predicts(call)) {
    AddPrediction(now, slot, call, candidate);
  }
  return candidate;
}

bool Router::Predicts(const CallView& call) const {
  return m_engine && call.cost != nullptr && m_policy->UsesPredictions();
}

void Router::AddPrediction(kernel::Time now,
                           Slot slot,
                           const CallView& call,
                           Candidate& candidate) const {
  const EndpointWork work =
      m_work.WorkAt(now, slot, candidate.estimated_calls, candidate.capacity);
  CallCost cost = *call.cost;
  cost.prompt_tokens *= 1 - candidate.cached_prefix_share;
  candidate.prediction = Predict(*m_engine, work, cost);
  const double very_large = kVeryLargeCalls * (m_engine->mean_prompt_tokens +
                                               m_engine->mean_answer_tokens);
  candidate.beside_very_large_call =
      very_large > 0 && work.own_largest_tokens > very_large &&
      cost.prompt_tokens + cost.answer_tokens_high > very_large;
}

}  // namespace radishrudder::routing
