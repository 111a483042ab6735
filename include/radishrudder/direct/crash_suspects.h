#ifndef RADISHRUDDER_DIRECT_CRASH_SUSPECTS_H_
#define RADISHRUDDER_DIRECT_CRASH_SUSPECTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::direct {

// The end of one endpoint run while it worked on a prompt with a suspected
// part.
struct CrashSighting {
  std::string run{};  // Identifies the endpoint and its incarnation.
  kernel::Time seen_at{};
};

// What is known of one prompt part.
struct PartEvidence {
  std::string part{};
  std::vector<CrashSighting> crashes{};
  bool cleared = false;  // A prompt with this part was answered.
};

struct CrashSuspectSettings {
  // Crashes at different moments from which a part is blocked; one can be a
  // coincidence for every part in progress at the endpoint. From
  // `certain_crashes` on, at whatever moments, the block is the longer one.
  std::uint32_t blocking_crashes = 3;
  std::uint32_t certain_crashes = 5;
  // From which a call that failed is not sent to another endpoint.
  std::uint32_t suspicious_crashes = 2;
  // Duration of a block from the latest crash on.
  std::chrono::seconds block_duration{30};
  std::chrono::seconds certain_block_duration{600};
  // Crashes closer together count as one: a fault of the machines ends several
  // endpoints at once.
  std::chrono::milliseconds same_moment{100};
  // Evidence is forgotten after this time.
  std::chrono::seconds memory{600};
};

// Finds prompt parts that crash each endpoint that begins to answer them. A
// part is innocent once any prompt with it has been answered; a part that never
// was becomes a suspect when endpoints end while they work on it. State machine
// without clocks.
class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectSettings settings)
      : m_settings(settings) {}

  // An attempt broke off before its answer showed that its prompt is harmless.
  void OnBroken(kernel::Time now,
                std::span<const std::string> parts,
                std::string_view run);
  // An answer to a prompt with these parts got so far that none of them crashes
  // endpoints.
  void OnAnswered(kernel::Time now, std::span<const std::string> parts);

  // Returns the first of the parts that is blocked; empty: none is.
  std::string_view BlockedPart(kernel::Time now,
                               std::span<const std::string> parts) const;
  // Whether one of the parts has been seen at too many crashes to be tried at
  // another endpoint.
  bool IsSuspicious(kernel::Time now, std::span<const std::string> parts) const;

  // Evidence for other entries: suspected parts, and innocent ones that others
  // suspect.
  std::vector<PartEvidence> Evidence(kernel::Time now) const;
  // Merges what another entry knows.
  void Merge(kernel::Time now, std::span<const PartEvidence> evidence);
  // Increases with each change that other entries should learn of.
  std::uint64_t Revision() const { return m_revision; }
  // Parts that became blocked since the last call.
  std::vector<std::string> TakeNewlyBlocked();
  std::size_t Size() const { return m_suspects.size() + m_cleared.size(); }

 private:
  struct Suspect {
    std::vector<CrashSighting> crashes{};  // Ascending in time.
  };
  struct Cleared {
    kernel::Time at{};
    bool contested = false;  // Another entry suspects the part.
  };

  bool IsCleared(kernel::Time now, std::string_view part) const;
  void AddCrash(kernel::Time now,
                const std::string& part,
                const CrashSighting& crash);
  void Clear(kernel::Time now, const std::string& part, bool contested);
  // Number of moments at which endpoints ended.
  std::uint32_t Moments(kernel::Time now, const Suspect& suspect) const;
  bool IsBlocked(kernel::Time now, const Suspect& suspect) const;
  void LimitMemory(kernel::Time now);

  CrashSuspectSettings m_settings;
  std::map<std::string, Suspect, std::less<>> m_suspects;
  std::map<std::string, Cleared, std::less<>> m_cleared;
  std::vector<std::string> m_newly_blocked;
  std::uint64_t m_revision = 0;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CRASH_SUSPECTS_H_
