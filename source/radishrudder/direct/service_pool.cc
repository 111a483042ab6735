#include "source/radishrudder/direct/service_pool.h"

#include <algorithm>
#include <utility>

namespace radishrudder::direct {
namespace {

// Endpoints that an entry sends to.
constexpr std::uint32_t kSubset = 64;
// One-way delays that stand for a nearer and a farther data centre; only
// their order matters.
constexpr double kSameRegionSeconds = 0.001;
constexpr double kOtherRegionSeconds = 0.002;
// Calls that a plain endpoint may have for each one it works on: its work is
// short against the latency targets, so a short queue keeps it busy.
constexpr double kPlainQueueFactor = 2;
// An endpoint that owes answers and sends nothing for so long gets no more
// calls until it does: events of running calls come several times as often.
constexpr std::chrono::milliseconds kSilence{400};
// One call tries it again this long after it was last seen silent; doubled by
// each try without an answer, for a call can be stuck on the way to it until
// after its caller has left.
constexpr std::chrono::milliseconds kTryAgain{2000};
constexpr std::uint32_t kMaximumDoublings = 2;
// Capacity of endpoints that state none.
constexpr std::uint32_t kDefaultSlots = 4;

std::string VersionName(std::uint64_t version) {
  return version == 0 ? std::string() : std::to_string(version);
}

routing::RouterSettings RouterSettingsOf(const EntrySettings& settings) {
  routing::RouterSettings router;
  router.entry = settings.name;
  router.policy = "least-loaded-of-two";
  router.subset.size = kSubset;
  return router;
}

}  // namespace

ServicePool::ServicePool(const EntrySettings& settings, kernel::Random random)
    : m_settings(settings),
      m_router(RouterSettingsOf(settings), random),
      m_budget(settings.retry_share, settings.retries_saved) {}

void ServicePool::Configure(const ServiceRule& rule) {
  m_engine = rule.engine;
}

void ServicePool::Update(kernel::Time now,
                         std::span<const ListedEndpoint> endpoints) {
  m_listed.clear();
  for (const ListedEndpoint& endpoint : endpoints) {
    m_listed.emplace(endpoint.id, endpoint);
    if (endpoint.slots > 0) {
      m_router.SetDefaultCapacity(CapacityOf(endpoint.slots));
    }
  }
  Refresh(now);
}

void ServicePool::RequireVersion(kernel::Time now, std::uint64_t version) {
  if (version > m_required_version) {
    m_required_version = version;
    m_required_since = now;
    Refresh(now);
  }
}

Pick ServicePool::Choose(kernel::Time now, const PickNeeds& needs) {
  const std::string version = VersionName(needs.version.value_or(0));
  const routing::Route route =
      m_router.Choose(now, {.manifest_digest = version,
                            .excluded = needs.excluded,
                            .only_with_room = needs.only_with_room});
  Pick pick{.incarnation = route.incarnation, .reason = route.reason};
  const auto found = m_listed.find(route.instance);
  if (found != m_listed.end()) {
    pick.id = found->first;
    pick.address = found->second.address;
    pick.model_version = found->second.model_version;
  }
  return pick;
}

void ServicePool::OnLoad(kernel::Time now,
                         std::string_view id,
                         const routing::LoadReport& load) {
  const auto found = m_listed.find(id);
  if (found == m_listed.end()) {
    return;
  }
  routing::Endpoint endpoint = Seen(found->second);
  endpoint.load = load;
  endpoint.load_known = true;
  endpoint.load.capacity = CapacityOf(load.capacity);
  endpoint.load.measured = now;
  m_router.OnEndpoint(now, endpoint);
}

std::uint32_t ServicePool::CapacityOf(std::uint32_t slots) const {
  const std::uint32_t stated = slots > 0 ? slots : kDefaultSlots;
  return m_engine ? stated
                  : static_cast<std::uint32_t>(stated * kPlainQueueFactor);
}

void ServicePool::OnSent(kernel::Time now, const routing::EndpointRun& run) {
  m_router.OnSent(now, run, {});
  Waiting& waiting = m_waiting[std::string(run.instance)];
  if (waiting.attempts++ == 0) {
    waiting.since = now;
  }
  if (waiting.unheard) {
    ++waiting.tries;
    OnTick(now);
  }
}

void ServicePool::OnAnswered(kernel::Time now,
                             const routing::EndpointRun& run,
                             const routing::Answer& answer) {
  OnEnded(run);
  m_router.OnAnswered(now, run, answer);
}

void ServicePool::OnRefused(kernel::Time now,
                            const routing::EndpointRun& run,
                            routing::Refusal refusal) {
  OnEnded(run);
  m_router.OnRefused(now, run, refusal);
}

void ServicePool::OnFailed(kernel::Time now, const routing::EndpointRun& run) {
  OnEnded(run);
  m_router.OnFailed(now, run);
}

void ServicePool::OnAbandoned(kernel::Time now,
                              const routing::EndpointRun& run) {
  OnEnded(run);
  m_router.OnAbandoned(now, run);
}

void ServicePool::OnEnded(const routing::EndpointRun& run) {
  const auto found = m_waiting.find(run.instance);
  if (found != m_waiting.end() && found->second.attempts > 0) {
    --found->second.attempts;
  }
}

void ServicePool::OnHeard(kernel::Time now, std::string_view id) {
  const auto found = m_waiting.find(id);
  if (found != m_waiting.end()) {
    found->second.since = now;
    found->second.unheard = false;
    found->second.tries = 0;
  }
}

bool ServicePool::IsLeftOut(kernel::Time now, const Waiting& waiting) {
  return waiting.unheard && (waiting.attempts > 0 || now < waiting.next_try);
}

void ServicePool::OnTick(kernel::Time now) {
  bool changed = false;
  for (auto item = m_waiting.begin(); item != m_waiting.end();) {
    Waiting& waiting = item->second;
    if (waiting.attempts > 0 && now - waiting.since >= kSilence) {
      waiting.unheard = true;
      waiting.next_try =
          now + kTryAgain * (1U << std::min(waiting.tries, kMaximumDoublings));
    }
    const bool left_out = IsLeftOut(now, waiting);
    changed = changed || left_out != waiting.left_out;
    waiting.left_out = left_out;
    const bool done = waiting.attempts == 0 && !m_listed.contains(item->first);
    item = done ? m_waiting.erase(item) : std::next(item);
  }
  if (changed) {
    Refresh(now);
  }
}

routing::Endpoint ServicePool::Seen(const ListedEndpoint& listed) const {
  routing::Endpoint endpoint;
  endpoint.instance = listed.id;
  endpoint.incarnation = listed.started;
  endpoint.data_centre = listed.data_centre;
  endpoint.distance_seconds = DistanceSeconds(listed.data_centre);
  // One that holds no whole model, or too old a one, can serve nothing now.
  const auto waiting = m_waiting.find(listed.id);
  const bool silent = waiting != m_waiting.end() && waiting->second.left_out;
  endpoint.leaving = listed.leaving || silent ||
                     (m_engine && (listed.model_version == 0 ||
                                   listed.model_version < m_required_version));
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

void ServicePool::Refresh(kernel::Time now) {
  std::vector<routing::Endpoint> endpoints;
  endpoints.reserve(m_listed.size());
  for (const auto& [id, listed] : m_listed) {
    endpoints.push_back(Seen(listed));
  }
  m_router.OnEndpoints(now, endpoints);
}

}  // namespace radishrudder::direct
