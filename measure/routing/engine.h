#ifndef RADISHRUDDER_MEASURE_ROUTING_ENGINE_H_
#define RADISHRUDDER_MEASURE_ROUTING_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "measure/routing/event_queue.h"
#include "measure/routing/prefix_cache.h"
#include "measure/routing/workload.h"
#include "radishrudder/routing/endpoint.h"
#include "radishrudder/routing/prefix_index.h"

namespace radishrudder::measure {

struct EngineSettings {
  std::uint32_t slots = 16;
  double step_seconds = 0.012;            // A step without any work.
  double step_seconds_per_call = 0.0008;  // Added for each call that decodes.
  double prefill_tokens_per_second = 6'000;
  std::uint32_t prefill_tokens_per_step = 512;
  std::uint32_t cache_tokens = 40'000;
};

// Returns the calls a second that one engine can do at full batch when
// `hit_share` of the calls find their prefix cached.
double EngineCallsPerSecond(const EngineSettings& settings, double hit_share);

// A call in an engine. The callbacks run when it reaches that point.
struct EngineCall {
  Prompt prompt;
  std::function<void(bool hit)> on_first_token;
  std::function<void()> on_end;
};

// Engine with continuous batching, in virtual time: each step decodes one
// token of every running call and prefills a bounded number of tokens, so
// that prefills slow down the decodes beside them.
class Engine {
 public:
  Engine(EngineSettings settings, EventQueue& events);

  void Submit(EngineCall call);
  routing::LoadReport Load() const;
  std::size_t Calls() const { return m_running.size() + m_waiting.size(); }
  // Returns the cache events since the last time, in order.
  std::vector<routing::CacheEvent> TakeCacheEvents();

 private:
  struct Running {
    EngineCall call;
    bool hit = false;
    std::uint32_t prefill_left = 0;
    std::uint32_t produced = 0;
  };

  void Admit();
  void BeginStep();
  void EndStep();
  std::uint32_t Prefill();
  void Store(const Prompt& prompt);

  EngineSettings m_settings;
  EventQueue& m_events;
  PrefixCache m_cache;
  std::deque<EngineCall> m_waiting;
  std::vector<Running> m_running;
  bool m_stepping = false;
  std::vector<routing::CacheEvent> m_cache_events;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_ENGINE_H_
