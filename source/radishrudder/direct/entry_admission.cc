// Which calls are sent, wait for a place at an endpoint, or are refused.
#include <algorithm>
#include <utility>

#include "radishrudder/direct/allowed_regions.h"
#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaximumSentPriority = 9;
// Waiting calls that find no place before the rest is left waiting: their
// regions may be full while there is room in others.
constexpr std::size_t kMaximumMisses = 4;
// A cold or pausing endpoint that takes a call within this time is worth
// waiting for.
constexpr milliseconds kMaximumAvailabilityWait{200};
// Callers are not told to stay away longer because of those that wait.
constexpr milliseconds kMaximumExpectedWait{2000};

Reason ReasonOf(const SelectedEndpoint& selected) {
  if (selected.available_after) {
    return Reason::kAllPaused;
  }
  return selected.reason == routing::NoRoute::kNoFreeCapacity ||
                 selected.reason == routing::NoRoute::kRefusing
             ? Reason::kAllBusy
             : Reason::kNoEndpoint;
}

}  // namespace

bool Entry::State::RanksDiffer(std::string_view service) const {
  std::optional<std::uint32_t> first;
  for (const RouteRule& route : configurations.Current().routes) {
    const bool leads_here =
        std::ranges::find(route.services, service, &WeightedService::service) !=
        route.services.end();
    if (leads_here && first.value_or(route.priority) != route.priority) {
      return true;
    }
    first = leads_here ? route.priority : first;
  }
  return false;
}

void Entry::State::UpdateRanks() {
  std::set<std::uint32_t> routes;
  for (const RouteRule& route : configurations.Current().routes) {
    routes.insert(route.priority);
  }
  std::set<std::uint32_t> workspaces;
  for (const WorkspaceRule& workspace : configurations.Current().workspaces) {
    if (workspace.priority) {
      workspaces.insert(*workspace.priority);
    }
  }
  route_priorities.assign(routes.begin(), routes.end());
  workspace_priorities.assign(workspaces.begin(), workspaces.end());
}

// The workspace's priority decides before the route's. A workspace without one
// comes with the least urgent.
std::uint32_t Entry::State::RankOf(const RouteRule& route,
                                   const WorkspaceRule* workspace) const {
  const auto index = [](std::span<const std::uint32_t> priorities,
                        std::uint32_t priority) {
    return static_cast<std::uint32_t>(
        std::ranges::lower_bound(priorities, priority) - priorities.begin());
  };
  const std::uint32_t by_route = index(route_priorities, route.priority);
  if (workspace_priorities.empty()) {
    return by_route;
  }
  const std::uint32_t by_workspace =
      index(workspace_priorities,
            workspace != nullptr
                ? workspace->priority.value_or(workspace_priorities.back())
                : workspace_priorities.back());
  return by_workspace * static_cast<std::uint32_t>(route_priorities.size()) +
         by_route;
}

routing::CallFeatures Entry::State::FeaturesOf(const Call& call) const {
  return {.route = call.route.name,
          .workspace = call.workspace,
          .prompt_tokens = call.request->prompt_tokens,
          .maximum_answer_tokens = call.request->maximum_answer_tokens,
          .answer_estimate = call.request->answer_tokens_estimate};
}

routing::CallView Entry::State::ViewOf(kernel::Time now,
                                       const Call& call) const {
  using Seconds = std::chrono::duration<double>;
  return {.workspace = call.workspace,
          .priority = call.rank,
          .cost = &call.cost,
          .seconds_to_deadline = Seconds(call.deadline - now).count(),
          .pause_target_seconds = Seconds(call.route.event_gap_target).count()};
}

void Entry::State::LearnCost(const Call& call, bool complete) {
  const auto pool = pools.find(call.service);
  if (!IsStream(call) || pool == pools.end() || !pool->second->Engine()) {
    return;
  }
  const double tokens = static_cast<double>(call.events.EventsReturned()) *
                        pool->second->Engine()->tokens_per_event;
  costs.OnEnded(FeaturesOf(call), tokens, complete);
}

void Entry::State::StartAttempt(kernel::Time now,
                                Call& call,
                                bool require_free_capacity) {
  if (MayOutliveProcess(call)) {
    FailCall(now, call, Reason::kStopping);
    return;
  }
  if (HasTooLittleTime(now, call)) {
    const bool stopping = serves_until && *serves_until < call.deadline;
    FailCall(now, call, stopping ? Reason::kStopping : Reason::kTimeout);
    return;
  }
  if (const Reason reason = BlockReason(now, call); reason != Reason::kNone) {
    FailCall(now, call, reason);
    return;
  }
  // Calls that wait already come before new ones of their rank.
  const auto admission = admissions.find(call.service);
  if (require_free_capacity && admission != admissions.end() &&
      admission->second.Waiting().CountUpTo(call.rank) > 0 &&
      TryWait(now, call)) {
    services_without_place.insert(call.service);
    return;
  }
  const CallId id = call.id;
  const SelectedEndpoint selected = TryPlace(now, call, require_free_capacity);
  // A call that no region may serve has been refused and is gone.
  if (!selected.id.empty() || FindCall(id) == nullptr) {
    return;
  }
  if (ReasonOf(selected) == Reason::kAllBusy) {
    services_without_place.insert(call.service);
  }
  const bool may_wait =
      selected.available_after
          ? *selected.available_after <= kMaximumAvailabilityWait
          : ReasonOf(selected) == Reason::kAllBusy;
  if (may_wait && TryWait(now, call)) {
    return;
  }
  kernel::Duration available_after =
      selected.available_after.value_or(kernel::Duration::zero());
  if (admission != admissions.end()) {
    available_after = std::max(
        available_after, std::min<kernel::Duration>(
                             admission->second.ExpectedWait(now, call.rank),
                             kMaximumExpectedWait));
  }
  FailCall(now, call, ReasonOf(selected), available_after);
}

