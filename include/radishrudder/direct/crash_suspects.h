#ifndef RADISHRUDDER_DIRECT_CRASH_SUSPECTS_H_
#define RADISHRUDDER_DIRECT_CRASH_SUSPECTS_H_

#include <chrono>
#include <concepts>
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

// The end of one endpoint run while it worked on a request with a suspected
// signature.
struct CrashSighting {
  std::string run{};  // Identifies the endpoint and its incarnation.
  kernel::Time seen_at{};
  kernel::Time began_at{};  // When the attempt at this endpoint began.
};

// What is known of one signature.
struct SuspectEvidence {
  std::string signature{};
  std::vector<CrashSighting> crashes{};
  // When a request with it was answered last; nothing: unknown or never.
  std::optional<kernel::Time> cleared_at{};
};

// Kinds of signatures.
//
// The id of a prompt part, which many requests share. An answer to one of them
// shows that the part is harmless, whatever else the others carry.
struct PromptPartSignature {
  static constexpr bool kAnswerExcusesLaterCrashes = true;
};
// The digest of a whole request. An answer says nothing of repetitions that
// come after it.
struct RequestSignature {
  static constexpr bool kAnswerExcusesLaterCrashes = false;
};

template <typename T>
concept SignatureKind = requires {
  { T::kAnswerExcusesLaterCrashes } -> std::convertible_to<bool>;
};

struct CrashSuspectSettings {
  // Crashes at different moments from which a signature is blocked; one can be
  // a coincidence for every request in progress at the endpoint. From
  // `certain_crashes` on, at whatever moments, the block is the longer one.
  std::uint32_t blocking_crashes = 3;
  std::uint32_t certain_crashes = 5;
  // From which a call that failed is not sent to another endpoint.
  std::uint32_t suspicious_crashes = 2;
  // Duration of a block from the latest crash on.
  std::chrono::seconds block_duration{30};
  std::chrono::seconds certain_block_duration{600};
  // Added to both. Entries whose blocks end at different times learn from the
  // first one whether the signature still crashes endpoints.
  std::chrono::milliseconds additional_block{0};
  // Crashes closer together count as one: a fault of the machines ends several
  // endpoints at once. An attempt that began after the crash before it may end
  // in the same fault, but only for a shorter time.
  std::chrono::milliseconds same_moment{100};
  std::chrono::milliseconds same_moment_of_later_attempt{40};
  // An endpoint takes at least this long to start again. A response to an
  // attempt that began later may be of its next run under the same id, listed
  // late.
  std::chrono::milliseconds minimum_restart_time{2000};
  // Evidence is forgotten after this time.
  std::chrono::seconds memory{600};
};

// Finds what requests carry that crashes each endpoint which begins to work on
// it. A signature becomes a suspect when endpoints end while they work on
// requests with it, and stops being one when such a request is answered. State
// machine without clocks.
template <SignatureKind Kind>
class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectSettings settings)
      : m_settings(settings) {}

  // An attempt broke off before its answer showed that its request is harmless.
  void OnBroken(std::span<const std::string> signatures,
                const CrashSighting& crash);
  // An answer to a request with these signatures got so far that none of them
  // crashes endpoints.
  void OnAnswered(kernel::Time now, std::span<const std::string> signatures);
  // An endpoint run responded to an attempt that began at that time, so it had
  // not ended before: only connections to it had.
  void OnResponded(std::string_view run, kernel::Time began_at);

  // Forgets evidence that has become too old.
  void OnTick(kernel::Time now);

  // Returns the first of the signatures that is blocked; empty: none is.
  std::string_view FindBlocked(kernel::Time now,
                               std::span<const std::string> signatures) const;
  // Whether one of the signatures has been seen at too many crashes to be tried
  // at another endpoint.
  bool IsSuspicious(kernel::Time now,
                    std::span<const std::string> signatures) const;
  // Whether nothing is suspected.
  bool IsEmpty() const { return m_suspects.empty(); }

  // Evidence for other entries: suspects, and harmless signatures that others
  // suspect.
  std::vector<SuspectEvidence> Evidence(kernel::Time now) const;
  // Merges what another entry knows.
  void Merge(kernel::Time now, const SuspectEvidence& evidence);
  // Increases with each change that other entries should learn of.
  std::uint64_t Revision() const { return m_revision; }
  // Signatures that became blocked since the last call.
  std::vector<std::string> TakeNewlyBlocked();
  std::size_t Size() const {
    return m_suspects.size() + m_cleared.size() + m_responded.size();
  }

 private:
  struct Suspect {
    std::vector<CrashSighting> crashes{};  // Ascending in time.
  };
  struct Cleared {
    kernel::Time at{};
    bool contested = false;  // Another entry suspects the signature.
  };

  // Attempts of one run that were responded to, none of which began much later
  // than the one before.
  struct Responses {
    kernel::Time first_began_at{};
    kernel::Time last_began_at{};
  };

  // Whether the run was still there after it seemed to have ended.
  bool HasOutlived(const Responses& responses, kernel::Time seen_at) const {
    return seen_at <= responses.last_began_at &&
           seen_at + m_settings.minimum_restart_time > responses.first_began_at;
  }
  bool IsCleared(kernel::Time now, std::string_view signature) const;
  // Whether an answer shows that the crash had another cause.
  bool IsExcused(kernel::Time now,
                 std::string_view signature,
                 const CrashSighting& crash) const;
  // Whether an answer came after a crash that is still held against the
  // signature. Times from reports appear later with each report, so a later
  // time alone is no news.
  bool ExcusesKnownCrashes(std::string_view signature,
                           kernel::Time answered_at) const;
  void AddCrash(kernel::Time now,
                const std::string& signature,
                const CrashSighting& crash);
  void Clear(kernel::Time now,
             const std::string& signature,
             kernel::Time at,
             bool contested);
  // Number of moments at which endpoints ended.
  std::uint32_t Moments(kernel::Time now, const Suspect& suspect) const;
  bool IsBlocked(kernel::Time now, const Suspect& suspect) const;
  void LimitMemory(kernel::Time now);

  CrashSuspectSettings m_settings;
  std::map<std::string, Suspect, std::less<>> m_suspects;
  std::map<std::string, Cleared, std::less<>> m_cleared;
  // Endpoint runs that responded while something was suspected.
  std::map<std::string, Responses, std::less<>> m_responded;
  std::vector<std::string> m_newly_blocked;
  std::uint64_t m_revision = 0;
  kernel::Time m_next_cleanup{};
};

extern template class CrashSuspects<PromptPartSignature>;
extern template class CrashSuspects<RequestSignature>;

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CRASH_SUSPECTS_H_
