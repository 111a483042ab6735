#ifndef RADISHRUDDER_DIRECT_EVENT_SPLITTER_H_
#define RADISHRUDDER_DIRECT_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishrudder::direct {

// Splits a stream of server-sent events at event boundaries, so that the data
// passed on always ends with a complete event.
class EventSplitter {
 public:
  // Starts the stream of another attempt. Events with ids up to `last_id` are
  // dropped because the caller already has them.
  void Restart(std::optional<std::uint64_t> last_id);
  // Returns the events that `data` completes, as one string.
  std::string Feed(std::string_view data);
  // Returns the size of the incomplete event in bytes.
  std::size_t PendingBytes() const { return m_pending.size(); }
  // Returns the id of the last returned event that had one.
  std::optional<std::uint64_t> LastId() const { return m_last_id; }
  std::uint64_t EventsReturned() const { return m_events; }

 private:
  void AppendEvent(std::string_view event, std::string& complete_events);

  std::string m_pending;
  // Size of the prefix of `m_pending` that has no event boundary.
  std::size_t m_scanned = 0;
  std::optional<std::uint64_t> m_last_id;
  std::optional<std::uint64_t> m_skip_up_to;
  std::uint64_t m_events = 0;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_EVENT_SPLITTER_H_
