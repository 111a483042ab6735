#ifndef RADISHRUDDER_SOURCE_METRICS_PROMETHEUS_TEXT_H_
#define RADISHRUDDER_SOURCE_METRICS_PROMETHEUS_TEXT_H_

#include <string>

#include "series.h"

namespace radishrudder::metrics {

// Returns the identity of a series, name{label="value",...}, with label values
// escaped as the Prometheus text format requires.
std::string SeriesIdentity(std::string_view name,
                           std::span<const Label> labels);

// Appends the sample lines of a series; for a histogram its buckets, sum and
// count.
void AppendSamples(const Series& series, std::string& text);

// Appends the quantile estimates of a histogram as samples of the gauge
// NAME_quantile; nothing before there are estimates.
void AppendQuantiles(const Series& series, std::string& text);

// Returns the type as in a # TYPE line: "counter", "gauge" or "histogram".
std::string_view KindName(SeriesKind kind);

}  // namespace radishrudder::metrics

#endif  // RADISHRUDDER_SOURCE_METRICS_PROMETHEUS_TEXT_H_
