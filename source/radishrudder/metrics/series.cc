#include "series.h"

#include <algorithm>
#include <iterator>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace radishrudder::metrics {
namespace {

namespace accumulators = boost::accumulators;

using QuantileSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

// The extended P-square estimator of k quantiles has 2k + 3 markers and needs
// one observation for each of them before its estimates are defined.
constexpr std::size_t kMinimumObservations = 2 * std::size(kQuantiles) + 3;

constexpr double kSecondsBounds[] = {0.001, 0.0025, 0.005, 0.01, 0.025,
                                     0.05,  0.1,    0.25,  0.5,  1,
                                     2.5,   5,      10,    30,   60};
constexpr double kPowersOfFourBounds[] = {
    1,     4,     16,     64,      256,     1024,     4096,
    16384, 65536, 262144, 1048576, 4194304, 16777216, 67108864};

}  // namespace

struct Histogram::Estimator {
  QuantileSet set{accumulators::extended_p_square_probabilities = kQuantiles};
};

Histogram::Histogram(std::span<const double> bounds)
    : m_bounds(bounds),
      m_buckets(bounds.size() + 1),
      m_estimator(std::make_unique<Estimator>()) {}

Histogram::~Histogram() = default;

void Histogram::Observe(double value) {
  const auto bucket = std::ranges::lower_bound(m_bounds, value);
  ++m_buckets[static_cast<std::size_t>(bucket - m_bounds.begin())];
  m_estimator->set(value);
}

std::uint64_t Histogram::CumulativeCount(std::size_t index) const {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i <= index; ++i) {
    total += m_buckets[i];
  }
  return total;
}

std::uint64_t Histogram::Count() const {
  return accumulators::count(m_estimator->set);
}

double Histogram::Sum() const {
  return accumulators::sum(m_estimator->set);
}

std::optional<double> Histogram::Quantile(std::size_t index) const {
  if (Count() < kMinimumObservations) {
    return std::nullopt;
  }
  return accumulators::extended_p_square(m_estimator->set)[index];
}

std::span<const double> BucketBounds(std::string_view name) {
  if (name.ends_with("_seconds")) {
    return kSecondsBounds;
  }
  return kPowersOfFourBounds;
}

}  // namespace radishrudder::metrics
