#include "radishrudder/metrics/metrics.h"

#include <functional>
#include <map>
#include <utility>

#include "prometheus_text.h"
#include "series.h"

namespace radishrudder::metrics {
namespace {

constexpr std::size_t kShards = 16;
constexpr char kFoldedValue[] = "other";

using SeriesMap = std::map<std::string, Series, std::less<>>;

std::vector<Label> Fold(std::vector<Label> labels) {
  for (Label& label : labels) {
    label.value = kFoldedValue;
  }
  return labels;
}

bool IsFolded(const std::vector<Label>& labels) {
  for (const Label& label : labels) {
    if (label.value != kFoldedValue) {
      return false;
    }
  }
  return true;
}

// A copy of one series' lines, made under its shard's lock.
struct Rendered {
  SeriesKind kind = SeriesKind::kCounter;
  std::string samples;
  std::string quantiles;
};

// By name, then by identity, so that families are whole and in order.
using Families = std::map<std::string, std::map<std::string, Rendered>>;

Rendered Render(const Series& series) {
  Rendered rendered{series.kind, "", ""};
  AppendSamples(series, rendered.samples);
  if (series.histogram) {
    AppendQuantiles(series, rendered.quantiles);
  }
  return rendered;
}

void AppendType(std::string_view name,
                std::string_view kind,
                std::string& text) {
  text += "# TYPE ";
  text += name;
  text += ' ';
  text += kind;
  text += '\n';
}

void AppendFamily(const std::string& name,
                  const std::map<std::string, Rendered>& family,
                  std::string& text) {
  const SeriesKind kind = family.begin()->second.kind;
  std::string quantiles;
  AppendType(name, KindName(kind), text);
  for (const auto& [identity, rendered] : family) {
    if (rendered.kind == kind) {
      text += rendered.samples;
      quantiles += rendered.quantiles;
    }
  }
  if (!quantiles.empty()) {
    AppendType(name + "_quantile", KindName(SeriesKind::kGauge), text);
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
  for (std::size_t i = 0; i < kShards; ++i) {
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
      series.histogram = std::make_unique<Histogram>(BoundsFor(name));
    }
    series.histogram->Observe(value);
  });
}

void Metrics::Update(std::string_view name,
                     const std::vector<Label>& labels,
                     const std::function<void(Series&)>& change) {
  const std::string identity = Identity(name, labels);
  Shard& shard =
      *m_shards[std::hash<std::string>()(identity) % m_shards.size()];
  {
    const std::lock_guard lock(shard.mutex);
    auto found = shard.series.find(identity);
    const bool folded = IsFolded(labels);
    if (found == shard.series.end() && (folded || TakeSeries())) {
      found = shard.series.try_emplace(identity).first;
      found->second.name = name;
      found->second.labels = labels;
    }
    if (found != shard.series.end()) {
      change(found->second);
      return;
    }
  }
  Update(name, Fold(labels), change);
}

bool Metrics::TakeSeries() {
  std::size_t series = m_series.load(std::memory_order_relaxed);
  while (series < m_maximum_series) {
    if (m_series.compare_exchange_weak(series, series + 1,
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
      families[series.name].emplace(identity, Render(series));
    }
  }
  std::string text;
  for (const auto& [name, family] : families) {
    AppendFamily(name, family, text);
  }
  return text;
}

}  // namespace radishrudder::metrics
