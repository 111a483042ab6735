#include "radishrudder/direct/event_splitter.h"

#include <charconv>

namespace radishrudder::direct {
namespace {

// Returns the number in the event's id line, if there is one.
std::optional<std::uint64_t> IdOf(std::string_view event) {
  constexpr std::string_view kName = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kName)) {
      continue;
    }
    line.remove_prefix(kName.size());
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

void EventSplitter::Restart(std::optional<std::uint64_t> last) {
  m_pending.clear();
  m_scanned = 0;
  m_skip_up_to = last;
}

std::string EventSplitter::Feed(std::string_view data) {
  std::string whole;
  m_pending += data;
  std::string_view rest = m_pending;
  std::size_t end = EndOfEvent(rest, m_scanned);
  while (end != std::string_view::npos) {
    TakeEvent(rest.substr(0, end), whole);
    rest.remove_prefix(end);
    end = EndOfEvent(rest, 0);
  }
  m_pending.erase(0, m_pending.size() - rest.size());
  // A blank line may begin in the last two bytes.
  m_scanned = m_pending.size() < 2 ? 0 : m_pending.size() - 2;
  return whole;
}

void EventSplitter::TakeEvent(std::string_view event, std::string& whole) {
  const std::optional<std::uint64_t> id = IdOf(event);
  if (id && m_skip_up_to && *id <= *m_skip_up_to) {
    return;
  }
  if (id) {
    m_last = id;
  }
  ++m_events;
  whole += event;
}

}  // namespace radishrudder::direct