SelectedEndpoint Entry::State::TryPlace(kernel::Time now,
                                        Call& call,
                                        bool require_free_capacity,
                                        std::span<const std::string> taken) {
  const auto data_centres = AllowedDataCentresOf(call);
  if (data_centres && data_centres->empty()) {
    NoteNoAllowedRegion(call);
    FailCall(now, call, Reason::kNoAllowedRegion);
    return {};
  }
  ServicePool& pool = Pool(call.service);
  const bool by_cost = pool.PlacesByCost();
  std::vector<std::string> excluded = call.excluded;
  excluded.insert(excluded.end(), taken.begin(), taken.end());
  const EndpointRequirements requirements{
      .excluded = excluded,
      .version = call.response_started ? call.version : std::nullopt,
      .require_free_capacity = require_free_capacity,
      .capacity_share = demand.Share(now, call.service),
      .places_share =
          by_cost ? Admission(call.service).PlacesShare(call.rank) : 1,
      .call = by_cost ? ViewOf(now, call) : routing::CallView{},
      .data_centres = data_centres};
  SelectedEndpoint selected = pool.SelectEndpoint(now, requirements);
  if (selected.id.empty()) {
    return selected;
  }
  // A call may still wait after its service has ceased to place by cost.
  if (by_cost || call.waiting) {
    Admission(call.service).OnSent(now, call.id);
  }
  if (call.waiting) {
    call.waiting = false;
    call.waited = now - call.request->received_at;
  }
  CurrentAttempt attempt;
  attempt.call = call.id;
  attempt.endpoint = selected.id;
  attempt.incarnation = selected.incarnation;
  attempt.started = now;
  attempt.last_progress = now;
  attempt.model_version = selected.model_version;
  attempt.earlier_events = call.events.EventsReturned();
  call.attempt = std::move(attempt);
  SendAttempt send{.call = call.id};
  send.address = selected.address;
  send.endpoint_id = selected.id;
  send.time_left =
      std::chrono::duration_cast<milliseconds>(call.deadline - now);
  send.workspace = call.workspace;
  if (call.response_started && call.version) {
    send.expected_version = call.version;
  } else if (pool.RequiredVersion() > 0 && pool.Engine()) {
    send.expected_version = selected.model_version;
  }
  send.last_event_id = call.response_started ? call.events.LastId()
                                             : call.request->last_event_id;
  if (pool.RanksDiffer()) {
    send.priority = std::min(call.rank, kMaximumSentPriority);
  }
  Emit(std::move(send));
  return selected;
}

bool Entry::State::TryWait(kernel::Time now, Call& call) {
  if (!Pool(call.service).PlacesByCost() || call.response_started ||
      waiting_stopped) {
    return false;
  }
  call.waiting =
      Admission(call.service)
          .TryWait(now,
                   {.id = call.id,
                    .rank = call.rank,
                    .cost = call.cost.prompt_tokens + call.cost.answer_tokens,
                    .workspace = call.workspace,
                    .received = call.request->received_at,
                    .deadline = call.deadline,
                    .latency_target = call.route.latency_target});
  return call.waiting;
}

void Entry::State::ServeWaiting(kernel::Time now, const std::string& service) {
  const auto admission = admissions.find(service);
  if (admission == admissions.end() || admission->second.Waiting().IsEmpty()) {
    return;
  }
  RefuseExpiredWaiting(now);
  // An attempt counts at its endpoint once it is sent, after this function:
  // without the list, all waiting calls would go to one free place.
  std::vector<std::string> taken;
  std::size_t misses = 0;
  for (const CallId id : admission->second.Waiting().InOrder()) {
    Call* call = FindCall(id);
    if (call == nullptr) {
      admission->second.Remove(id);
      continue;
    }
    if (const Reason reason = BlockReason(now, *call);
        reason != Reason::kNone) {
      FailCall(now, *call, reason);
      continue;
    }
    SelectedEndpoint selected =
        TryPlace(now, *call, /*require_free_capacity=*/true, taken);
    if (!selected.id.empty()) {
      taken.push_back(std::move(selected.id));
    } else if (++misses >= kMaximumMisses) {
      return;
    }
  }
}

void Entry::StopWaiting(kernel::Time now) {
  m_state->waiting_stopped = true;
  std::vector<CallId> waiting;
  for (const auto& [id, call] : m_state->calls) {
    if (call.waiting) {
      waiting.push_back(id);
    }
  }
  for (const CallId id : waiting) {
    m_state->FailCall(now, *m_state->FindCall(id), Reason::kAllBusy);
  }
}

void Entry::EndCalls(kernel::Time now) {
  while (!m_state->calls.empty()) {
    Call& call = m_state->calls.begin()->second;
    if (call.attempt) {
      m_state->Emit(CancelAttempt{call.id});
      call.may_have_run = call.may_have_run || call.attempt->sent;
    }
    m_state->FailCall(now, call, Reason::kStopping);
  }
}

void Entry::State::RefuseExpiredWaiting(kernel::Time now) {
  for (auto& [service, admission] : admissions) {
    for (const admission::WaitingCall& expired : admission.TakeExpired(now)) {
      if (Call* call = FindCall(expired.id)) {
        call->waiting = false;
        call->waited = now - call->request->received_at;
        FailCall(now, *call, Reason::kAllBusy,
                 std::min<kernel::Duration>(
                     admission.ExpectedWait(now, expired.rank),
                     kMaximumExpectedWait));
      }
    }
  }
}

}  // namespace radishrudder::direct
