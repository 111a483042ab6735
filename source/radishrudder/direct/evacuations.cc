#include "radishrudder/direct/evacuations.h"

#include <algorithm>

namespace radishrudder::direct {
namespace {

// After the store came back from an older copy, an operator needs some seconds
// to write again what the copy lacks.
constexpr std::chrono::seconds kRewriteTime{10};
constexpr std::size_t kMaximumDataCentres = 256;

}  // namespace

std::vector<EvacuationChange> Evacuations::OnSnapshot(
    kernel::Time now,
    std::span<const EvacuationItem> items,
    std::uint64_t era) {
  std::vector<EvacuationChange> changes;
  const bool new_era = m_era && era > *m_era;
  if (era != m_era) {
    // Revisions of another era can't be compared.
    m_taken_back.clear();
    m_era = era;
  }
  std::set<std::string_view> present;
  for (const EvacuationItem& item : items) {
    present.insert(item.data_centre);
    const bool known = m_evacuated.contains(item.data_centre);
    if (known || m_evacuated.size() < kMaximumDataCentres) {
      m_evacuated[item.data_centre] = {.revision = item.revision};
    }
    if (!known && m_evacuated.contains(item.data_centre)) {
      changes.push_back({item.data_centre, true});
    }
  }
  for (auto evacuation = m_evacuated.begin();
       evacuation != m_evacuated.end();) {
    if (present.contains(evacuation->first)) {
      ++evacuation;
    } else if (new_era || evacuation->second.ends_at) {
      if (!evacuation->second.ends_at) {
        evacuation->second.ends_at = now + kRewriteTime;
      }
      ++evacuation;
    } else {
      changes.push_back({evacuation->first, false});
      evacuation = m_evacuated.erase(evacuation);
    }
  }
  return changes;
}

std::vector<EvacuationChange> Evacuations::OnWritten(
    const EvacuationItem& item) {
  const auto taken_back = m_taken_back.find(item.data_centre);
  if (taken_back != m_taken_back.end()) {
    if (item.revision <= taken_back->second) {
      return {};
    }
    m_taken_back.erase(taken_back);
  }
  const auto known = m_evacuated.find(item.data_centre);
  if (known != m_evacuated.end()) {
    // The revision of one that is kept is of another era.
    if (known->second.ends_at || item.revision > known->second.revision) {
      known->second = {.revision = item.revision};
    }
    return {};
  }
  if (m_evacuated.size() >= kMaximumDataCentres) {
    return {};
  }
  m_evacuated[item.data_centre] = {.revision = item.revision};
  return {{item.data_centre, true}};
}

std::vector<EvacuationChange> Evacuations::OnTakenBack(
    const EvacuationItem& item) {
  const auto found = m_evacuated.find(item.data_centre);
  const bool known = found != m_evacuated.end();
  if (known && !found->second.ends_at &&
      item.revision < found->second.revision) {
    return {};
  }
  if (m_taken_back.contains(item.data_centre) ||
      m_taken_back.size() < kMaximumDataCentres) {
    std::uint64_t& revision = m_taken_back[item.data_centre];
    revision = std::max(revision, item.revision);
  }
  if (!known) {
    return {};
  }
  m_evacuated.erase(found);
  return {{item.data_centre, false}};
}

std::vector<EvacuationChange> Evacuations::OnTick(kernel::Time now) {
  std::vector<EvacuationChange> changes;
  for (auto evacuation = m_evacuated.begin();
       evacuation != m_evacuated.end();) {
    if (evacuation->second.ends_at && *evacuation->second.ends_at <= now) {
      changes.push_back({evacuation->first, false});
      evacuation = m_evacuated.erase(evacuation);
    } else {
      ++evacuation;
    }
  }
  return changes;
}

}  // namespace radishrudder::direct
