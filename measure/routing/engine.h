#ifndef RADISHRUDDER_MEASURE_ROUTING_ENGINE_H_
#define RADISHRUDDER_MEASURE_ROUTING_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "measure/routing/event_queue.h"
#include "measure/routing/prefix_cache.h"
#include "measure/routing/workload.h"
#include "radishrudder/routing/endpoint.h"
#include "radishrudder/routing/engine_model.h"
#include "radishrudder/routing/prefix_index.h"

namespace radishrudder::measure {

struct EngineSettings {
  std::uint32_t slots = 16;
  double step_seconds = 0.012;            // A step without any work.
  double step_seconds_per_call = 0.0008;  // Added for each call that decodes.
  double prefill_tokens_per_second = 6'000;
  std::uint32_t prefill_tokens_per_step = 512;
  std::uint32_t cache_tokens = 40'000;
  std::uint32_t tokens_per_step = 1;       // Decoded for each call.
  double step_seconds_per_1k_context = 0;  // Added to a token.
  double prefill_seconds_per_million_pairs = 0;
  // A call whose prefill ends in a step decodes from the next one on, and a
  // step without decodes takes only the time of its prefill.
  bool separate_prefill = false;
};

// Returns the settings for the figures in docs/design/limited-capacity.md.
EngineSettings PublishedEngine();

// Returns the same figures for the routers.
routing::EngineFigures PublishedFigures();

// Returns the calls a second that one engine can do at full batch when
// `hit_share` of the calls find their prefix cached.
double EngineCallsPerSecond(const EngineSettings& settings,
                            const MeanPrompt& mean,
                            double hit_share);

// A call in an engine. The callbacks run when it reaches that point.
struct EngineCall {
  Prompt prompt;
  std::function<void(bool hit)> on_first_token;
  // A step has decoded tokens; gets the number of such steps so far.
  std::function<void(std::uint32_t events)> on_event;
  std::function<void(std::uint32_t tokens, bool complete)> on_end;
  // The call is cut at the first end of a step after it; nothing: never.
  std::optional<kernel::Time> deadline{};
};

// Engine with continuous batching, in virtual time: each step decodes one
// token of every running call and prefills a bounded number of tokens, so
// that prefills slow down the decodes beside them.
class Engine {
 public:
  Engine(EngineSettings settings, EventQueue& events);

  void Submit(EngineCall call);
  routing::LoadReport Load() const;
  // Sets how long work takes relative to the usual time, from the next step on.
  void SetPace(double pace) { m_pace = pace; }
  std::size_t Calls() const { return m_running.size() + m_waiting.size(); }
  // Returns the cache events since the last time, in order.
  std::vector<routing::CacheEvent> TakeCacheEvents();

 private:
  struct Running {
    EngineCall call;
    bool hit = false;
    std::uint32_t prefill_left = 0;
    std::uint32_t produced = 0;
    std::uint32_t events = 0;
    bool decodes = false;  // In the current step.
  };

  void Admit();
  void BeginStep();
  void EndStep();
  double PrefillSeconds();
  double DecodeSeconds() const;
  void Decode(Running& item);
  bool IsLate(const EngineCall& call) const;
  void CutWaiting();
  void Store(const Prompt& prompt);

  EngineSettings m_settings;
  EventQueue& m_events;
  PrefixCache m_cache;
  std::deque<EngineCall> m_waiting;
  std::vector<Running> m_running;
  bool m_stepping = false;
  double m_pace = 1;
  std::vector<routing::CacheEvent> m_cache_events;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_ENGINE_H_
