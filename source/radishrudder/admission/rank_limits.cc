#include "radishrudder/admission/rank_limits.h"

#include <algorithm>
#include <chrono>

namespace radishrudder::admission {
namespace {

constexpr std::chrono::milliseconds kWindow{250};
// Weight of the latest window in the rate: an old rate is a tenth of itself
// after 1.5 s.
constexpr double kWindowWeight = 0.3;
// Calls a window below which a rank has ended and reserves nothing.
constexpr double kMinimumRate = 0.01;
// The most urgent calls may exceed the places by this share, and the least
// urgent ones leave as much free; the ranks between them are spaced evenly.
// With 12 places and a call of 1.5 s, three places come free in 0.4 s: an
// endpoint takes the most urgent first and so still in time. Within a report
// interval of 150 ms, other entries send up to two calls that this one does not
// see.
constexpr double kLargestDifference = 0.25;
// Less urgent calls leave all of it free if more urgent ones are at least this
// part of all.
constexpr double kFullReserveShare = 0.2;

}  // namespace

void RankLimits::Advance(kernel::Time now) {
  if (now - m_window_start < kWindow) {
    return;
  }
  // After a pause, the windows without calls count as well.
  const auto windows =
      std::min<std::int64_t>((now - m_window_start) / kWindow, 64);
  m_window_start = now;
  for (auto& [rank, rate] : m_rates) {
    const auto found = m_arrived.find(rank);
    const double arrived = found == m_arrived.end() ? 0 : found->second;
    rate += kWindowWeight * (arrived - rate);
    for (std::int64_t window = 1; window < windows; ++window) {
      rate *= 1 - kWindowWeight;
    }
  }
  std::erase_if(m_rates,
                [](const auto& item) { return item.second < kMinimumRate; });
  m_arrived.clear();
}

void RankLimits::OnArrived(kernel::Time now, std::uint32_t rank) {
  Advance(now);
  ++m_arrived[rank];
  m_rates.try_emplace(rank, 0);
}

double RankLimits::PlacesShare(std::uint32_t rank) const {
  double all = 0;
  double more_urgent = 0;
  std::uint32_t ranks_above = 0;
  for (const auto& [known, rate] : m_rates) {
    all += rate;
    if (known < rank) {
      more_urgent += rate;
      ++ranks_above;
    }
  }
  if (m_rates.size() < 2) {
    return 1;
  }
  const double position = static_cast<double>(ranks_above) /
                          static_cast<double>(m_rates.size() - 1);
  const double difference = kLargestDifference * (1 - 2 * position);
  if (difference >= 0) {
    return 1 + difference;
  }
  const double share = all > 0 ? more_urgent / all : 0;
  return 1 + difference * std::min(1.0, share / kFullReserveShare);
}

}  // namespace radishrudder::admission
