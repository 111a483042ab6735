#include "radishrudder/direct/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace radishrudder::direct {
namespace {

// Limits of the memory; the parts whose evidence is oldest are forgotten first.
constexpr std::size_t kMaximumSuspects = 512;
constexpr std::size_t kMaximumCleared = 8192;
constexpr std::size_t kMaximumCrashesPerPart = 16;
// Number of parts that other entries are told of, most crashes first.
constexpr std::size_t kMaximumReportedParts = 128;

template <typename Map, typename TimeOf>
void ForgetOldest(Map& map, std::size_t maximum, TimeOf time_of) {
  while (map.size() > maximum) {
    map.erase(std::ranges::min_element(map, {}, [&time_of](const auto& item) {
      return time_of(item.second);
    }));
  }
}

}  // namespace

void CrashSuspects::OnBroken(kernel::Time now,
                             std::span<const std::string> parts,
                             std::string_view run) {
  for (const std::string& part : parts) {
    if (!IsCleared(now, part)) {
      AddCrash(now, part, {std::string(run), now});
    }
  }
}

void CrashSuspects::OnAnswered(kernel::Time now,
                               std::span<const std::string> parts) {
  for (const std::string& part : parts) {
    Clear(now, part, /*contested=*/false);
  }
}

std::string_view CrashSuspects::BlockedPart(
    kernel::Time now,
    std::span<const std::string> parts) const {
  for (const std::string& part : parts) {
    const auto suspect = m_suspects.find(part);
    if (suspect != m_suspects.end() && IsBlocked(now, suspect->second)) {
      return part;
    }
  }
  return {};
}

bool CrashSuspects::IsSuspicious(kernel::Time now,
                                 std::span<const std::string> parts) const {
  return std::ranges::any_of(parts, [this, now](const std::string& part) {
    const auto suspect = m_suspects.find(part);
    return suspect != m_suspects.end() &&
           Moments(now, suspect->second) >= m_settings.suspicious_crashes;
  });
}

std::vector<PartEvidence> CrashSuspects::Evidence(kernel::Time now) const {
  std::vector<PartEvidence> evidence;
  for (const auto& [part, suspect] : m_suspects) {
    if (Moments(now, suspect) > 0) {
      evidence.push_back({part, suspect.crashes, /*cleared=*/false});
    }
  }
  std::ranges::stable_sort(
      evidence, std::ranges::greater{},
      [](const PartEvidence& item) { return item.crashes.size(); });
  if (evidence.size() > kMaximumReportedParts) {
    evidence.resize(kMaximumReportedParts);
  }
  std::size_t reported = 0;
  for (const auto& [part, cleared] : m_cleared) {
    if (cleared.contested && IsCleared(now, part) &&
        reported++ < kMaximumReportedParts) {
      evidence.push_back({part, {}, /*cleared=*/true});
    }
  }
  return evidence;
}

void CrashSuspects::Merge(kernel::Time now,
                          std::span<const PartEvidence> evidence) {
  for (const PartEvidence& item : evidence) {
    if (item.cleared) {
      if (!IsCleared(now, item.part)) {
        Clear(now, item.part, /*contested=*/true);
      }
      continue;
    }
    const auto cleared = m_cleared.find(item.part);
    if (cleared != m_cleared.end() && IsCleared(now, item.part)) {
      m_revision += cleared->second.contested ? 0 : 1;
      cleared->second.contested = true;
      continue;
    }
    for (const CrashSighting& crash : item.crashes) {
      AddCrash(now, item.part, crash);
    }
  }
}

std::vector<std::string> CrashSuspects::TakeNewlyBlocked() {
  return std::exchange(m_newly_blocked, {});
}

bool CrashSuspects::IsCleared(kernel::Time now, std::string_view part) const {
  const auto cleared = m_cleared.find(part);
  return cleared != m_cleared.end() &&
         now - cleared->second.at < m_settings.memory;
}

void CrashSuspects::AddCrash(kernel::Time now,
                             const std::string& part,
                             const CrashSighting& crash) {
  if (now - crash.seen_at >= m_settings.memory) {
    return;
  }
  Suspect& suspect = m_suspects[part];
  const bool was_blocked = IsBlocked(now, suspect);
  std::erase_if(suspect.crashes, [this, now](const CrashSighting& known) {
    return now - known.seen_at >= m_settings.memory;
  });
  const bool known = std::ranges::any_of(
      suspect.crashes,
      [&crash](const CrashSighting& other) { return other.run == crash.run; });
  const bool full = suspect.crashes.size() >= kMaximumCrashesPerPart;
  if (known || (full && crash.seen_at <= suspect.crashes.front().seen_at)) {
    return;
  }
  if (full) {
    suspect.crashes.erase(suspect.crashes.begin());
  }
  const auto position = std::ranges::upper_bound(suspect.crashes, crash.seen_at,
                                                 {}, &CrashSighting::seen_at);
  suspect.crashes.insert(position, crash);
  ++m_revision;
  if (!was_blocked && IsBlocked(now, suspect)) {
    m_newly_blocked.push_back(part);
  }
  LimitMemory(now);
}

void CrashSuspects::Clear(kernel::Time now,
                          const std::string& part,
                          bool contested) {
  const bool suspected = m_suspects.erase(part) > 0;
  Cleared& cleared = m_cleared[part];
  cleared.at = now;
  if ((suspected || contested) && !cleared.contested) {
    cleared.contested = true;
    ++m_revision;
  }
  LimitMemory(now);
}

std::uint32_t CrashSuspects::Moments(kernel::Time now,
                                     const Suspect& suspect) const {
  std::uint32_t moments = 0;
  std::optional<kernel::Time> previous;
  for (const CrashSighting& crash : suspect.crashes) {
    if (now - crash.seen_at >= m_settings.memory) {
      continue;
    }
    if (!previous || crash.seen_at - *previous > m_settings.same_moment) {
      ++moments;
      previous = crash.seen_at;
    }
  }
  return moments;
}

bool CrashSuspects::IsBlocked(kernel::Time now, const Suspect& suspect) const {
  const std::uint32_t moments = Moments(now, suspect);
  if (moments < m_settings.blocking_crashes) {
    return false;
  }
  const std::chrono::seconds duration =
      suspect.crashes.size() >= m_settings.certain_crashes
          ? m_settings.certain_block_duration
          : m_settings.block_duration;
  return now - suspect.crashes.back().seen_at < duration;
}

void CrashSuspects::LimitMemory(kernel::Time now) {
  ForgetOldest(
      m_suspects, kMaximumSuspects, [this, now](const Suspect& suspect) {
        // Blocked parts are kept.
        if (IsBlocked(now, suspect)) {
          return kernel::Time::max();
        }
        return suspect.crashes.empty() ? kernel::Time::min()
                                       : suspect.crashes.back().seen_at;
      });
  ForgetOldest(m_cleared, kMaximumCleared,
               [](const Cleared& cleared) { return cleared.at; });
}

}  // namespace radishrudder::direct
