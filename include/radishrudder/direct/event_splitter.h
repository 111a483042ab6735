#ifndef RADISHRUDDER_DIRECT_EVENT_SPLITTER_H_
#define RADISHRUDDER_DIRECT_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishrudder::direct {

// Cuts a stream of server-sent events at the ends of events, so that what was
// passed on always ends with a whole one.
class EventSplitter {
 public:
  // Begins the stream of another attempt: the events up to `last` are left
  // out, for the caller has them.
  void Restart(std::optional<std::uint64_t> last);
  // Returns the whole events that `data` ends, ready to be passed on.
  std::string Feed(std::string_view data);
  // Bytes of an event that has not ended.
  std::size_t Pending() const { return m_pending.size(); }
  // Number of the last event that was returned, if it had one.
  std::optional<std::uint64_t> LastId() const { return m_last; }
  std::uint64_t EventsReturned() const { return m_events; }

 private:
  void TakeEvent(std::string_view event, std::string& whole);

  std::string m_pending;
  std::size_t m_scanned = 0;  // Of `m_pending`, without the end of an event.
  std::optional<std::uint64_t> m_last;
  std::optional<std::uint64_t> m_skip_up_to;
  std::uint64_t m_events = 0;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_EVENT_SPLITTER_H_
