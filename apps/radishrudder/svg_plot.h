#ifndef RADISHRUDDER_APPS_RADISHRUDDER_SVG_PLOT_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_SVG_PLOT_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::command_line {

struct Point {
  double x = 0;
  double y = 0;
};

// A curve that keeps its value until the next point, with a dashed vertical
// line at `bound` unless it is 0.
struct StepPlot {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<Point> points;  // In order of x.
  double bound = 0;
  std::string bound_label;
};

struct Bar {
  std::string label;
  double value = 0;
  std::string shown;  // The value in words.
};

// Horizontal bars.
struct BarPlot {
  std::string title;
  std::vector<Bar> bars;
};

// Each returns one <svg> element.
std::string Render(const StepPlot& plot);
std::string Render(const BarPlot& plot);

// Returns text with the characters that HTML gives a meaning replaced.
std::string EscapeHtml(std::string_view text);

// Returns a number with at most three digits after the point.
std::string ShortNumber(double value);

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_SVG_PLOT_H_
