#include "measure/routing/event_queue.h"

#include <utility>

namespace radishrudder::measure {

void EventQueue::At(kernel::Time time, std::function<void()> action) {
  m_events.push({time, m_next_sequence++, std::move(action)});
}

void EventQueue::After(double seconds, std::function<void()> action) {
  At(m_now + FromSeconds(seconds), std::move(action));
}

void EventQueue::RunUntil(kernel::Time end) {
  while (!m_events.empty() && m_events.top().time <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    event.action();
  }
  m_now = end;
}

kernel::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(seconds));
}

double ToSeconds(kernel::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace radishrudder::measure
