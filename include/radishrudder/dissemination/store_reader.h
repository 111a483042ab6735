#ifndef RADISHRUDDER_DISSEMINATION_STORE_READER_H_
#define RADISHRUDDER_DISSEMINATION_STORE_READER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::dissemination {

// One key of a store as of a revision.
struct StoreItem {
  std::string key{};
  std::string value{};         // Empty where `removed`.
  std::uint64_t revision = 0;  // Of its last change.
  bool removed = false;
};

// Read the keys of the prefix that come after `after`.
struct ReadPage {
  std::string after{};
};
// Wait for changes after a revision.
struct WatchChanges {
  std::uint64_t revision = 0;
  std::chrono::milliseconds wait{0};
};
// Every key of the prefix, as of at least `revision`.
struct WholePrefix {
  std::vector<StoreItem> items{};
  std::uint64_t revision = 0;
  // The store could not be read before, for so long that the time for what it
  // newly holds begins only now.
  bool after_outage = false;
};
// What changed, in order.
struct PrefixChanges {
  std::vector<StoreItem> items{};
};
// Nothing newer than what was delivered existed when it was asked at `asked`.
struct PrefixConfirmed {
  kernel::BootTime asked{};
};
// The store stopped answering, or answers again.
struct StoreLost {};
struct StoreRegained {};

using StoreOutput = std::variant<ReadPage,
                                 WatchChanges,
                                 WholePrefix,
                                 PrefixChanges,
                                 PrefixConfirmed,
                                 StoreLost,
                                 StoreRegained>;

struct StoreReaderSettings {
  // How long a watch may wait. The store's silence is noticed after this time
  // and the client's own allowance for an answer.
  std::chrono::milliseconds watch_wait{1000};
  // Least time between two watches, so that changes in quick succession
  // arrive together.
  std::chrono::milliseconds pause{100};
  // After a failure; doubled by each further one.
  std::chrono::milliseconds first_retry{60};
  std::chrono::milliseconds longest_retry{500};
  // Failures in a row for this long are an outage.
  std::chrono::milliseconds outage{1000};
};

// Follows all keys of one prefix in a store that can only be read: reads them
// page by page, then watches, and reads all again where the store's history
// does not reach back. One request at a time. State machine without sockets,
// threads or clocks.
class StoreReader {
 public:
  StoreReader(StoreReaderSettings settings, kernel::Random random)
      : m_settings(settings), m_random(random) {}

  void OnTick(kernel::Time now, kernel::BootTime boot_now);
  kernel::Time NextTick() const { return m_next; }
  // The answer to the request in progress. `revision` is the store's.
  void OnPage(kernel::Time now,
              std::vector<StoreItem> items,
              bool has_more,
              std::uint64_t revision);
  void OnChanges(kernel::Time now,
                 std::vector<StoreItem> items,
                 std::uint64_t revision);
  void OnHistoryGone(kernel::Time now);
  // No answer, or one that is none.
  void OnFailed(kernel::Time now);
  std::vector<StoreOutput> TakeOutputs();

  bool IsReachable() const { return m_failures == 0; }

 private:
  enum class Phase { kReading, kWatching };

  void OnAnswered(kernel::Time now);

  StoreReaderSettings m_settings;
  kernel::Random m_random;
  Phase m_phase = Phase::kReading;
  bool m_asked = false;  // A request is in progress.
  kernel::Time m_next{};
  kernel::BootTime m_asked_at{};
  kernel::BootTime m_read_began{};
  std::vector<StoreItem> m_items;  // Of the pages read so far.
  std::uint64_t m_revision = 0;
  kernel::Time m_failing_since{};  // Where there are failures.
  bool m_after_outage = false;     // Told with the next whole prefix.
  std::uint32_t m_failures = 0;
  std::vector<StoreOutput> m_outputs;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_STORE_READER_H_
