#ifndef RADISHRUDDER_MEASURE_ROUTING_EVENT_QUEUE_H_
#define RADISHRUDDER_MEASURE_ROUTING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::measure {

// Runs actions in order of virtual time; equal times in order of insertion.
class EventQueue {
 public:
  kernel::Time Now() const { return m_now; }
  void At(kernel::Time time, std::function<void()> action);
  void After(double seconds, std::function<void()> action);
  // Runs everything up to and including `end`.
  void RunUntil(kernel::Time end);

 private:
  struct Event {
    kernel::Time time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  kernel::Time m_now{std::chrono::hours(1)};
  std::uint64_t m_next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

// Converts seconds to the duration type of the state machines.
kernel::Duration FromSeconds(double seconds);
double ToSeconds(kernel::Duration duration);

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_EVENT_QUEUE_H_
