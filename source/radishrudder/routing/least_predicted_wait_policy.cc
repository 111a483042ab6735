#include <algorithm>
#include <limits>

#include "radishrudder/routing/candidate_draw.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// A farther data centre takes a call only if it serves it sooner by more than
// this time: links between regions have little bandwidth.
constexpr double kMinimumGainSeconds = 0.010;
// Seconds of cost for each second that a call is predicted to end late. It is
// above 1 because a call that is cut has used the endpoint for nothing.
constexpr double kLatenessWeight = 2;
// Cost of a second very large call in one batch. Two of them read their prompts
// in turn and delay every other call by about one pass.
constexpr double kVeryLargePenaltySeconds = 0.050;

double Cost(const CallView& call, const Candidate& candidate) {
  const double way = 2 * candidate.distance_seconds;
  const Prediction& prediction = *candidate.prediction;
  double cost = prediction.first_event_s + way;
  if (call.seconds_to_deadline > 0) {
    cost += kLatenessWeight *
            std::max(0.0, prediction.end_s + way - call.seconds_to_deadline);
  }
  if (call.pause_target_seconds > 0) {
    cost += std::max(0.0, prediction.pause_s - call.pause_target_seconds);
  }
  return cost +
         (candidate.beside_very_large_call ? kVeryLargePenaltySeconds : 0);
}

// A candidate and its cost.
struct Choice {
  std::size_t index = 0;
  double cost = std::numeric_limits<double>::infinity();
};

// Draws three candidates at random and returns the one with the lowest cost.
Choice BestOfThree(const CallView& call,
                   std::span<const Candidate> candidates,
                   kernel::Random& random) {
  Choice best;
  const CandidateDraw draw(candidates.size(), random);
  for (const std::size_t index : draw.Indices()) {
    const double cost = Cost(call, candidates[index]);
    if (cost < best.cost) {
      best = {index, cost};
    }
  }
  return best;
}

std::size_t LessLoadedOfTwo(std::span<const Candidate> candidates,
                            kernel::Random& random) {
  const CandidatePair pair = DrawTwo(candidates.size(), random);
  return RelativeLoad(candidates[pair.second]) <
                 RelativeLoad(candidates[pair.first])
             ? pair.second
             : pair.first;
}

// Chooses by the predicted time to the first event. Three candidates are drawn
// so that entries with the same stale reports do not all choose the endpoint
// that appears idle. Without predictions it is least-loaded-of-two.
class LeastPredictedWaitPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    if (!std::ranges::all_of(candidates, [](const Candidate& candidate) {
          return candidate.prediction.has_value();
        })) {
      return LessLoadedOfTwo(candidates, random);
    }
    const auto far = std::ranges::find_if(
        candidates, [&candidates](const Candidate& candidate) {
          return candidate.distance_seconds >
                 candidates.front().distance_seconds;
        });
    const auto near_count = static_cast<std::size_t>(far - candidates.begin());
    const Choice near = BestOfThree(call, candidates.first(near_count), random);
    const Choice elsewhere =
        BestOfThree(call, candidates.subspan(near_count), random);
    return elsewhere.cost + kMinimumGainSeconds < near.cost
               ? near_count + elsewhere.index
               : near.index;
  }

  bool UsesPredictions() const override { return true; }
};

const kernel::Registration<PolicyFactory> registration(
    "least-predicted-wait",
    [] { return std::make_unique<LeastPredictedWaitPolicy>(); });

}  // namespace

void AnchorLeastPredictedWaitPolicy() {}

}  // namespace radishrudder::routing
