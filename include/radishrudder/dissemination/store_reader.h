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

// State of one key of the store after its last change.
struct StoreItem {
  std::string key{};
  std::string value{};         // Empty if `removed`.
  std::uint64_t revision = 0;  // Revision of the last change.
  bool removed = false;
  // Era of the store that the revision belongs to; see `StoreEraChanged`.
  std::uint64_t era = 0;
};

// Requests the page of keys of the prefix that sort after the key `after`
// (empty: the first page).
struct ReadPage {
  std::string after{};
};
// Requests the changes after a revision, waiting up to `wait` for one.
struct WatchChanges {
  std::uint64_t revision = 0;
  std::chrono::milliseconds wait{0};
};
// Delivers every key of the prefix, as of at least `revision`.
struct PrefixSnapshot {
  std::vector<StoreItem> items{};
  std::uint64_t revision = 0;
  // Latest time at which the items delivered earlier were complete: items that
  // are new in this snapshot were stored later. Nothing: the first read.
  std::optional<kernel::BootTime> previously_complete_at{};
  // How long requests had failed before this response; zero: the preceding one
  // succeeded.
  kernel::Duration failed_for{};
  std::uint64_t era = 0;
};
// Delivers changed keys, in the order of their changes.
struct PrefixChanges {
  std::vector<StoreItem> items{};
  // Latest time at which the items delivered earlier were complete. The changes
  // were made at any later time: the process may have been suspended, cut off
  // or refused meanwhile.
  std::optional<kernel::BootTime> previously_complete_at{};
  // How long requests had failed before this response; zero: the preceding one
  // succeeded.
  kernel::Duration failed_for{};
};
// Confirms that every change that the store held at `requested_at`, the time
// the request was sent, has been delivered.
struct PrefixConfirmed {
  kernel::BootTime requested_at{};
  // Not before `requested_at`: a watch that ends without changes covers its
  // whole wait.
  kernel::BootTime complete_at{};
};
// The store answered a request that was sent at `requested_at`. Precedes what
// the answer delivers.
struct StoreAnswered {
  kernel::Time requested_at{};
};
// The first request after a successful one failed.
struct StoreUnreachable {};
// The store responds again after failed requests.
struct StoreRecovered {};

// The store came back from an older copy of itself: changes that it had
// acknowledged are gone until they are written again, and revisions are given
// out a second time. All keys are read again.
struct StoreEraChanged {
  std::uint64_t previous = 0;
  std::uint64_t era = 0;
};

using StoreOutput = std::variant<ReadPage,
                                 WatchChanges,
                                 PrefixSnapshot,
                                 PrefixChanges,
                                 PrefixConfirmed,
                                 StoreAnswered,
                                 StoreUnreachable,
                                 StoreRecovered,
                                 StoreEraChanged>;

struct StoreReaderSettings {
  // Maximum time that the store holds a watch open. An unresponsive store is
  // detected after this time plus the response timeout of the client.
  std::chrono::milliseconds watch_wait{1000};
  // Holds the first watch after a change open for a random part of that time.
  // A change ends the watches of all processes together; without this, later
  // watches also end together, and none of them bounds the time of the next
  // change better than the others.
  bool spread_watches = false;
  // Delay of the next watch after one that returned changes, so that changes in
  // quick succession are delivered together.
  std::chrono::milliseconds next_watch_delay{100};
  // Wait of a watch after a failed request. It is short, so that its answer
  // soon tells whether the store is still there.
  std::chrono::milliseconds confirming_wait{10};
  // Backoff after the first failure; doubles with each consecutive failure.
  std::chrono::milliseconds initial_backoff{60};
  std::chrono::milliseconds maximum_backoff{500};
  // All processes see a new era at about the same time; each reads all keys
  // after a random part of this time.
  std::chrono::milliseconds new_era_delay{300};
};

// Tracks all keys of one prefix of a store through read requests alone: reads
// them page by page, then watches for changes, and reads all keys again when
// the store no longer has the history since the last revision. At most one
// request is in progress. State machine without sockets, threads or clocks.
class StoreReader {
 public:
  StoreReader(StoreReaderSettings settings, kernel::Random random)
      : m_settings(settings), m_random(random) {}

  void OnTick(kernel::Time now, kernel::BootTime boot_now);
  kernel::Time NextTick() const { return m_next_request; }
  // Handle the response to the request in progress. `revision` is the revision
  // of the store, `era` its era; 0: it names none. A response of an earlier era
  // than one seen counts as a failed request.
  void OnPage(kernel::Time now,
              std::vector<StoreItem> items,
              bool has_more,
              std::uint64_t revision,
              std::uint64_t era = 0);
  void OnChanges(kernel::Time now,
                 std::vector<StoreItem> items,
                 std::uint64_t revision,
                 std::uint64_t era = 0);
  // The store has discarded the changes since the watched revision.
  void OnHistoryDiscarded(kernel::Time now, std::uint64_t era = 0);
  // The request failed: no response came, or an invalid one.
  void OnRequestFailed(kernel::Time now);
  std::vector<StoreOutput> TakeOutputs();

  bool IsReachable() const { return m_consecutive_failures == 0; }

 private:
  enum class Phase { kReading, kWatching };

  void OnResponse(kernel::Time now);
  // Returns whether the response belongs to what is being read.
  bool AcceptEra(kernel::Time now, std::uint64_t era);
  // The items were complete at `complete_at`, not before `requested_at`.
  void Confirm(kernel::BootTime requested_at, kernel::BootTime complete_at);

  StoreReaderSettings m_settings;
  kernel::Random m_random;
  Phase m_phase = Phase::kReading;
  bool m_request_in_progress = false;
  kernel::Time m_next_request{};
  kernel::Time m_request_sent{};
  std::chrono::milliseconds m_wait{};  // Of the latest watch.
  bool m_shorten_watch = false;
  kernel::BootTime m_request_started_at{};
  kernel::BootTime m_read_started_at{};
  std::optional<kernel::BootTime> m_complete_at;
  std::vector<StoreItem> m_read_items;  // From the pages read so far.
  std::uint64_t m_revision = 0;
  std::uint64_t m_era = 0;  // The latest one seen; 0: the first one, or none.
  std::uint32_t m_consecutive_failures = 0;
  kernel::Time m_failing_since{};   // Valid if requests are failing.
  kernel::Duration m_failed_for{};  // Before the latest response.
  std::vector<StoreOutput> m_outputs;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_STORE_READER_H_
