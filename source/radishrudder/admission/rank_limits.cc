#include "radishrudder/admission/rank_limits.h"

#include <algorithm>
#include <chrono>

namespace radishrudder::admission {
namespace {

constexpr std::chrono::milliseconds kWindow{250};
// Weight of the latest window in the rate: an old rate is a tenth of itself
// after 1.5 s.
constexpr double kWindowWeight = 0.3;
// Places that a rank leaves free for each more urgent rank. With 12 places and
// a call of 1.5 s, one place in eight comes free within 200 ms, the time in
// which other entries' load reports are late.
constexpr double kReservePerRank = 0.085;
// With many ranks, the last one would keep no place at all.
constexpr double kMaximumReserve = 0.5;
// Calls a window below which a rank has ended and reserves nothing.
constexpr double kMinimumRate = 0.01;
// The reserve is whole if more urgent calls are at least this part of all.
constexpr double kFullReserveShare = 0.2;
// Most urgent calls may exceed the places by this share: the endpoint takes
// them first as soon as a place comes free.
constexpr double kUrgentQueueShare = 0.085;

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
  if (ranks_above == 0) {
    return m_rates.size() > 1 ? 1 + kUrgentQueueShare : 1;
  }
  const double share = all > 0 ? more_urgent / all : 0;
  const double reserve =
      std::min(kMaximumReserve, kReservePerRank * ranks_above) *
      std::min(1.0, share / kFullReserveShare);
  return 1 - reserve;
}

}  // namespace radishrudder::admission
