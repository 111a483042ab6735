#ifndef RADISHRUDDER_METRICS_METRICS_H_
#define RADISHRUDDER_METRICS_METRICS_H_

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::metrics {

// Label of a series, for example {"workspace", "shop-17"}.
struct Label {
  std::string name;
  std::string value;
};

// Counters, gauges and histograms of one process, in shards of their own
// lock, built on Boost.Accumulators. The number of series is bounded: past
// the bound, label values are folded into "other".
class Metrics {
 public:
  explicit Metrics(std::size_t maximum_series);
  ~Metrics();

  void Count(std::string_view name,
             const std::vector<Label>& labels,
             double amount = 1);
  void Gauge(std::string_view name,
             const std::vector<Label>& labels,
             double value);
  // Adds one observation, in seconds for names that end in _seconds.
  void Observe(std::string_view name,
               const std::vector<Label>& labels,
               double value);

  // Returns all series in the Prometheus text format, in order of name.
  std::string PrometheusText() const;

 private:
  struct Shard;
  std::vector<std::unique_ptr<Shard>> m_shards;
  std::size_t m_maximum_series;
};

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_METRICS_METRICS_H_
