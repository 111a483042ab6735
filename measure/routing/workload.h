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
};

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
           kernel::Random random);

  Prompt NextPrompt();
  // Returns the seconds from a call that came at `now_seconds` to the next.
  double SecondsToNext(double now_seconds);

 private:
  double Exponential(double mean);

  double m_shared;
  double m_calls_per_second;
  kernel::Random m_random;
  bool m_burst = false;
  double m_change_seconds = 0;           // When the rate changes next.
  std::vector<double> m_workspace_sums;  // Cumulative shares.
  std::vector<double> m_prefix_sums;
};

// Mean tokens of the calls that `Workload` makes.
struct MeanPrompt {
  double prefix_tokens = 0;
  double own_tokens = 0;
  double output_tokens = 0;
};
MeanPrompt MeanOfWorkload();

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_WORKLOAD_H_
