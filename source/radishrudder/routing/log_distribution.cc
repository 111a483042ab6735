#include "radishrudder/routing/log_distribution.h"

#include <algorithm>
#include <cmath>

namespace radishrudder::routing {
namespace {

constexpr double kBinsPerOctave = 4;
// Weight that a value keeps when another one is added, so that about the last
// 256 values count.
constexpr double kRetained = 1 - 1.0 / 256;

}  // namespace

LogDistribution LogDistribution::LogNormal(double minimum,
                                           double median,
                                           double octaves) {
  LogDistribution distribution(minimum);
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    const double deviation =
        std::log2(distribution.Middle(bin) / median) / octaves;
    distribution.m_bins[bin] =
        static_cast<float>(std::exp(-deviation * deviation / 2));
    distribution.m_weight += distribution.m_bins[bin];
  }
  LogDistribution normalized(minimum);
  normalized.Blend(distribution, 1);
  return normalized;
}

void LogDistribution::Add(double value) {
  if (!(value > 0) || !std::isfinite(value)) {
    return;
  }
  const double position = std::log2(value / m_minimum) * kBinsPerOctave;
  const auto bin =
      static_cast<std::size_t>(std::clamp(position, 0.0, kBins - 1.0));
  for (float& weight : m_bins) {
    weight *= static_cast<float>(kRetained);
  }
  m_bins[bin] += 1;
  m_weight = m_weight * kRetained + 1;
}

void LogDistribution::Blend(const LogDistribution& other, double weight) {
  if (!(other.m_weight > 0)) {
    return;
  }
  const auto factor = static_cast<float>(weight / other.m_weight);
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    m_bins[bin] += factor * other.m_bins[bin];
  }
  m_weight += weight;
}

double LogDistribution::Mean(double limit) const {
  if (!(m_weight > 0)) {
    return 0;
  }
  double sum = 0;
  double weight = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    if (m_bins[bin] > 0) {
      sum += m_bins[bin] * std::min(limit, Middle(bin));
      weight += m_bins[bin];
    }
  }
  return sum / weight;
}

double LogDistribution::Quantile(double share) const {
  double left = share * m_weight;
  double value = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    if (m_bins[bin] > 0) {
      value = Middle(bin);
      left -= m_bins[bin];
      if (left <= 0) {
        break;
      }
    }
  }
  return value;
}

double LogDistribution::Middle(std::size_t bin) const {
  return m_minimum *
         std::exp2((static_cast<double>(bin) + 0.5) / kBinsPerOctave);
}

}  // namespace radishrudder::routing
