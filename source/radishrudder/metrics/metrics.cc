#include "radishrudder/metrics/metrics.h"

#include <functional>
#include <map>
#include <utility>

#include "prometheus_text.h"
#include "series.h"

namespace radishrudder::metrics {
namespace {

constexpr std::size_t kShardCount = 16;
constexpr char kReplacementLabelValue[] = "other";

using SeriesMap = std::map<std::string, Series, std::less<>>;

// Returns the labels with all values replaced, for a series beyond the bound.
std::vector<Label> ReplaceLabelValues(std::vector<Label> labels) {
  for (Label& label : labels) {
    label.value = kReplacementLabelValue;
  }
  return labels;
}

// Returns whether `ReplaceLabelValues` would change nothing. Such a series is
// always created.
bool HasOnlyReplacedValues(const std::vector<Label>& labels) {
  for (const Label& label : labels) {
    if (label.value != kReplacementLabelValue) {
      return false;
    }
  }
  return true;
}

// The formatted lines of one series.
struct FormattedSeries {
  SeriesKind kind = SeriesKind::kCounter;
  std::string samples;
  std::string quantiles;
};

// Keyed by metric name, then by series identity, since the text format requires
// all lines of a metric family in one group.
using Families = std::map<std::string, std::map<std::string, FormattedSeries>>;

FormattedSeries FormatSeries(const Series& series) {
  FormattedSeries formatted{series.kind, "", ""};
  AppendSamples(series, formatted.samples);
  if (series.histogram) {
    AppendQuantiles(series, formatted.quantiles);
  }
  return formatted;
}

void AppendTypeLine(std::string_view name,
                    std::string_view kind,
                    std::string& text) {
  text += "# TYPE ";
  text += name;
  text += ' ';
  text += kind;
  text += '\n';
}

void AppendFamily(const std::string& name,
                  const std::map<std::string, FormattedSeries>& family,
                  std::string& text) {
  const SeriesKind kind = family.begin()->second.kind;
  std::string quantiles;
  AppendTypeLine(name, KindName(kind), text);
  for (const auto& [identity, formatted] : family) {
    if (formatted.kind == kind) {
      text += formatted.samples;
      quantiles += formatted.quantiles;
    }
  }
  if (!quantiles.empty()) {
    AppendTypeLine(name + "_quantile", KindName(SeriesKind::kGauge), text);
    text += quantiles;
  }
}

}  // namespace

struct Metrics::Shard {
  mutable std::mutex mutex;
  SeriesMap series;
};

Metrics::Metrics(std::size_t maximum_series)
    : m_maximum_series(maximum_series) {
  for (std::size_t i = 0; i < kShardCount; ++i) {
    m_shards.push_back(std::make_unique<Shard>());
  }
}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    const std::vector<Label>& labels,
                    double amount) {
  Update(name, labels, [&](Series& series) { series.value += amount; });
}

void Metrics::Gauge(std::string_view name,
                    const std::vector<Label>& labels,
                    double value) {
  Update(name, labels, [&](Series& series) {
    series.kind = SeriesKind::kGauge;
    series.value = value;
  });
}

void Metrics::Observe(std::string_view name,
                      const std::vector<Label>& labels,
                      double value) {
  Update(name, labels, [&](Series& series) {
    if (!series.histogram) {
      series.kind = SeriesKind::kHistogram;
      series.histogram = std::make_unique<Histogram>(BucketBounds(name));
    }
    series.histogram->Observe(value);
  });
}

void Metrics::Update(std::string_view name,
                     const std::vector<Label>& labels,
                     const std::function<void(Series&)>& change) {
  const std::string identity = SeriesIdentity(name, labels);
  Shard& shard =
      *m_shards[std::hash<std::string>()(identity) % m_shards.size()];
  {
    const std::lock_guard lock(shard.mutex);
    auto found = shard.series.find(identity);
    const bool replaced = HasOnlyReplacedValues(labels);
    if (found == shard.series.end() && (replaced || ReserveSeries())) {
      found = shard.series.try_emplace(identity).first;
      found->second.name = name;
      found->second.labels = labels;
    }
    if (found != shard.series.end()) {
      change(found->second);
      return;
    }
  }
  Update(name, ReplaceLabelValues(labels), change);
}

bool Metrics::ReserveSeries() {
  std::size_t series = m_series_count.load(std::memory_order_relaxed);
  while (series < m_maximum_series) {
    if (m_series_count.compare_exchange_weak(series, series + 1,
                                             std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

std::string Metrics::PrometheusText() const {
  Families families;
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->mutex);
    for (const auto& [identity, series] : shard->series) {
      families[series.name].emplace(identity, FormatSeries(series));
    }
  }
  std::string text;
  for (const auto& [name, family] : families) {
    AppendFamily(name, family, text);
  }
  return text;
}

}  // namespace radishrudder::metrics
