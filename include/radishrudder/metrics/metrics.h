#ifndef RADISHRUDDER_METRICS_METRICS_H_
#define RADISHRUDDER_METRICS_METRICS_H_

#include <atomic>
#include <cstddef>
#include <functional>
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

struct Series;

// Counters, gauges and histograms of one process, in shards of their own
// lock, built on Boost.Accumulators. The number of series is bounded: past
// the bound, the label values of a new series are folded into "other". A name
// is a counter, a gauge or a histogram, and is used as that only.
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

  // Returns all series in the Prometheus text format, in order of name. A
  // histogram has buckets, sum and count, and beside them the gauge
  // NAME_quantile with estimates of the quantiles 0.5, 0.95 and 0.99 over all
  // observations since the start of the process.
  std::string PrometheusText() const;

 private:
  struct Shard;
  // Applies `change` to the series under its shard's lock.
  void Update(std::string_view name,
              const std::vector<Label>& labels,
              const std::function<void(Series&)>& change);
  // Takes one of the series that remain; returns whether there was one.
  bool TakeSeries();

  std::vector<std::unique_ptr<Shard>> m_shards;
  std::size_t m_maximum_series;
  std::atomic<std::size_t> m_series{0};
};

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_METRICS_METRICS_H_
