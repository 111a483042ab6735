#ifndef RADISHRUDDER_ROUTING_CALL_COST_H_
#define RADISHRUDDER_ROUTING_CALL_COST_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "radishrudder/routing/log_distribution.h"

namespace radishrudder::routing {

// What is known about the size of a call before it runs. Figures that are 0,
// not finite or above 10 million tokens count as not stated.
struct CallFeatures {
  std::string_view route{};
  std::string_view workspace{};
  double prompt_tokens = 0;
  double maximum_answer_tokens = 0;
  double answer_estimate = 0;  // Answer tokens expected by the caller.
};

// Expected size of a call, in tokens.
struct CallCost {
  double prompt_tokens = 0;
  double answer_tokens = 0;       // Mean.
  double answer_tokens_high = 0;  // 90th percentile.
};

// Distributions by key, at most `maximum_keys` of them. If there are more keys,
// the one that was learned from longest ago is dropped.
class KeyedDistributions {
 public:
  KeyedDistributions(std::size_t maximum_keys, double minimum)
      : m_maximum_keys(maximum_keys), m_minimum(minimum) {}

  const LogDistribution* Find(std::uint64_t key) const;
  void Add(std::uint64_t key, double value);
  std::size_t Size() const { return m_items.size(); }

 private:
  struct Item {
    LogDistribution distribution;
    std::uint64_t learned_at = 0;  // Number of the newest value.
  };

  std::size_t m_maximum_keys;
  double m_minimum;
  std::uint64_t m_values = 0;
  std::unordered_map<std::uint64_t, Item> m_items;
};

// Learns how long answers are, by route and workspace, as the ratio of the
// actual length to the caller's estimate, else to the maximum, else as the
// length itself. A route or workspace with few calls takes the figures of its
// route, then of all calls, then of an assumed distribution. Memory is bounded
// at about 0.4 MB.
class CallCosts {
 public:
  CallCosts();

  // Always returns finite figures of at least one token; answers are not above
  // the stated maximum.
  CallCost Estimate(const CallFeatures& features) const;
  // Learns from an answer. `complete` is false if the answer was cut off; then
  // its length is a lower bound and counts only where it exceeds the estimate.
  void OnEnded(const CallFeatures& features,
               double answer_tokens,
               bool complete);

  // Error of the estimated mean relative to the actual length, over recent
  // complete answers: at the median and at the 90th percentile, to within a
  // tenth; 0 without answers.
  double MedianError() const { return m_errors.Quantile(0.5); }
  double HighError() const { return m_errors.Quantile(0.9); }
  // Number of distributions kept, for tests and metrics.
  std::size_t Size() const { return m_ratios.Size() + m_lengths.Size(); }

 private:
  // The distribution for a call, and the tokens that its values are relative
  // to.
  struct Basis {
    LogDistribution distribution;
    double unit = 1;
  };

  Basis BasisOf(const CallFeatures& features) const;

  KeyedDistributions m_ratios;
  KeyedDistributions m_lengths;
  LogDistribution m_errors;
};

// Expected duration of a call, in seconds.
struct TimeCost {
  double seconds = 0;       // Mean; 0: nothing known about the route.
  double seconds_high = 0;  // 90th percentile.
};

// Learns how long the calls of plain services take, by route.
class CallTimes {
 public:
  CallTimes();

  TimeCost Estimate(std::string_view route) const;
  // Ignores durations that are not positive and finite.
  void OnEnded(std::string_view route, double seconds);

 private:
  KeyedDistributions m_times;
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_CALL_COST_H_
