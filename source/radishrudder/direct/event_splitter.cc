#include "radishrudder/direct/event_splitter.h"

#include <charconv>

namespace radishrudder::direct {
namespace {

// Returns the number in the event's `id` field, if there is one.
std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kIdField = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

// Returns the position after the blank line that ends an event, or npos.
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  for (std::size_t i = text.find('\n', from); i != std::string_view::npos;
       i = text.find('\n', i + 1)) {
    if (i + 1 < text.size() && text[i + 1] == '\n') {
      return i + 2;
    }
    if (i + 2 < text.size() && text[i + 1] == '\r' && text[i + 2] == '\n') {
      return i + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace

void EventSplitter::Restart(std::optional<std::uint64_t> last_id) {
  m_pending.clear();
  m_scanned = 0;
  m_skip_up_to = last_id;
}

std::string EventSplitter::Feed(std::string_view data) {
  std::string complete_events;
  m_pending += data;
  std::string_view remaining = m_pending;
  std::size_t end = EndOfEvent(remaining, m_scanned);
  while (end != std::string_view::npos) {
    AppendEvent(remaining.substr(0, end), complete_events);
    remaining.remove_prefix(end);
    end = EndOfEvent(remaining, 0);
  }
  m_pending.erase(0, m_pending.size() - remaining.size());
  // The last two bytes may be the start of the blank line that ends the event.
  m_scanned = m_pending.size() < 2 ? 0 : m_pending.size() - 2;
  return complete_events;
}

void EventSplitter::AppendEvent(std::string_view event,
                                std::string& complete_events) {
  const std::optional<std::uint64_t> id = ParseEventId(event);
  if (id && m_skip_up_to && *id <= *m_skip_up_to) {
    return;
  }
  if (id) {
    m_last_id = id;
  }
  ++m_events;
  complete_events += event;
}

}  // namespace radishrudder::direct
