#include "radishrudder/routing/engine_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace radishrudder::routing {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kTokensPerContextUnit = 1'000;
constexpr double kPairsPerMillion = 1e6;
// Limit of every predicted time: an hour exceeds any deadline.
constexpr double kMaximumSeconds = 3'600;
// Bounds of what a pace can be; the platform's headers go up to 100.
constexpr double kMinimumPace = 0.01;
constexpr double kMaximumPace = 100;

double Positive(double value) {
  return std::isfinite(value) ? std::max(0.0, value) : 0;
}

double Limited(double seconds) {
  return std::isfinite(seconds) ? std::clamp(seconds, 0.0, kMaximumSeconds)
                                : kMaximumSeconds;
}

double Slots(const EngineFigures& figures) {
  return std::max(1.0, static_cast<double>(figures.slots));
}

double Stride(const EngineFigures& figures) {
  return std::max(1.0, static_cast<double>(figures.tokens_per_event));
}

double Chunk(const EngineFigures& figures) {
  return figures.prompt_tokens_per_step > 0
             ? figures.prompt_tokens_per_step
             : std::numeric_limits<double>::infinity();
}

double ReadSeconds(const EngineFigures& figures,
                   double tokens,
                   double earlier_tokens) {
  const double read = figures.prompt_tokens_per_s > 0
                          ? tokens / figures.prompt_tokens_per_s
                          : 0;
  const double pairs = tokens * (earlier_tokens + tokens / 2);
  return read + pairs / kPairsPerMillion * figures.prompt_ms_per_million_pairs /
                    kMillisecondsPerSecond;
}

// The batch that a call runs in: the calls beside it and their mean size.
struct Batch {
  double calls = 0;
  double remaining_answer_tokens = 0;  // Of one call, in the mean.
  double context_tokens = 0;           // Of one call, in the mean.
  double pace = 1;
};

Batch BatchOf(const EngineFigures& figures, const EndpointWork& work) {
  const double total = Positive(work.running) + Positive(work.waiting);
  const double own = std::min(Positive(work.own_calls), total);
  const double mean_answer = std::max(1.0, figures.mean_answer_tokens);
  Batch batch;
  batch.calls = std::min(Positive(work.running), Slots(figures));
  // Answers are about as long from any point on as from their start, because
  // the long ones run longest.
  batch.remaining_answer_tokens = mean_answer;
  if (total > 0) {
    const double own_tokens =
        own > 0 ? Positive(work.own_remaining_answer_tokens) : 0;
    batch.remaining_answer_tokens =
        (own_tokens + (total - own) * mean_answer) / total;
  }
  batch.context_tokens = Positive(figures.mean_prompt_tokens) + mean_answer / 2;
  batch.pace = std::isfinite(work.pace)
                   ? std::clamp(work.pace, kMinimumPace, kMaximumPace)
                   : 1;
  return batch;
}

// Returns the seconds of a pass that generates for `calls`, including its share
// of the prompts that are read when ended calls are replaced.
double MeanPassSeconds(const EngineFigures& figures,
                       const Batch& batch,
                       double calls) {
  const double generating =
      PassSeconds(figures, calls, calls * batch.context_tokens, 0, 0);
  const double replaced =
      calls * Stride(figures) / std::max(1.0, figures.mean_answer_tokens);
  return batch.pace *
         (generating +
          replaced * ReadSeconds(figures, figures.mean_prompt_tokens, 0));
}

// Returns the seconds until a place in the batch is free.
double PlaceSeconds(const EngineFigures& figures,
                    const EndpointWork& work,
                    const Batch& batch) {
  const double slots = Slots(figures);
  const double ahead =
      Positive(work.running) + Positive(work.waiting) + 1 - slots;
  if (ahead <= 0) {
    return 0;
  }
  const double passes =
      std::max(1.0, batch.remaining_answer_tokens / Stride(figures));
  return std::min(ahead, kMaximumSeconds) * passes *
         MeanPassSeconds(figures, batch, slots) / slots;
}

}  // namespace

double PassSeconds(const EngineFigures& figures,
                   double generating,
                   double context_tokens,
                   double prompt_tokens,
                   double earlier_tokens) {
  const double step_ms =
      generating > 0 ? figures.step_ms + generating * figures.step_ms_per_call +
                           context_tokens / kTokensPerContextUnit *
                               figures.step_ms_per_1k_context
                     : 0;
  return Stride(figures) * step_ms / kMillisecondsPerSecond +
         ReadSeconds(figures, prompt_tokens, earlier_tokens);
}

Prediction Predict(const EngineFigures& figures,
                   const EndpointWork& work,
                   const CallCost& cost) {
  const Batch batch = BatchOf(figures, work);
  const double prompt = std::max(1.0, Positive(cost.prompt_tokens));
  const double answer = std::max(1.0, Positive(cost.answer_tokens));
  // Calls that wait are read before this one; while there are more calls than
  // slots, that time is part of the wait for a place.
  const double place = PlaceSeconds(figures, work, batch);
  const double unread =
      place > 0 ? 0
                : std::max(Positive(work.own_unread_prompt_tokens),
                           Positive(work.waiting) *
                               Positive(figures.mean_prompt_tokens));
  const double beside =
      place > 0 ? Slots(figures) - 1 : std::min(batch.calls, Slots(figures));
  const double reading_passes =
      std::max(1.0, std::ceil((unread + prompt) / Chunk(figures)));
  const double generating =
      batch.pace *
      PassSeconds(figures, beside, beside * batch.context_tokens, 0, 0);
  const double reading = batch.pace * (ReadSeconds(figures, unread, 0) +
                                       ReadSeconds(figures, prompt, 0));
  const double first_pass =
      batch.pace * PassSeconds(figures, beside + 1,
                               beside * batch.context_tokens + prompt, 0, 0);
  Prediction prediction;
  // A call joins at the end of the current pass, half a pass away in the mean.
  const double joining = place > 0 ? 0 : generating / 2;
  prediction.first_event_s = Limited(place + joining + reading +
                                     reading_passes * generating + first_pass);
  const double chunk =
      std::min(Chunk(figures), std::max(figures.mean_prompt_tokens, prompt));
  prediction.pause_s =
      Limited(first_pass + batch.pace * ReadSeconds(figures, chunk, 0));
  const double further_events =
      std::max(0.0, std::ceil(answer / Stride(figures)) - 1);
  prediction.end_s =
      Limited(prediction.first_event_s +
              further_events * MeanPassSeconds(figures, batch, beside + 1));
  return prediction;
}

}  // namespace radishrudder::routing
