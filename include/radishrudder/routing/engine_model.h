#ifndef RADISHRUDDER_ROUTING_ENGINE_MODEL_H_
#define RADISHRUDDER_ROUTING_ENGINE_MODEL_H_

#include <cstdint>

#include "radishrudder/routing/call_cost.h"

namespace radishrudder::routing {

// Performance model of an inference engine, as the operator publishes it. All
// running calls advance together in passes. A pass generates
// `tokens_per_event` tokens for each call whose prompt has been read, and reads
// up to `prompt_tokens_per_step` prompt tokens of the others.
struct EngineFigures {
  std::uint32_t slots = 0;  // Maximum calls in one batch; 0: 1.
  double step_ms = 0;  // Time to generate one token for every running call.
  double step_ms_per_call = 0;  // Added to a step for each running call.
  // Added to a step for each 1,000 tokens of context.
  double step_ms_per_1k_context = 0;
  double prompt_tokens_per_s = 0;  // 0: reading takes no time.
  // Added for each million pairs of a prompt token and an earlier one.
  double prompt_ms_per_million_pairs = 0;
  std::uint32_t prompt_tokens_per_step = 0;  // At most; 0: no limit.
  // Generated in one pass, sent as one event.
  std::uint32_t tokens_per_event = 1;
  // Means over the calls of the service, for calls of which nothing is known.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
};

// What an endpoint has to do before and beside a new call.
struct EndpointWork {
  double running = 0;  // Calls in the batch, of all entries.
  double waiting = 0;  // Calls in the endpoint's queue, of all entries.
  double pace = 1;     // Time that work takes, relative to the usual time.
  // Age of the report that the figures above are based on, in seconds. They
  // have been corrected for it; negative: there is no report.
  double report_age_s = -1;
  double own_calls = 0;  // Calls of this entry of which the cost is known.
  double own_unread_prompt_tokens = 0;
  double own_remaining_answer_tokens = 0;
  // Prompt and high answer tokens of the largest call of this entry.
  double own_largest_tokens = 0;
};

// Predicted course of a call, in seconds from its arrival at the endpoint.
struct Prediction {
  double first_event_s = 0;
  double pause_s = 0;  // Longest time between two events.
  double end_s = 0;
};

// Predicts the course of a call that is sent to an endpoint now. The result is
// finite and not negative, whatever the figures.
Prediction Predict(const EngineFigures& figures,
                   const EndpointWork& work,
                   const CallCost& cost);

// Returns the seconds of one pass at the usual pace that generates for
// `generating` calls with `context_tokens` of context in total and reads
// `prompt_tokens` after `earlier_tokens` of the same prompt.
double PassSeconds(const EngineFigures& figures,
                   double generating,
                   double context_tokens,
                   double prompt_tokens,
                   double earlier_tokens);

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_ENGINE_MODEL_H_
