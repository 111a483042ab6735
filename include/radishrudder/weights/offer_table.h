#ifndef RADISHRUDDER_WEIGHTS_OFFER_TABLE_H_
#define RADISHRUDDER_WEIGHTS_OFFER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/chunk_bitmap.h"

namespace radishrudder::weights {

// What one neighbour has of a version.
struct Offer {
  ChunkBitmap present;
  ChunkBitmap fetching;        // From outside its data centre.
  kernel::Time rests_until{};  // Not asked before this.
};

// The inventories that others sent for one version.
class OfferTable {
 public:
  // Sets how many chunks the version has; offers of another size count as
  // empty.
  void Reset(std::size_t chunks);
  // Replaces the offer of an instance. Returns whether it has fewer chunks
  // than before or is new.
  bool Set(std::string_view instance, Offer offer);
  void Remove(std::string_view instance);
  Offer* Find(std::string_view instance);
  // Returns how many instances offer a chunk.
  std::uint32_t Copies(std::uint32_t index) const { return m_copies[index]; }
  bool Heard(std::string_view instance) const {
    return m_offers.contains(instance);
  }
  std::vector<std::string> Instances() const;

 private:
  void Fit(Offer& offer) const;
  void Count(const ChunkBitmap& present, std::int32_t change);

  std::size_t m_chunks = 0;
  std::map<std::string, Offer, std::less<>> m_offers;
  std::vector<std::uint32_t> m_copies;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_OFFER_TABLE_H_
