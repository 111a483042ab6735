#ifndef RADISHRUDDER_ADMISSION_RANK_LIMITS_H_
#define RADISHRUDDER_ADMISSION_RANK_LIMITS_H_

#include <cstdint>
#include <map>

#include "radishrudder/kernel/time.h"

namespace radishrudder::admission {

// How much of an endpoint's places the calls of each rank may fill. Less urgent
// calls leave some places free, so that they give way before urgent ones are
// refused or late, at every entry and without a message. What they leave free
// follows what more urgent calls bring: without any, all places are used.
class RankLimits {
 public:
  // A call of that rank came; 0 is the most urgent.
  void OnArrived(kernel::Time now, std::uint32_t rank);
  // Returns the share of the places, over 1 if a call may also queue at the
  // endpoint.
  double PlacesShare(std::uint32_t rank) const;

 private:
  void Advance(kernel::Time now);

  kernel::Time m_window_start{};
  std::map<std::uint32_t, std::uint32_t> m_arrived;  // In the present window.
  std::map<std::uint32_t, double> m_rates;           // Calls a window, by rank.
};

}  // namespace radishrudder::admission

#endif  // RADISHRUDDER_ADMISSION_RANK_LIMITS_H_
