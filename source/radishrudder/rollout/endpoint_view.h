#ifndef RADISHRUDDER_SOURCE_ROLLOUT_ENDPOINT_VIEW_H_
#define RADISHRUDDER_SOURCE_ROLLOUT_ENDPOINT_VIEW_H_

#include <cstdint>
#include <string>

#include "radishrudder/kernel/time.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// What the endpoint said last that it runs.
class EndpointView {
 public:
  explicit EndpointView(kernel::Duration interval) : m_interval(interval) {}

  // A read-back was asked for.
  void OnAsked(kernel::Time now);
  // Takes an answer. Returns false if it came so late that a pause of this
  // process may lie in between; it must be asked for again.
  bool Take(kernel::Time now, const EndpointStatus& status);
  // Returns whether a read-back is due.
  bool IsDue(kernel::Time now) const { return now >= m_next; }
  kernel::Time Next() const { return m_next; }

  bool IsKnown() const { return m_known; }
  // True while it answers; a few answers may be missed.
  bool IsReachable() const { return m_known && m_missed < kMissedAnswers; }
  // True after an answer from a run of the endpoint other than the last.
  bool HasRestarted() const { return m_restarted; }
  const std::string& Digest() const { return m_digest; }

 private:
  static constexpr std::uint32_t kMissedAnswers = 3;

  kernel::Duration m_interval;
  kernel::Time m_asked{};
  kernel::Time m_next{};
  std::string m_digest;
  std::string m_start_id;
  std::uint32_t m_missed = 0;
  bool m_known = false;
  bool m_restarted = false;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_SOURCE_ROLLOUT_ENDPOINT_VIEW_H_
