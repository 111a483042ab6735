#ifndef RADISHRUDDER_SOURCE_ROLLOUT_ENDPOINT_VIEW_H_
#define RADISHRUDDER_SOURCE_ROLLOUT_ENDPOINT_VIEW_H_

#include <cstdint>
#include <string>

#include "radishrudder/kernel/time.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

enum class StatusUse {
  kApplied,
  kIgnored,    // A later read-back is outstanding or was answered.
  kMustRepeat  // It is too old, and no later read-back is outstanding.
};

// The last status that the endpoint reported, and the schedule of read-backs.
class EndpointView {
 public:
  explicit EndpointView(kernel::Duration read_back_interval)
      : m_read_back_interval(read_back_interval) {}

  // Returns the next read-back.
  ReadBack RequestReadBack(kernel::Time now);
  // Ignores the answers to all read-backs requested so far.
  void DiscardOutstanding() { m_first_valid_number = m_last_number + 1; }
  // Applies a status unless it is outdated or so old that this process may have
  // been paused since the request. Statuses are applied in the order of their
  // requests.
  StatusUse ApplyStatus(kernel::Time now,
                        const ReadBack& request,
                        const EndpointStatus& status);
  bool IsReadBackDue(kernel::Time now) const { return now >= m_next_read_back; }
  kernel::Time NextReadBack() const { return m_next_read_back; }

  bool IsKnown() const { return m_is_known; }
  // True while the endpoint responds; tolerates a few missed responses in a
  // row.
  bool IsReachable() const {
    return m_is_known && m_missed_responses < kUnreachableAfterMissed;
  }
  // True if the endpoint responded to the last read-back.
  bool HasResponded() const { return m_is_known && m_missed_responses == 0; }
  // True if the last status came from another run of the endpoint than the
  // status before.
  bool HasRestarted() const { return m_has_restarted; }
  const std::string& RunningDigest() const { return m_running_digest; }

 private:
  static constexpr std::uint32_t kUnreachableAfterMissed = 3;

  kernel::Duration m_read_back_interval;
  std::uint64_t m_last_number = 0;
  std::uint64_t m_first_valid_number = 1;
  kernel::Time m_next_read_back{};
  std::string m_running_digest;
  std::string m_start_id;
  std::uint32_t m_missed_responses = 0;
  bool m_is_known = false;
  bool m_has_restarted = false;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_SOURCE_ROLLOUT_ENDPOINT_VIEW_H_
