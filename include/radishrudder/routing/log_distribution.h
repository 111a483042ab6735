#ifndef RADISHRUDDER_ROUTING_LOG_DISTRIBUTION_H_
#define RADISHRUDDER_ROUTING_LOG_DISTRIBUTION_H_

#include <array>
#include <cstddef>

namespace radishrudder::routing {

// Distribution of positive values on a logarithmic scale of fixed size: 16
// octaves from `minimum`, four bins to an octave. Values outside count as the
// nearest bin. Old values decay with the number of newer ones.
class LogDistribution {
 public:
  explicit LogDistribution(double minimum) : m_minimum(minimum) {}

  // Returns a distribution of total weight 1 that is normal in the logarithm,
  // with `octaves` as the standard deviation.
  static LogDistribution LogNormal(double minimum,
                                   double median,
                                   double octaves);

  // Ignores values that are not positive and finite.
  void Add(double value);
  // Adds `other`, which must have the same minimum, scaled to `weight`.
  void Blend(const LogDistribution& other, double weight);

  double Weight() const { return m_weight; }
  // Returns the mean of the values, each limited to `limit`; 0 without values.
  double Mean(double limit) const;
  // Returns the value below which `share` of the weight lies; 0 without values.
  double Quantile(double share) const;

 private:
  static constexpr std::size_t kBins = 64;

  // Returns the geometric middle of a bin.
  double Middle(std::size_t bin) const;

  double m_minimum;
  double m_weight = 0;
  std::array<float, kBins> m_bins{};
};

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_LOG_DISTRIBUTION_H_
