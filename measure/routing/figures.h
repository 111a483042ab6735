#ifndef RADISHRUDDER_MEASURE_ROUTING_FIGURES_H_
#define RADISHRUDDER_MEASURE_ROUTING_FIGURES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace radishrudder::measure {

// What one run of one policy gave.
struct Figures {
  double ttft_p50_ms = 0;
  double ttft_p95_ms = 0;
  double prefix_hit_ratio = 0;
  // Calls at the busiest endpoint over the mean of all, averaged over time.
  double imbalance = 0;
  std::uint64_t calls = 0;
  // Share of the calls whose first token came within the target; those that
  // were cut before it count as missed, and in the quantiles as cut then.
  double share_in_target = 0;
  double ttft_p99_ms = 0;
  std::uint64_t cut_calls = 0;  // By their deadline.
  // Relative error of the expected length of answers, over all entries.
  double cost_error_median = 0;
  double cost_error_high = 0;  // 90th percentile.
};

// Collects what happens to calls during a run.
class FigureCollector {
 public:
  void OnFirstToken(double ttft_seconds, bool hit);
  // The deadline of a call passed. `ttft_seconds` is the time until then for a
  // call without a first token, else nothing.
  void OnCut(std::optional<double> ttft_seconds);
  // Calls at each endpoint at one moment.
  void OnSample(std::span<const std::size_t> calls);
  Figures Take();

 private:
  std::vector<double> m_ttft_seconds;
  std::uint64_t m_hits = 0;
  std::uint64_t m_cut_calls = 0;
  double m_imbalance_sum = 0;
  std::uint64_t m_samples = 0;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_FIGURES_H_
