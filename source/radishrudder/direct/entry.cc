#include "radishrudder/direct/entry.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "radishrudder/direct/request_digest.h"
#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {
namespace {

// Maximum time for a call; applies if neither its caller nor its route set
// less.
constexpr std::chrono::seconds kMaximumCallTime{60};
// Number of declared versions that are kept for each model.
constexpr std::size_t kMaximumRememberedVersions = 16;
// Range over which the blocks of the entries end.
constexpr std::chrono::milliseconds kBlockSpread{20000};
// A configuration that another entry uses and the store has not returned for
// this long counts as gone.
constexpr std::chrono::seconds kMaximumSupersededTime{10};
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// A request blocks nothing but its repetitions, so one that crashed an endpoint
// again after its first block gets the longer one.
CrashSuspectSettings SettingsForRequests(CrashSuspectSettings settings,
                                         kernel::Random& random) {
  settings.certain_crashes = settings.blocking_crashes + 1;
  settings.additional_block = std::chrono::milliseconds(
      random.Below(static_cast<std::uint64_t>(kBlockSpread.count())));
  return settings;
}

}  // namespace

std::string_view ToText(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kNoConfiguration:
      return "no-configuration";
    case Reason::kStaleConfiguration:
      return "stale-configuration";
    case Reason::kNoRoute:
      return "no-route";
    case Reason::kUnreadableRoute:
      return "unreadable-route";
    case Reason::kNoKey:
      return "no-key";
    case Reason::kUnknownKey:
      return "unknown-key";
    case Reason::kNoEndpoint:
      return "no-endpoint";
    case Reason::kAllBusy:
      return "all-busy";
    case Reason::kAllPaused:
      return "all-paused";
    case Reason::kRefused:
      return "refused";
    case Reason::kUnreachable:
      return "unreachable";
    case Reason::kBroken:
      return "broken";
    case Reason::kInvalidAnswer:
      return "invalid-answer";
    case Reason::kTimeout:
      return "timeout";
    case Reason::kOutdated:
      return "outdated";
    case Reason::kCrashingPrompt:
      return "crashing-prompt";
    case Reason::kCrashingRequest:
      return "crashing-request";
    case Reason::kRequestOnTrial:
      return "request-on-trial";
    case Reason::kNoAllowedRegion:
      return "no-allowed-region";
    case Reason::kStopping:
      return "stopping";
    case Reason::kNoMemory:
      return "no-memory";
    case Reason::kCallerStalled:
      return "caller-stalled";
  }
  return "none";
}

std::string_view ToText(CallStage stage) {
  switch (stage) {
    case CallStage::kWaiting:
      return "waiting";
    case CallStage::kConnecting:
      return "connecting";
    case CallStage::kSent:
      return "sent";
    case CallStage::kAnswering:
      return "answering";
  }
  return "waiting";
}

