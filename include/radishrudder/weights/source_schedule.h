#ifndef RADISHRUDDER_WEIGHTS_SOURCE_SCHEDULE_H_
#define RADISHRUDDER_WEIGHTS_SOURCE_SCHEDULE_H_

#include <array>
#include <optional>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

// Chooses between the origin and the rate-limited store. A source that failed
// rests with exponential backoff and jitter; the store is used only while the
// origin rests.
class SourceSchedule {
 public:
  // No rest is longer than `longest_rest`, but for jitter. Without a store,
  // nothing stands in for the origin.
  explicit SourceSchedule(
      kernel::Duration longest_rest = std::chrono::seconds(16),
      bool has_store = true)
      : m_longest_rest(longest_rest), m_has_store(has_store) {}

  // Returns the source to use now, or nothing while both rest.
  std::optional<Source> Choose(kernel::Time now) const;
  void OnSuccess(Source source);
  void OnFailure(kernel::Time now, Source source, kernel::Random& random);
  // Returns whether nothing came from any source for `limit`, though asked.
  bool FailedFor(kernel::Time now, kernel::Duration limit) const;
  // Returns when a source may be used again.
  kernel::Time NextChoice() const;

 private:
  struct State {
    std::uint32_t failures = 0;  // In a row.
    kernel::Time rests_until{};
  };

  kernel::Duration m_longest_rest;
  bool m_has_store;
  std::array<State, 2> m_states;
  std::optional<kernel::Time> m_failing_since;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_SOURCE_SCHEDULE_H_
