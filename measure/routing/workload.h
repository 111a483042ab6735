#ifndef RADISHRUDDER_MEASURE_ROUTING_WORKLOAD_H_
#define RADISHRUDDER_MEASURE_ROUTING_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "radishrudder/kernel/random.h"

namespace radishrudder::measure {

// One call as a caller makes it.
struct Prompt {
  std::uint32_t workspace = 0;
  std::uint64_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
  std::uint32_t own_tokens = 0;
  std::uint32_t output_tokens = 0;
  double output_estimate = 0;  // The caller's; 0: none.
};

// Mean tokens of calls.
struct MeanPrompt {
  double prefix_tokens = 0;
  double own_tokens = 0;
  double output_tokens = 0;
};

// What the calls are like.
struct CallSizes {
  // Whether prompts have prefixes, which are the larger part of them.
  bool prefixes = true;
  double mean_own_tokens = 200;
  double mean_output_tokens = 120;
  std::uint32_t maximum_output_tokens = 600;
  // Standard deviation of ln(length / estimate); 0: no estimates.
  double output_spread = 0;
};

// Sizes of the calls before engines with the published figures.
inline constexpr CallSizes kPublishedSizes{.prefixes = false,
                                           .mean_own_tokens = 979,
                                           .mean_output_tokens = 92,
                                           .maximum_output_tokens = 400};

// Calls of workspaces of skewed sizes. Each workspace has a few prompt
// prefixes, also skewed. Calls come in bursts: the rate alternates between a
// high and a low one around its mean.
class Workload {
 public:
  // `calls_per_second` is the mean rate over all workspaces. A call has a
  // prefix that others share with probability `shared`, else one of its own.
  Workload(std::uint32_t workspaces,
           double shared,
           double calls_per_second,
           CallSizes sizes,
           kernel::Random random);

  // Sets the time of the first call. Without it, calls start at time 0, and a
  // queue whose clock starts later goes back and runs the time until then as
  // well. The tables in docs/design/routing.md were measured that way.
  void StartAt(double now_seconds) { m_change_seconds = now_seconds; }
  Prompt NextPrompt();
  // Returns the seconds from a call that came at `now_seconds` to the next.
  double SecondsToNext(double now_seconds);

 private:
  double Exponential(double mean);
  double Normal();
  void AddOutput(Prompt& prompt);

  CallSizes m_sizes;
  double m_shared;
  double m_calls_per_second;
  kernel::Random m_random;
  bool m_burst = false;
  double m_change_seconds = 0;           // When the rate changes next.
  std::vector<double> m_workspace_sums;  // Cumulative shares.
  std::vector<double> m_prefix_sums;
};

// Returns the mean tokens of the calls that `Workload` makes.
MeanPrompt MeanOfWorkload(const CallSizes& sizes);

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_WORKLOAD_H_
