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

// The histogram of one series: fixed buckets and quantile estimates of all
// observations since the start of the process.
class Histogram {
 public:
  // `bounds` are the buckets' upper bounds in rising order.
  explicit Histogram(std::span<const double> bounds);
  ~Histogram();

  void Observe(double value);

  std::span<const double> Bounds() const { return m_bounds; }
  // Returns the observations at or below bound `index`.
  std::uint64_t Cumulative(std::size_t index) const;
  std::uint64_t Count() const;
  double Sum() const;
  // Returns the estimate of quantile `index` of `kQuantiles`; nothing before
  // the estimator has enough observations.
  std::optional<double> Quantile(std::size_t index) const;

 private:
  struct Estimator;
  std::span<const double> m_bounds;
  std::vector<std::uint64_t> m_buckets;
  std::unique_ptr<Estimator> m_estimator;
};

inline constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

// Returns the bucket bounds for a metric: time bounds for names that end in
// _seconds, powers of four otherwise.
std::span<const double> BoundsFor(std::string_view name);

enum class SeriesKind { kCounter, kGauge, kHistogram };

// One series: a name, its labels and its value.
struct Series {
  std::string name;
  std::vector<Label> labels;
  SeriesKind kind = SeriesKind::kCounter;
  double value = 0;
  std::unique_ptr<Histogram> histogram;  // Set for histograms.
};

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_SOURCE_METRICS_SERIES_H_
