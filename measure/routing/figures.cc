#include "measure/routing/figures.h"

#include <algorithm>
#include <numeric>

namespace radishrudder::measure {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kTargetSeconds = 0.5;

// Returns the value below which `share` of the sorted values lie.
double Quantile(std::span<const double> sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace

void FigureCollector::OnFirstToken(double ttft_seconds, bool hit) {
  m_ttft_seconds.push_back(ttft_seconds);
  m_hits += hit ? 1 : 0;
}

void FigureCollector::OnCut(std::optional<double> ttft_seconds) {
  ++m_cut_calls;
  if (ttft_seconds) {
    m_ttft_seconds.push_back(*ttft_seconds);
  }
}

void FigureCollector::OnSample(std::span<const std::size_t> calls) {
  const std::size_t sum =
      std::accumulate(calls.begin(), calls.end(), std::size_t{0});
  if (sum == 0) {
    return;
  }
  const double mean =
      static_cast<double>(sum) / static_cast<double>(calls.size());
  const std::size_t most = *std::max_element(calls.begin(), calls.end());
  m_imbalance_sum += static_cast<double>(most) / mean;
  ++m_samples;
}

Figures FigureCollector::Take() {
  std::sort(m_ttft_seconds.begin(), m_ttft_seconds.end());
  Figures figures;
  figures.calls = m_ttft_seconds.size();
  figures.ttft_p50_ms = Quantile(m_ttft_seconds, 0.5) * kMillisecondsPerSecond;
  figures.ttft_p95_ms = Quantile(m_ttft_seconds, 0.95) * kMillisecondsPerSecond;
  figures.ttft_p99_ms = Quantile(m_ttft_seconds, 0.99) * kMillisecondsPerSecond;
  figures.cut_calls = m_cut_calls;
  if (figures.calls > 0) {
    const auto in_target =
        std::ranges::upper_bound(m_ttft_seconds, kTargetSeconds) -
        m_ttft_seconds.begin();
    figures.share_in_target =
        static_cast<double>(in_target) / static_cast<double>(figures.calls);
    figures.prefix_hit_ratio =
        static_cast<double>(m_hits) / static_cast<double>(figures.calls);
  }
  if (m_samples > 0) {
    figures.imbalance = m_imbalance_sum / static_cast<double>(m_samples);
  }
  return figures;
}

}  // namespace radishrudder::measure
