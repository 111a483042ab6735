#include "measure/routing/engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishrudder::measure {

double EngineCallsPerSecond(const EngineSettings& settings, double hit_share) {
  const MeanPrompt mean = MeanOfWorkload();
  const double prefill_tokens =
      mean.own_tokens + (1 - hit_share) * mean.prefix_tokens;
  const double prefill_seconds =
      prefill_tokens / settings.prefill_tokens_per_second;
  const double decode_seconds =
      mean.output_tokens *
      (settings.step_seconds / settings.slots + settings.step_seconds_per_call);
  return 1 / (prefill_seconds + decode_seconds);
}

Engine::Engine(EngineSettings settings, EventQueue& events)
    : m_settings(settings), m_events(events), m_cache(settings.cache_tokens) {}

void Engine::Submit(EngineCall call) {
  m_waiting.push_back(std::move(call));
  if (!m_stepping) {
    BeginStep();
  }
}

routing::LoadReport Engine::Load() const {
  return {.running = static_cast<std::uint32_t>(m_running.size()),
          .waiting = static_cast<std::uint32_t>(m_waiting.size()),
          .capacity = m_settings.slots};
}

std::vector<routing::CacheEvent> Engine::TakeCacheEvents() {
  return std::exchange(m_cache_events, {});
}

void Engine::Admit() {
  while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
    Running running{.call = std::move(m_waiting.front())};
    m_waiting.pop_front();
    const Prompt& prompt = running.call.prompt;
    running.hit = m_cache.Use(prompt.prefix);
    running.prefill_left =
        prompt.own_tokens + (running.hit ? 0 : prompt.prefix_tokens);
    m_running.push_back(std::move(running));
  }
}

void Engine::BeginStep() {
  Admit();
  m_stepping = !m_running.empty();
  if (!m_stepping) {
    return;
  }
  const auto decoding =
      std::count_if(m_running.begin(), m_running.end(),
                    [](const Running& item) { return item.prefill_left == 0; });
  const double seconds =
      m_settings.step_seconds +
      m_settings.step_seconds_per_call * static_cast<double>(decoding) +
      Prefill() / m_settings.prefill_tokens_per_second;
  m_events.After(seconds, [this] { EndStep(); });
}

std::uint32_t Engine::Prefill() {
  std::uint32_t left = m_settings.prefill_tokens_per_step;
  for (Running& item : m_running) {
    const std::uint32_t tokens = std::min(left, item.prefill_left);
    item.prefill_left -= tokens;
    left -= tokens;
  }
  return m_settings.prefill_tokens_per_step - left;
}

void Engine::EndStep() {
  for (Running& item : m_running) {
    if (item.prefill_left > 0) {
      continue;
    }
    if (++item.produced == 1) {
      Store(item.call.prompt);
      item.call.on_first_token(item.hit);
    }
  }
  const auto ended = std::stable_partition(
      m_running.begin(), m_running.end(), [](const Running& item) {
        return item.produced < item.call.prompt.output_tokens;
      });
  std::vector<Running> done(std::make_move_iterator(ended),
                            std::make_move_iterator(m_running.end()));
  m_running.erase(ended, m_running.end());
  for (const Running& item : done) {
    item.call.on_end();
  }
  BeginStep();
}

void Engine::Store(const Prompt& prompt) {
  if (m_cache.Use(prompt.prefix)) {
    return;
  }
  for (const std::uint64_t evicted :
       m_cache.Store(prompt.prefix, prompt.prefix_tokens)) {
    m_cache_events.push_back({routing::CacheChange::kRemoved, evicted});
  }
  if (m_cache.Holds(prompt.prefix)) {
    m_cache_events.push_back({routing::CacheChange::kStored, prompt.prefix});
  }
}

}  // namespace radishrudder::measure
