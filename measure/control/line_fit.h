#ifndef RADISHRUDDER_MEASURE_CONTROL_LINE_FIT_H_
#define RADISHRUDDER_MEASURE_CONTROL_LINE_FIT_H_

#include <vector>

namespace radishrudder::measure {

// A straight line through measured points, by least squares.
struct Line {
  double base = 0;
  double slope = 0;

  double At(double size) const { return base + slope * size; }
};

inline Line FitLine(const std::vector<double>& sizes,
                    const std::vector<double>& values) {
  const auto count = static_cast<double>(sizes.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    sum_x += sizes[i];
    sum_y += values[i];
    sum_xx += sizes[i] * sizes[i];
    sum_xy += sizes[i] * values[i];
  }
  const double spread = count * sum_xx - sum_x * sum_x;
  Line line;
  line.slope = spread == 0 ? 0 : (count * sum_xy - sum_x * sum_y) / spread;
  line.base = (sum_y - line.slope * sum_x) / count;
  return line;
}

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_CONTROL_LINE_FIT_H_
