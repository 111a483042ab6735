#ifndef RADISHRUDDER_DIRECT_EVACUATIONS_H_
#define RADISHRUDDER_DIRECT_EVACUATIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::direct {

// One evacuation in the store.
struct EvacuationItem {
  std::string data_centre{};
  std::uint64_t revision = 0;
};

// A change of what is evacuated.
struct EvacuationChange {
  std::string data_centre{};
  bool evacuated = false;
};

// The data centres whose endpoints get nothing new, as the store has them. A
// store that comes back from an older copy, in a new era, may lack an
// evacuation that holds; it is kept until the operator has had time to write it
// again. State machine without clocks.
class Evacuations {
 public:
  // Each returns what changed. All evacuations in the store as of `revision`.
  std::vector<EvacuationChange> OnSnapshot(
      kernel::Time now,
      std::span<const EvacuationItem> items,
      std::uint64_t era);
  // One was written or taken back; an older revision than known is ignored.
  std::vector<EvacuationChange> OnWritten(const EvacuationItem& item);
  std::vector<EvacuationChange> OnTakenBack(const EvacuationItem& item);
  std::vector<EvacuationChange> OnTick(kernel::Time now);

  bool Contains(std::string_view data_centre) const {
    return m_evacuated.contains(data_centre);
  }
  bool IsEmpty() const { return m_evacuated.empty(); }

 private:
  struct Evacuation {
    std::uint64_t revision = 0;
    // Set if the store's older copy lacks it: when it ends.
    std::optional<kernel::Time> ends_at{};
  };

  std::map<std::string, Evacuation, std::less<>> m_evacuated;
  // Revisions at which evacuations were taken back, in the present era.
  std::map<std::string, std::uint64_t, std::less<>> m_taken_back;
  std::optional<std::uint64_t> m_era{};  // Of the latest snapshot.
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_EVACUATIONS_H_
