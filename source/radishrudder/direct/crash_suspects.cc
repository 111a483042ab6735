#include "radishrudder/direct/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace radishrudder::direct {
namespace {

// Limits of the memory; what has the oldest evidence is forgotten first.
constexpr std::size_t kMaximumSuspects = 512;
constexpr std::size_t kMaximumCleared = 8192;
constexpr std::size_t kMaximumResponded = 1024;
constexpr std::size_t kMaximumCrashesPerSuspect = 16;
// Number of suspects, and of harmless signatures, that other entries are told
// of: most crashes first, then the latest ones. A report holds four times as
// many.
constexpr std::size_t kMaximumReported = 64;

constexpr std::chrono::seconds kCleanupInterval{1};

// Share of the items that are forgotten at once when there are too many, so
// that an insertion takes constant time on average.
constexpr std::size_t kForgottenDivisor = 8;

template <typename Map, typename TimeOf>
void ForgetOldest(Map& map, std::size_t maximum, TimeOf time_of) {
  if (map.size() <= maximum) {
    return;
  }
  const std::size_t forgotten =
      map.size() - maximum + maximum / kForgottenDivisor;
  std::vector<std::pair<kernel::Time, typename Map::iterator>> items;
  items.reserve(map.size());
  for (auto item = map.begin(); item != map.end(); ++item) {
    items.emplace_back(time_of(item->second), item);
  }
  std::ranges::sort(items, {}, [](const auto& item) { return item.first; });
  for (std::size_t i = 0; i < forgotten; ++i) {
    // What is to be kept has the latest time.
    if (items[i].first == kernel::Time::max() && map.size() <= maximum) {
      return;
    }
    map.erase(items[i].second);
  }
}

}  // namespace

