#ifndef RADISHRUDDER_WEIGHTS_SOURCE_SCHEDULE_H_
#define RADISHRUDDER_WEIGHTS_SOURCE_SCHEDULE_H_

#include <array>
#include <optional>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

// Chooses between the origin and the rate-limited store. A source that failed
// is not used for an exponential backoff with jitter; the store is used only
// during the backoff of the origin.
class SourceSchedule {
 public:
  // `maximum_backoff` applies before jitter. Without a store, no source is
  // available during the backoff of the origin.
  explicit SourceSchedule(
      kernel::Duration maximum_backoff = std::chrono::seconds(16),
      bool has_store = true)
      : m_maximum_backoff(maximum_backoff), m_has_store(has_store) {}

  // Returns the source to use, or nothing if all are in backoff.
  std::optional<Source> Choose(kernel::Time now) const;
  void OnSuccess(Source source);
  void OnFailure(kernel::Time now, Source source, kernel::Random& random);
  // Returns whether requests to the sources have been failing without a success
  // for at least `limit`.
  bool HasFailedFor(kernel::Time now, kernel::Duration limit) const;
  // Returns the earliest time at which a source is available.
  kernel::Time NextAvailable() const;

 private:
  struct State {
    std::uint32_t failures = 0;  // Consecutive failures, halved by a success.
    kernel::Time backoff_until{};
  };

  kernel::Duration m_maximum_backoff;
  bool m_has_store;
  std::array<State, 2> m_states;
  std::optional<kernel::Time> m_failing_since;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_SOURCE_SCHEDULE_H_