Entry::Entry(EntrySettings settings, kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {}

void Entry::OnSettings(const EntrySettings& settings) {
  EntrySettings& current = m_state->settings;
  current.maximum_configuration_age = settings.maximum_configuration_age;
  current.maximum_denial_age = settings.maximum_denial_age;
  current.retry_budget_ratio = settings.retry_budget_ratio;
  current.version_switch_grace = settings.version_switch_grace;
  current.undated_version_grace = settings.undated_version_grace;
  current.answer_memory = settings.answer_memory;
  for (const auto& [service, pool] : m_state->pools) {
    pool->Budget().SetShare(settings.retry_budget_ratio);
  }
}

Entry::~Entry() = default;

bool Entry::OnConfiguration(kernel::Time now, Configuration configuration) {
  if (!m_state->configurations.Apply(std::move(configuration))) {
    return false;
  }
  m_state->configured_at = now;
  m_state->ApplyConfiguration(now);
  m_state->ComparePeerConfiguration(now);
  return true;
}

void Entry::OnPeerConfiguration(kernel::Time now,
                                std::uint64_t version,
                                kernel::Time in_force_since) {
  PeerConfiguration& known = m_state->peer_configuration;
  if (version > known.version) {
    known = {
        .version = version, .in_force_since = in_force_since, .told_at = now};
    m_state->ComparePeerConfiguration(now);
  } else if (version == known.version) {
    known.told_at = now;
  }
}

std::optional<kernel::Time> Entry::ConfigurationInForceSince() const {
  return m_state->configurations.HasConfiguration()
             ? std::optional(m_state->configured_at)
             : std::nullopt;
}

void Entry::OnNewestConfiguration(bool readable) {
  m_state->newest_configuration_readable = readable;
}

void Entry::OnConfigurationConfirmed(kernel::BootTime requested_at) {
  if (m_state->newest_configuration_readable) {
    m_state->age.OnConfigurationConfirmed(requested_at);
  }
}

std::optional<kernel::Time> Entry::OnVersionDeclared(
    kernel::Time now,
    const VersionDeclaration& declaration) {
  auto& versions = m_state->declared[std::string(declaration.model)];
  if (!versions.empty() && versions.back().version >= declaration.version) {
    return std::nullopt;
  }
  const EntrySettings& settings = m_state->settings;
  const kernel::Time required_at =
      declaration.absent_at
          ? std::max(now + settings.dating_time,
                     *declaration.absent_at + settings.version_switch_grace)
          : now + settings.undated_version_grace;
  versions.push_back({declaration.version, required_at});
  return required_at;
}

std::optional<kernel::Time> Entry::OnVersionDated(
    const VersionDeclaration& declaration) {
  const auto versions = m_state->declared.find(declaration.model);
  if (versions == m_state->declared.end() || !declaration.absent_at) {
    return std::nullopt;
  }
  const kernel::Time required_at =
      *declaration.absent_at + m_state->settings.version_switch_grace;
  for (State::DeclaredVersion& known : versions->second) {
    if (known.version == declaration.version &&
        known.required_at < required_at) {
      known.required_at = required_at;
      return required_at;
    }
  }
  return std::nullopt;
}

void Entry::OnEndpoints(kernel::Time now,
                        std::vector<ListedEndpoint> endpoints) {
  m_state->endpoints = std::move(endpoints);
  m_state->endpoints_known = true;
  m_state->UpdatePools(now);
}

void Entry::OnRequest(kernel::Time now,
                      kernel::BootTime boot_now,
                      CallId id,
                      std::shared_ptr<const CallerRequest> received) {
  State& state = *m_state;
  const CallerRequest& request = *received;
  const ConfigurationTable& table = state.configurations;
  if (!table.HasConfiguration()) {
    state.Refuse(now, request, id, kUnavailable, Reason::kNoConfiguration);
    return;
  }
  const RouteRule* route = table.FindRoute(request.host, request.path);
  const bool requires_key =
      table.RequiresKeys() && (route == nullptr || !route->key_exempt);
  // Keys may have been revoked and routes added since an old configuration.
  const bool is_fresh =
      state.IsFresh(boot_now, state.settings.maximum_configuration_age);
  if (!is_fresh && (requires_key || route == nullptr ||
                    !state.MayServeByOldConfiguration())) {
    state.Refuse(now, request, id, kUnavailable, Reason::kStaleConfiguration);
    return;
  }
  const auto deny = [&](int status, Reason reason) {
    const bool may_deny =
        state.IsFresh(boot_now, state.settings.maximum_denial_age);
    state.Refuse(now, request, id, may_deny ? status : kUnavailable,
                 may_deny ? reason : Reason::kStaleConfiguration);
  };
  if (route == nullptr) {
    deny(kNotFound, Reason::kNoRoute);
    return;
  }
  const WorkspaceRule* workspace = nullptr;
  if (requires_key) {
    workspace = table.FindWorkspace(request.key);
    if (workspace == nullptr) {
      deny(kUnauthorized,
           request.key.empty() ? Reason::kNoKey : Reason::kUnknownKey);
      return;
    }
  }
  if (!route->readable) {
    state.Refuse(now, request, id, kUnavailable, Reason::kUnreadableRoute);
    return;
  }
  Call call;
  call.id = id;
  call.route = *route;
  call.service = state.ChooseService(*route);
  call.rank = state.RankOf(*route, workspace);
  if (workspace != nullptr) {
    call.workspace = workspace->name;
    call.workspace_regions = workspace->allowed_regions;
  }
  call.configuration_age =
      state.age.Age(boot_now).value_or(std::chrono::milliseconds(0));
  std::chrono::milliseconds time = kMaximumCallTime;
  time = std::min(time, request.time_left.value_or(time));
  if (route->timeout.count() > 0) {
    time = std::min(time, route->timeout);
  }
  call.deadline = request.received_at + time;
  call.request = std::move(received);
  if (state.MayOutliveProcess(call)) {
    state.Refuse(now, request, id, kUnavailable, Reason::kStopping);
    return;
  }
  if (const Reason reason = state.BlockReason(now, call);
      reason != Reason::kNone) {
    state.Refuse(now, request, id, kUnavailable, reason);
    return;
  }
  Call& inserted = state.calls.emplace(id, std::move(call)).first->second;
  inserted.cost = state.costs.Estimate(state.FeaturesOf(inserted));
  state.demand.OnOffered(inserted.service);
  if (state.Pool(inserted.service).PlacesByCost()) {
    state.Admission(inserted.service).OnArrived(now, inserted.rank);
  }
  state.Pool(inserted.service).Budget().Earn();
  state.StartAttempt(now, inserted, /*require_free_capacity=*/true);
}

void Entry::OnCallerDisconnected(kernel::Time now, CallId id) {
  Call* call = m_state->FindCall(id);
  if (call == nullptr) {
    return;
  }
  m_state->RecordCallerLeft(now, *call);
  if (call->attempt) {
    m_state->Emit(CancelAttempt{id});
    if (call->attempt->sent) {
      m_state->Pool(call->service)
          .OnAbandoned(now, m_state->RunOf(*call->attempt));
    }
  }
  const std::string service = call->service;
  if (call->waiting) {
    m_state->Admission(service).Remove(id);
  }
  m_state->calls.erase(id);
  m_state->ServeWaiting(now, service);
}

void Entry::OnTick(kernel::Time now) {
  State& state = *m_state;
  state.RequireVersions(now);
  state.ComparePeerConfiguration(now);
  state.StopBlockedCalls(now);
  state.demand.OnTick(now);
  state.limits.OnTick(now);
  state.TickColdRates(now);
  state.ApplyEvacuations(now, state.evacuations.OnTick(now));
  state.suspect_parts.OnTick(now);
  state.suspect_requests.OnTick(now);
  for (const auto& [service, pool] : state.pools) {
    pool->OnTick(now);
  }
  state.NoteColdChanges(now);
  state.RefuseExpiredWaiting(now);
  for (const auto& [service, admission] : state.admissions) {
    state.ServeWaiting(now, service);
  }
  std::vector<CallId> ids;
  ids.reserve(state.calls.size());
  for (const auto& [id, call] : state.calls) {
    ids.push_back(id);
  }
  for (const CallId id : ids) {
    if (Call* call = state.FindCall(id)) {
      state.CheckTimeouts(now, *call);
    }
  }
}

void Entry::OnCrashEvidence(kernel::Time now,
                            std::span<const SuspectEvidence> evidence) {
  for (const SuspectEvidence& item : evidence) {
    if (IsRequestDigest(item.signature)) {
      m_state->suspect_requests.Merge(now, item);
    } else {
      m_state->suspect_parts.Merge(now, item);
    }
  }
}

std::vector<SuspectEvidence> Entry::CrashEvidence(kernel::Time now) const {
  std::vector<SuspectEvidence> evidence = m_state->suspect_parts.Evidence(now);
  std::ranges::move(m_state->suspect_requests.Evidence(now),
                    std::back_inserter(evidence));
  return evidence;
}

std::uint64_t Entry::CrashEvidenceRevision() const {
  return m_state->suspect_parts.Revision() +
         m_state->suspect_requests.Revision();
}

void Entry::OnDemands(kernel::Time now,
                      std::span<const routing::Demand> demands) {
  m_state->demand.Merge(now, demands);
  for (const routing::Demand& demand : demands) {
    m_state->limits.OnEntry(now, demand.entry);
    m_state->cold_rates.OnEntry(now, demand.entry);
  }
}

std::vector<routing::Demand> Entry::Demands(kernel::Time now) const {
  return m_state->demand.Demands(now);
}

void Entry::OnEndpointLimits(kernel::Time now,
                             std::span<const EndpointLimit> limits) {
  m_state->limits.Merge(now, limits);
}

void Entry::OnEntryCount(std::size_t count) {
  m_state->limits.OnEntryCount(count);
  m_state->entry_count = count;
}

std::vector<EndpointLimit> Entry::KnownEndpointLimits() const {
  return m_state->limits.Known();
}

std::uint64_t Entry::EndpointLimitsRevision() const {
  return m_state->limits.Revision();
}

void Entry::OnDrain(kernel::Time now, kernel::Time serves_until) {
  State& state = *m_state;
  state.serves_until =
      std::min(state.serves_until.value_or(serves_until), serves_until);
  std::vector<CallId> outliving;
  for (const auto& [id, call] : state.calls) {
    if (call.waiting && state.MayOutliveProcess(call)) {
      outliving.push_back(id);
    }
  }
  for (const CallId id : outliving) {
    state.FailCall(now, state.calls.at(id), Reason::kStopping);
  }
}

bool Entry::IsReady(kernel::BootTime boot_now) const {
  const State& state = *m_state;
  return !state.serves_until && state.configurations.HasConfiguration() &&
         state.endpoints_known &&
         state.IsFresh(boot_now, state.settings.maximum_configuration_age);
}

const ConfigurationTable& Entry::Configurations() const {
  return m_state->configurations;
}

std::size_t Entry::CallsInProgress() const {
  return m_state->calls.size();
}

std::vector<CallRecord> Entry::UnfinishedCalls(kernel::Time now) const {
  std::vector<CallRecord> records;
  for (const auto& [id, call] : m_state->calls) {
    records.push_back(State::MakeRecord(now, call));
  }
  return records;
}

std::vector<Output> Entry::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

std::string Entry::Explain(kernel::Time now, std::string_view service) const {
  const auto found = m_state->pools.find(service);
  return found == m_state->pools.end() ? std::string()
                                       : found->second->Explain(now);
}

Entry::State::State(EntrySettings initial_settings, kernel::Random generator)
    : settings(std::move(initial_settings)),
      random(generator),
      suspect_parts(settings.crash_suspects),
      suspect_requests(SettingsForRequests(settings.crash_suspects, random)),
      demand(settings.name),
      limits(settings.name),
      cold_rates(MakeColdRates(settings.name)) {}

bool Entry::State::IsFresh(kernel::BootTime boot_now,
                           std::chrono::milliseconds maximum_age) const {
  return age.IsWithin(boot_now, maximum_age) && !peer_configuration.supersedes;
}

bool Entry::State::MayServeByOldConfiguration() const {
  return newest_configuration_readable && !peer_configuration.supersedes &&
         !configurations.LimitsRegions();
}

// The store may return a change to one entry later than to another; only what
// should have arrived by now supersedes.
void Entry::State::ComparePeerConfiguration(kernel::Time now) {
  peer_configuration.supersedes =
      configurations.HasConfiguration() &&
      peer_configuration.version > configurations.Current().version &&
      now - peer_configuration.in_force_since >= settings.maximum_denial_age &&
      now - peer_configuration.told_at < kMaximumSupersededTime;
}

std::string Entry::State::ChooseService(const RouteRule& route) {
  std::uint64_t total = 0;
  for (const WeightedService& part : route.services) {
    total += part.weight;
  }
  if (total == 0) {
    return route.services.empty() ? std::string()
                                  : route.services.front().service;
  }
  std::uint64_t draw = random.Below(total);
  for (const WeightedService& part : route.services) {
    if (draw < part.weight) {
      return part.service;
    }
    draw -= part.weight;
  }
  return route.services.back().service;
}

ServicePool& Entry::State::Pool(std::string_view service) {
  auto found = pools.find(service);
  if (found == pools.end()) {
    found = pools
                .emplace(std::string(service),
                         std::make_unique<ServicePool>(
                             settings,
                             EndpointKnowledge{.limits = limits,
                                               .cold_rates = cold_rates,
                                               .evacuations = evacuations},
                             kernel::Random(random.Next())))
                .first;
    if (const ServiceRule* rule = configurations.FindService(service)) {
      found->second->Configure(*rule, RanksDiffer(service));
    }
    found->second->LimitDataCentres(configurations.LimitsRegions());
  }
  return *found->second;
}

void Entry::State::ApplyConfiguration(kernel::Time now) {
  UpdateRanks();
  for (const ServiceRule& rule : configurations.Current().services) {
    Pool(rule.name).Configure(rule, RanksDiffer(rule.name));
  }
  const bool limited = configurations.LimitsRegions();
  for (const auto& [service, pool] : pools) {
    pool->LimitDataCentres(limited);
  }
  UpdateAllowedRegions();
  UpdatePools(now);
}

void Entry::State::RequireVersions(kernel::Time now) {
  for (auto& [model, versions] : declared) {
    std::uint64_t required = 0;
    for (const DeclaredVersion& version : versions) {
      if (version.required_at <= now) {
        required = std::max(required, version.version);
      }
    }
    if (versions.size() > kMaximumRememberedVersions) {
      versions.erase(versions.begin());
    }
    if (required == 0) {
      continue;
    }
    for (const ServiceRule& rule : configurations.Current().services) {
      if (rule.engine && rule.engine->model == model) {
        Pool(rule.name).RequireVersion(now, required);
      }
    }
  }
}

void Entry::State::UpdatePools(kernel::Time now) {
  std::map<std::string, std::vector<ListedEndpoint>, std::less<>> by_service;
  for (const auto& [service, pool] : pools) {
    by_service[service];
  }
  for (const ListedEndpoint& endpoint : endpoints) {
    by_service[endpoint.service].push_back(endpoint);
  }
  for (const auto& [service, listed] : by_service) {
    Pool(service).Update(now, listed);
  }
}

Call* Entry::State::FindCall(CallId id) {
  const auto found = calls.find(id);
  return found == calls.end() ? nullptr : &found->second;
}

}  // namespace radishrudder::direct
