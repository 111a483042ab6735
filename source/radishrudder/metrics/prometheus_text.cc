#include "prometheus_text.h"

#include <charconv>
#include <cmath>

namespace radishrudder::metrics {
namespace {

std::string FormatNumber(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  char buffer[32];
  const auto result = std::to_chars(buffer, buffer + sizeof(buffer), value);
  return {buffer, result.ptr};
}

void AppendEscaped(std::string_view value, std::string& text) {
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    text += character;
  }
}

void AppendSample(std::string_view name,
                  std::span<const Label> labels,
                  double value,
                  std::string& text) {
  text += SeriesIdentity(name, labels) + " " + FormatNumber(value) + "\n";
}

std::vector<Label> WithLabel(const std::vector<Label>& labels,
                             std::string name,
                             std::string value) {
  std::vector<Label> extended = labels;
  extended.push_back({std::move(name), std::move(value)});
  return extended;
}

void AppendBuckets(const Series& series, std::string& text) {
  const Histogram& histogram = *series.histogram;
  const std::string name = series.name + "_bucket";
  for (std::size_t i = 0; i < histogram.Bounds().size(); ++i) {
    AppendSample(
        name,
        WithLabel(series.labels, "le", FormatNumber(histogram.Bounds()[i])),
        static_cast<double>(histogram.CumulativeCount(i)), text);
  }
  AppendSample(name, WithLabel(series.labels, "le", "+Inf"),
               static_cast<double>(histogram.Count()), text);
}

}  // namespace

std::string SeriesIdentity(std::string_view name,
                           std::span<const Label> labels) {
  std::string text(name);
  if (labels.empty()) {
    return text;
  }
  text += '{';
  for (const Label& label : labels) {
    text += text.back() == '{' ? "" : ",";
    text += label.name + "=\"";
    AppendEscaped(label.value, text);
    text += '"';
  }
  return text + "}";
}

void AppendSamples(const Series& series, std::string& text) {
  if (series.kind != SeriesKind::kHistogram) {
    AppendSample(series.name, series.labels, series.value, text);
    return;
  }
  AppendBuckets(series, text);
  AppendSample(series.name + "_sum", series.labels, series.histogram->Sum(),
               text);
  AppendSample(series.name + "_count", series.labels,
               static_cast<double>(series.histogram->Count()), text);
}

void AppendQuantiles(const Series& series, std::string& text) {
  for (std::size_t i = 0; i < std::size(kQuantiles); ++i) {
    const std::optional<double> estimate = series.histogram->Quantile(i);
    if (estimate) {
      AppendSample(
          series.name + "_quantile",
          WithLabel(series.labels, "quantile", FormatNumber(kQuantiles[i])),
          *estimate, text);
    }
  }
}

std::string_view KindName(SeriesKind kind) {
  switch (kind) {
    case SeriesKind::kCounter:
      return "counter";
    case SeriesKind::kGauge:
      return "gauge";
    case SeriesKind::kHistogram:
      return "histogram";
  }
  return "";
}

}  // namespace radishrudder::metrics
