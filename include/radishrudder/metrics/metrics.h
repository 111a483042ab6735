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

// A label of a series, for example {"workspace", "shop-17"}.
struct Label {
  std::string name;
  std::string value;
};

struct Series;

// Counters, gauges and histograms of one process, built on Boost.Accumulators.
// Thread-safe; the series are divided into shards with a lock each. The number
// of series is bounded: beyond the bound, all label values of a new series are
// replaced by "other". Each name must be used as only one of counter, gauge or
// histogram.
class Metrics {
 public:
  // `maximum_series` does not count series without labels or with only the
  // label value "other".
  explicit Metrics(std::size_t maximum_series);
  ~Metrics();

  // Adds `amount` to a counter.
  void Count(std::string_view name,
             const std::vector<Label>& labels,
             double amount = 1);
  // Sets a gauge.
  void Gauge(std::string_view name,
             const std::vector<Label>& labels,
             double value);
  // Adds one observation to a histogram, in seconds for names that end in
  // _seconds.
  void Observe(std::string_view name,
               const std::vector<Label>& labels,
               double value);

  // Returns all series in the Prometheus text format, ordered by name. A
  // histogram has buckets, sum and count, and additionally the gauge
  // NAME_quantile with estimates of the quantiles 0.5, 0.95 and 0.99 over all
  // observations since the start of the process.
  std::string PrometheusText() const;

 private:
  struct Shard;
  // Applies `change` to the series under its shard's lock, creating the series
  // if necessary.
  void Update(std::string_view name,
              const std::vector<Label>& labels,
              const std::function<void(Series&)>& change);
  // Counts one more series unless the bound is reached; returns whether it did.
  bool ReserveSeries();

  std::vector<std::unique_ptr<Shard>> m_shards;
  std::size_t m_maximum_series;
  std::atomic<std::size_t> m_series_count{0};
};

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_METRICS_METRICS_H_
