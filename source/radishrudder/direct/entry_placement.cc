// Where calls may go: allowed regions, evacuated data centres and the rates of
// cold endpoints.
#include <algorithm>
#include <utility>

#include "radishrudder/direct/allowed_regions.h"
#include "source/radishrudder/direct/entry_state.h"

namespace radishrudder::direct {
namespace {

// A process that has just started has not heard of all other entries. Until it
// should have, it takes a share of the rates of cold endpoints as if there were
// at least so many.
constexpr std::size_t kInitialEntryCount = 32;
constexpr std::chrono::seconds kAcquaintanceTime{6};
// Each entry that shares a cold endpoint's rate may send a request at any time,
// and all of them at once after a pause: their number and the rate together
// must stay below 1.5 times the rate and 5. The design size is 940 endpoints.
constexpr LimitDivision kColdDivision{.shares_per_request = 0.5,
                                      .minimum_shares = 4,
                                      .maximum_runs = 4096};

}  // namespace

void Entry::OnEvacuations(kernel::Time now,
                          std::span<const EvacuationItem> items,
                          std::uint64_t era) {
  m_state->ApplyEvacuations(now,
                            m_state->evacuations.OnSnapshot(now, items, era));
}

void Entry::OnEvacuated(kernel::Time now, const EvacuationItem& item) {
  m_state->ApplyEvacuations(now, m_state->evacuations.OnWritten(item));
}

void Entry::OnEvacuationTakenBack(kernel::Time now,
                                  const EvacuationItem& item) {
  m_state->ApplyEvacuations(now, m_state->evacuations.OnTakenBack(item));
}

EndpointLimits Entry::State::MakeColdRates(std::string entry) {
  EndpointLimits rates(std::move(entry), kColdDivision);
  rates.OnEntryCount(kInitialEntryCount);
  rates.OnAcquainted(false);
  return rates;
}

void Entry::State::TickColdRates(kernel::Time now) {
  if (!first_tick) {
    first_tick = now;
  }
  const bool acquainted = now - *first_tick >= kAcquaintanceTime;
  cold_rates.OnEntryCount(
      acquainted ? entry_count : std::max(entry_count, kInitialEntryCount));
  cold_rates.OnAcquainted(acquainted);
  cold_rates.OnTick(now);
}

void Entry::State::NoteColdChanges(kernel::Time now) {
  for (const auto& [service, pool] : pools) {
    for (ColdChange& change : pool->TakeColdChanges()) {
      Emit(EndpointCold{
          .service = service,
          .endpoint = std::move(change.endpoint),
          .cold = change.cold,
          .duration = std::chrono::duration_cast<std::chrono::milliseconds>(
              change.cold ? change.until - now : kernel::Duration::zero())});
    }
  }
}

void Entry::State::ApplyEvacuations(kernel::Time now,
                                    std::span<const EvacuationChange> changes) {
  for (const EvacuationChange& change : changes) {
    Emit(DataCentreEvacuated{
        .data_centre = change.data_centre,
        .evacuated = change.evacuated,
        .known = settings.regions.contains(change.data_centre)});
  }
  if (!changes.empty()) {
    for (const auto& [service, pool] : pools) {
      pool->OnEvacuations(now);
    }
  }
}

std::optional<std::vector<std::string>> Entry::State::AllowedDataCentresOf(
    const Call& call) const {
  return AllowedDataCentres(call.route.allowed_regions, call.workspace_regions,
                            settings.regions);
}

void Entry::State::UpdateAllowedRegions() {
  for (auto& [id, call] : calls) {
    const RouteRule* route =
        configurations.FindRoute(call.request->host, call.request->path);
    if (route != nullptr && route->readable) {
      call.route.allowed_regions = route->allowed_regions;
    }
    const WorkspaceRule* workspace =
        call.workspace.empty()
            ? nullptr
            : configurations.FindWorkspaceByName(call.workspace);
    if (workspace != nullptr) {
      call.workspace_regions = workspace->allowed_regions;
    }
  }
}

void Entry::State::NoteNoAllowedRegion(const Call& call) {
  const std::uint64_t version = configurations.Current().version;
  if (std::exchange(logged_configuration, version) != version) {
    logged_without_region.clear();
  }
  if (logged_without_region.emplace(call.route.name, call.workspace).second) {
    Emit(NoAllowedRegion{.route = call.route.name,
                         .workspace = call.workspace,
                         .configuration = version});
  }
}

}  // namespace radishrudder::direct
