#ifndef RADISHRUDDER_SOURCE_METRICS_SERIES_H_
#define RADISHRUDDER_SOURCE_METRICS_SERIES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/metrics/metrics.h"

namespace radishrudder::metrics {

// The histogram of one series: fixed buckets, and quantile estimates over all
// observations since the start of the process.
class Histogram {
 public:
  // `bounds` are the inclusive upper bounds of the buckets in ascending order.
  // They are not copied and must outlive the histogram.
  explicit Histogram(std::span<const double> bounds);
  ~Histogram();

  void Observe(double value);

  std::span<const double> Bounds() const { return m_bounds; }
  // Returns the number of observations at or below bound `index`.
  std::uint64_t CumulativeCount(std::size_t index) const;
  std::uint64_t Count() const;
  double Sum() const;
  // Returns the estimate of quantile `kQuantiles[index]`, or nothing while
  // there are too few observations for an estimate.
  std::optional<double> Quantile(std::size_t index) const;

 private:
  struct Estimator;
  std::span<const double> m_bounds;
  // Observations per bucket, not cumulative; the last bucket is unbounded.
  std::vector<std::uint64_t> m_buckets;
  std::unique_ptr<Estimator> m_estimator;
};

inline constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

// Returns the bucket bounds of a histogram by its name: 1 ms to 60 s for names
// that end in _seconds, powers of four otherwise.
std::span<const double> BucketBounds(std::string_view name);

enum class SeriesKind { kCounter, kGauge, kHistogram };

// The metric name, labels and current value of one series.
struct Series {
  std::string name;
  std::vector<Label> labels;
  SeriesKind kind = SeriesKind::kCounter;
  double value = 0;                      // Unused for histograms.
  std::unique_ptr<Histogram> histogram;  // Set for histograms.
};

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_SOURCE_METRICS_SERIES_H_
