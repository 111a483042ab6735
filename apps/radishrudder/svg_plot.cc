#include "svg_plot.h"

#include <algorithm>
#include <cstdio>

namespace radishrudder::command_line {
namespace {

constexpr double kWidth = 720;  // Pixels, as all lengths here.
constexpr double kStepHeight = 300;
constexpr double kLeft = 70;
constexpr double kRight = 20;
constexpr double kTop = 30;
constexpr double kBottom = 50;
constexpr double kBarHeight = 18;
constexpr double kBarGap = 6;
constexpr double kBarLabelWidth = 180;
constexpr double kBarValueWidth = 90;
constexpr int kTicks = 5;
constexpr double kTextOffset = 4;

std::string Attribute(std::string_view name, double value) {
  return " " + std::string(name) + "=\"" + ShortNumber(value) + "\"";
}

std::string Open(double height, std::string_view title) {
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" role=\"img\"" +
         Attribute("width", kWidth) + Attribute("height", height) +
         " viewBox=\"0 0 " + ShortNumber(kWidth) + " " + ShortNumber(height) +
         "\"><title>" + EscapeHtml(title) + "</title>\n";
}

std::string Line(Point from, Point to, std::string_view style) {
  return "<line" + Attribute("x1", from.x) + Attribute("y1", from.y) +
         Attribute("x2", to.x) + Attribute("y2", to.y) + " class=\"" +
         std::string(style) + "\"/>\n";
}

std::string Words(Point at, std::string_view anchor, std::string_view text) {
  return "<text" + Attribute("x", at.x) + Attribute("y", at.y) +
         " text-anchor=\"" + std::string(anchor) + "\">" + EscapeHtml(text) +
         "</text>\n";
}

// Maps values to pixels.
struct Scale {
  double maximum_x = 1;
  double maximum_y = 1;

  double X(double x) const {
    return kLeft + x / maximum_x * (kWidth - kLeft - kRight);
  }
  double Y(double y) const {
    return kStepHeight - kBottom -
           y / maximum_y * (kStepHeight - kTop - kBottom);
  }
};

Scale ScaleFor(const StepPlot& plot) {
  Scale scale{plot.bound, 0};
  for (const Point& point : plot.points) {
    scale.maximum_x = std::max(scale.maximum_x, point.x);
    scale.maximum_y = std::max(scale.maximum_y, point.y);
  }
  if (scale.maximum_x <= 0) {
    scale.maximum_x = 1;
  }
  if (scale.maximum_y <= 0) {
    scale.maximum_y = 1;
  }
  return scale;
}

std::string Axes(const StepPlot& plot, const Scale& scale) {
  std::string svg;
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double x = scale.maximum_x * tick / kTicks;
    const double y = scale.maximum_y * tick / kTicks;
    svg += Line({kLeft, scale.Y(y)}, {kWidth - kRight, scale.Y(y)}, "grid");
    svg += Words({kLeft - kTextOffset, scale.Y(y) + kTextOffset}, "end",
                 ShortNumber(y));
    svg += Words({scale.X(x), kStepHeight - kBottom + 16}, "middle",
                 ShortNumber(x));
  }
  svg += Words({(kLeft + kWidth - kRight) / 2, kStepHeight - 12}, "middle",
               plot.x_label);
  svg += Words({kTextOffset, kTop - 12}, "start", plot.y_label);
  return svg;
}

std::string Curve(const StepPlot& plot, const Scale& scale) {
  std::string points;
  double y = scale.Y(0);
  const auto add = [&](double x, double new_y) {
    points += points.empty() ? "" : " ";
    points += ShortNumber(x) + "," + ShortNumber(new_y);
  };
  add(scale.X(0), y);
  for (const Point& point : plot.points) {
    add(scale.X(point.x), y);
    y = scale.Y(point.y);
    add(scale.X(point.x), y);
  }
  return "<polyline class=\"curve\" points=\"" + points + "\"/>\n";
}

}  // namespace

std::string Render(const StepPlot& plot) {
  const Scale scale = ScaleFor(plot);
  std::string svg =
      Open(kStepHeight, plot.title) + Axes(plot, scale) + Curve(plot, scale);
  if (plot.bound > 0) {
    const double x = scale.X(plot.bound);
    const bool right = x > kWidth / 2;
    svg += Line({x, kTop}, {x, kStepHeight - kBottom}, "bound");
    svg += Words({x + (right ? -kTextOffset : kTextOffset), kTop + 12},
                 right ? "end" : "start", plot.bound_label);
  }
  return svg + "</svg>\n";
}

std::string Render(const BarPlot& plot) {
  double maximum = 0;
  for (const Bar& bar : plot.bars) {
    maximum = std::max(maximum, bar.value);
  }
  const double step = kBarHeight + kBarGap;
  const double room = kWidth - kBarLabelWidth - kBarValueWidth;
  std::string svg =
      Open(step * static_cast<double>(plot.bars.size()) + kBarGap, plot.title);
  double y = kBarGap;
  for (const Bar& bar : plot.bars) {
    const double width = maximum > 0 ? bar.value / maximum * room : 0;
    svg += Words({kBarLabelWidth - kTextOffset, y + 13}, "end", bar.label);
    svg += "<rect class=\"bar\"" + Attribute("x", kBarLabelWidth) +
           Attribute("y", y) + Attribute("width", width) +
           Attribute("height", kBarHeight) + "/>\n";
    svg += Words({kBarLabelWidth + width + kTextOffset, y + 13}, "start",
                 bar.shown);
    y += step;
  }
  return svg + "</svg>\n";
}

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string ShortNumber(double value) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.3f", value);
  std::string number(text);
  number.erase(number.find_last_not_of('0') + 1);
  if (number.ends_with('.')) {
    number.pop_back();
  }
  return number == "-0" ? "0" : number;
}

}  // namespace radishrudder::command_line
