#include "measure/routing/engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishrudder::measure {
namespace {

constexpr double kTokensPerContextUnit = 1'000;
constexpr double kPairsPerMillion = 1e6;

std::uint32_t PromptTokens(const Prompt& prompt) {
  return prompt.prefix_tokens + prompt.own_tokens;
}

}  // namespace

EngineSettings PublishedEngine() {
  return {.slots = 12,
          .step_seconds = 0.00887,
          .step_seconds_per_call = 0.0000388,
          .prefill_tokens_per_second = 19'100,
          .prefill_tokens_per_step = 2'048,
          .cache_tokens = 0,
          .tokens_per_step = 5,
          .step_seconds_per_1k_context = 0.0000227,
          .prefill_seconds_per_million_pairs = 0.00147,
          .separate_prefill = true};
}

routing::EngineFigures PublishedFigures() {
  constexpr double kMillisecondsPerSecond = 1'000;
  const EngineSettings settings = PublishedEngine();
  return {
      .slots = settings.slots,
      .step_ms = settings.step_seconds * kMillisecondsPerSecond,
      .step_ms_per_call =
          settings.step_seconds_per_call * kMillisecondsPerSecond,
      .step_ms_per_1k_context =
          settings.step_seconds_per_1k_context * kMillisecondsPerSecond,
      .prompt_tokens_per_s = settings.prefill_tokens_per_second,
      .prompt_ms_per_million_pairs =
          settings.prefill_seconds_per_million_pairs * kMillisecondsPerSecond,
      .prompt_tokens_per_step = settings.prefill_tokens_per_step,
      .tokens_per_event = settings.tokens_per_step,
      .mean_prompt_tokens = kPublishedSizes.mean_own_tokens,
      .mean_answer_tokens = kPublishedSizes.mean_output_tokens};
}

double EngineCallsPerSecond(const EngineSettings& settings,
                            const MeanPrompt& mean,
                            double hit_share) {
  const double prefill_tokens =
      mean.own_tokens + (1 - hit_share) * mean.prefix_tokens;
  const double prefill_seconds =
      prefill_tokens / settings.prefill_tokens_per_second;
  const double decode_seconds =
      mean.output_tokens *
      (settings.step_seconds / settings.slots + settings.step_seconds_per_call +
       settings.step_seconds_per_1k_context *
           (mean.prefix_tokens + mean.own_tokens + mean.output_tokens / 2) /
           kTokensPerContextUnit);
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
          .capacity = m_settings.slots,
          .pace = m_pace};
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
  CutWaiting();
  Admit();
  m_stepping = !m_running.empty();
  if (!m_stepping) {
    return;
  }
  for (Running& item : m_running) {
    item.decodes = item.prefill_left == 0;
  }
  const double decode = DecodeSeconds();
  m_events.After(m_pace * (decode + PrefillSeconds()), [this] { EndStep(); });
}

double Engine::DecodeSeconds() const {
  double calls = 0;
  double context_tokens = 0;
  for (const Running& item : m_running) {
    if (item.decodes) {
      ++calls;
      context_tokens += PromptTokens(item.call.prompt) + item.produced;
    }
  }
  if (calls == 0 && m_settings.separate_prefill) {
    return 0;
  }
  return m_settings.tokens_per_step *
         (m_settings.step_seconds + m_settings.step_seconds_per_call * calls +
          m_settings.step_seconds_per_1k_context * context_tokens /
              kTokensPerContextUnit);
}

double Engine::PrefillSeconds() {
  std::uint32_t left = m_settings.prefill_tokens_per_step;
  double pairs = 0;
  for (Running& item : m_running) {
    const std::uint32_t tokens = std::min(left, item.prefill_left);
    const double earlier = PromptTokens(item.call.prompt) - item.prefill_left;
    pairs += tokens * (earlier + tokens / 2.0);
    item.prefill_left -= tokens;
    left -= tokens;
  }
  return (m_settings.prefill_tokens_per_step - left) /
             m_settings.prefill_tokens_per_second +
         pairs / kPairsPerMillion *
             m_settings.prefill_seconds_per_million_pairs;
}

void Engine::Decode(Running& item) {
  if (item.produced == 0) {
    Store(item.call.prompt);
    item.call.on_first_token(item.hit);
  }
  item.produced = std::min(item.produced + m_settings.tokens_per_step,
                           std::max(1U, item.call.prompt.output_tokens));
  ++item.events;
  item.call.on_event(item.events);
}

bool Engine::IsLate(const EngineCall& call) const {
  return call.deadline && m_events.Now() >= *call.deadline;
}

void Engine::CutWaiting() {
  for (const EngineCall& call : m_waiting) {
    if (IsLate(call)) {
      call.on_end(0, false);
    }
  }
  std::erase_if(m_waiting,
                [this](const EngineCall& call) { return IsLate(call); });
}

void Engine::EndStep() {
  for (Running& item : m_running) {
    if (item.decodes ||
        (item.prefill_left == 0 && !m_settings.separate_prefill)) {
      Decode(item);
    }
  }
  const auto ended = std::stable_partition(
      m_running.begin(), m_running.end(), [this](const Running& item) {
        return item.produced < item.call.prompt.output_tokens &&
               !IsLate(item.call);
      });
  std::vector<Running> done(std::make_move_iterator(ended),
                            std::make_move_iterator(m_running.end()));
  m_running.erase(ended, m_running.end());
  for (const Running& item : done) {
    item.call.on_end(item.produced,
                     item.produced >= item.call.prompt.output_tokens);
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