template <SignatureKind Kind>
void CrashSuspects<Kind>::OnBroken(std::span<const std::string> signatures,
                                   const CrashSighting& crash) {
  for (const std::string& signature : signatures) {
    if (!IsExcused(crash.seen_at, signature, crash)) {
      AddCrash(crash.seen_at, signature, crash);
    }
  }
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::OnAnswered(kernel::Time now,
                                     std::span<const std::string> signatures) {
  for (const std::string& signature : signatures) {
    if (Kind::kAnswerExcusesLaterCrashes || m_suspects.contains(signature)) {
      Clear(now, signature, now, /*contested=*/false);
    }
  }
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::OnResponded(std::string_view run,
                                      kernel::Time began_at) {
  if (m_suspects.empty()) {
    return;
  }
  Responses& known =
      m_responded.try_emplace(std::string(run), Responses{began_at, began_at})
          .first->second;
  if (began_at >= known.last_began_at + m_settings.minimum_restart_time) {
    known = {began_at, began_at};
  } else if (began_at + m_settings.minimum_restart_time >
             known.first_began_at) {
    known = {std::min(known.first_began_at, began_at),
             std::max(known.last_began_at, began_at)};
  }
  const Responses responses = known;
  ForgetOldest(m_responded, kMaximumResponded,
               [](const Responses& item) { return item.last_began_at; });
  for (auto suspect = m_suspects.begin(); suspect != m_suspects.end();) {
    std::vector<CrashSighting>& crashes = suspect->second.crashes;
    std::erase_if(crashes, [this, run, &responses](const CrashSighting& crash) {
      return crash.run == run && HasOutlived(responses, crash.seen_at);
    });
    suspect = crashes.empty() ? m_suspects.erase(suspect) : std::next(suspect);
  }
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::OnTick(kernel::Time now) {
  if (now < m_next_cleanup) {
    return;
  }
  m_next_cleanup = now + kCleanupInterval;
  const auto is_old = [this, now](kernel::Time time) {
    return now - time >= m_settings.memory;
  };
  std::erase_if(m_suspects, [&is_old](const auto& item) {
    return is_old(item.second.crashes.back().seen_at);
  });
  std::erase_if(m_cleared,
                [&is_old](const auto& item) { return is_old(item.second.at); });
  std::erase_if(m_responded, [&is_old](const auto& item) {
    return is_old(item.second.last_began_at);
  });
}

template <SignatureKind Kind>
std::string_view CrashSuspects<Kind>::FindBlocked(
    kernel::Time now,
    std::span<const std::string> signatures) const {
  for (const std::string& signature : signatures) {
    const auto suspect = m_suspects.find(signature);
    if (suspect != m_suspects.end() && IsBlocked(now, suspect->second)) {
      return signature;
    }
  }
  return {};
}

template <SignatureKind Kind>
bool CrashSuspects<Kind>::IsSuspicious(
    kernel::Time now,
    std::span<const std::string> signatures) const {
  return std::ranges::any_of(
      signatures, [this, now](const std::string& signature) {
        const auto suspect = m_suspects.find(signature);
        return suspect != m_suspects.end() &&
               Moments(now, suspect->second) >= m_settings.suspicious_crashes;
      });
}

template <SignatureKind Kind>
std::vector<SuspectEvidence> CrashSuspects<Kind>::Evidence(
    kernel::Time now) const {
  std::vector<SuspectEvidence> evidence;
  for (const auto& [signature, suspect] : m_suspects) {
    if (Moments(now, suspect) > 0) {
      evidence.push_back({.signature = signature, .crashes = suspect.crashes});
    }
  }
  std::ranges::stable_sort(
      evidence, std::ranges::greater{}, [](const SuspectEvidence& item) {
        return std::pair(item.crashes.size(), item.crashes.back().seen_at);
      });
  if (evidence.size() > kMaximumReported) {
    evidence.resize(kMaximumReported);
  }
  std::vector<SuspectEvidence> answers;
  for (const auto& [signature, cleared] : m_cleared) {
    if (cleared.contested && IsCleared(now, signature)) {
      answers.push_back({.signature = signature, .cleared_at = cleared.at});
    }
  }
  const std::size_t reported = std::min(answers.size(), kMaximumReported);
  std::ranges::partial_sort(
      answers, answers.begin() + static_cast<std::ptrdiff_t>(reported),
      std::ranges::greater{},
      [](const SuspectEvidence& item) { return *item.cleared_at; });
  answers.resize(reported);
  std::ranges::move(answers, std::back_inserter(evidence));
  return evidence;
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::Merge(kernel::Time now,
                                const SuspectEvidence& evidence) {
  const std::string& signature = evidence.signature;
  if (evidence.cleared_at) {
    const bool known = IsCleared(now, signature) &&
                       (Kind::kAnswerExcusesLaterCrashes ||
                        !ExcusesKnownCrashes(signature, *evidence.cleared_at));
    if (!known) {
      Clear(now, signature, *evidence.cleared_at, /*contested=*/true);
    }
  }
  for (const CrashSighting& crash : evidence.crashes) {
    if (!IsExcused(now, signature, crash)) {
      AddCrash(now, signature, crash);
      continue;
    }
    Cleared& cleared = m_cleared.find(signature)->second;
    m_revision += cleared.contested ? 0 : 1;
    cleared.contested = true;
  }
}

template <SignatureKind Kind>
std::vector<std::string> CrashSuspects<Kind>::TakeNewlyBlocked() {
  return std::exchange(m_newly_blocked, {});
}

template <SignatureKind Kind>
bool CrashSuspects<Kind>::IsCleared(kernel::Time now,
                                    std::string_view signature) const {
  const auto cleared = m_cleared.find(signature);
  return cleared != m_cleared.end() &&
         now - cleared->second.at < m_settings.memory;
}

template <SignatureKind Kind>
bool CrashSuspects<Kind>::IsExcused(kernel::Time now,
                                    std::string_view signature,
                                    const CrashSighting& crash) const {
  return IsCleared(now, signature) &&
         (Kind::kAnswerExcusesLaterCrashes ||
          crash.seen_at <= m_cleared.find(signature)->second.at);
}

template <SignatureKind Kind>
bool CrashSuspects<Kind>::ExcusesKnownCrashes(std::string_view signature,
                                              kernel::Time answered_at) const {
  const auto suspect = m_suspects.find(signature);
  return suspect != m_suspects.end() &&
         std::ranges::any_of(suspect->second.crashes,
                             [answered_at](const CrashSighting& crash) {
                               return crash.seen_at <= answered_at;
                             });
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::AddCrash(kernel::Time now,
                                   const std::string& signature,
                                   const CrashSighting& crash) {
  if (now - crash.seen_at >= m_settings.memory) {
    return;
  }
  const auto responded = m_responded.find(crash.run);
  if (responded != m_responded.end() &&
      HasOutlived(responded->second, crash.seen_at)) {
    return;
  }
  Suspect& suspect = m_suspects[signature];
  const bool was_blocked = IsBlocked(now, suspect);
  std::erase_if(suspect.crashes, [this, now](const CrashSighting& known) {
    return now - known.seen_at >= m_settings.memory;
  });
  const bool known = std::ranges::any_of(
      suspect.crashes,
      [&crash](const CrashSighting& other) { return other.run == crash.run; });
  const bool full = suspect.crashes.size() >= kMaximumCrashesPerSuspect;
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
    m_newly_blocked.push_back(signature);
  }
  LimitMemory(now);
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::Clear(kernel::Time now,
                                const std::string& signature,
                                kernel::Time at,
                                bool contested) {
  bool suspected = false;
  if (const auto suspect = m_suspects.find(signature);
      suspect != m_suspects.end()) {
    std::vector<CrashSighting>& crashes = suspect->second.crashes;
    suspected =
        std::erase_if(crashes, [at](const CrashSighting& crash) {
          return Kind::kAnswerExcusesLaterCrashes || crash.seen_at <= at;
        }) > 0;
    if (crashes.empty()) {
      m_suspects.erase(suspect);
    }
  }
  Cleared& cleared = m_cleared[signature];
  cleared.at = std::max(cleared.at, at);
  if ((suspected || contested) &&
      (!cleared.contested || !Kind::kAnswerExcusesLaterCrashes)) {
    cleared.contested = true;
    ++m_revision;
  }
  LimitMemory(now);
}

template <SignatureKind Kind>
std::uint32_t CrashSuspects<Kind>::Moments(kernel::Time now,
                                           const Suspect& suspect) const {
  std::uint32_t moments = 0;
  std::optional<kernel::Time> previous;
  for (const CrashSighting& crash : suspect.crashes) {
    if (now - crash.seen_at >= m_settings.memory) {
      continue;
    }
    const std::chrono::milliseconds same_moment =
        previous && crash.began_at >= *previous
            ? m_settings.same_moment_of_later_attempt
            : m_settings.same_moment;
    if (!previous || crash.seen_at - *previous > same_moment) {
      ++moments;
      previous = crash.seen_at;
    }
  }
  return moments;
}

template <SignatureKind Kind>
bool CrashSuspects<Kind>::IsBlocked(kernel::Time now,
                                    const Suspect& suspect) const {
  const std::uint32_t moments = Moments(now, suspect);
  if (moments < m_settings.blocking_crashes) {
    // Enough endpoints ended, though at too few moments to tell a fault of the
    // machines: entries try one after the other.
    return moments >= m_settings.suspicious_crashes &&
           suspect.crashes.size() >= m_settings.blocking_crashes &&
           now - suspect.crashes.back().seen_at < m_settings.additional_block;
  }
  const std::chrono::seconds duration =
      suspect.crashes.size() >= m_settings.certain_crashes
          ? m_settings.certain_block_duration
          : m_settings.block_duration;
  return now - suspect.crashes.back().seen_at <
         duration + m_settings.additional_block;
}

template <SignatureKind Kind>
void CrashSuspects<Kind>::LimitMemory(kernel::Time now) {
  ForgetOldest(
      m_suspects, kMaximumSuspects, [this, now](const Suspect& suspect) {
        // What is blocked is kept.
        if (IsBlocked(now, suspect)) {
          return kernel::Time::max();
        }
        return suspect.crashes.empty() ? kernel::Time::min()
                                       : suspect.crashes.back().seen_at;
      });
  ForgetOldest(m_cleared, kMaximumCleared,
               [](const Cleared& cleared) { return cleared.at; });
}

template class CrashSuspects<PromptPartSignature>;
template class CrashSuspects<RequestSignature>;

}  // namespace radishrudder::direct
