#ifndef RADISHRUDDER_SOURCE_METRICS_PROMETHEUS_TEXT_H_
#define RADISHRUDDER_SOURCE_METRICS_PROMETHEUS_TEXT_H_

#include <string>

#include "series.h"

namespace radishrudder::metrics {

// Returns a series' identity, name{label="value",...}, with values escaped as
// the Prometheus text format requires.
std::string Identity(std::string_view name, std::span<const Label> labels);

// Appends the sample lines of a series.
void AppendSamples(const Series& series, std::string& text);

// Appends the quantile estimates of a histogram, as the gauge NAME_quantile.
void AppendQuantiles(const Series& series, std::string& text);

// Returns "counter", "gauge" or "histogram".
std::string_view KindName(SeriesKind kind);

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_SOURCE_METRICS_PROMETHEUS_TEXT_H_
