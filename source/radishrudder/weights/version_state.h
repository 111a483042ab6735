#ifndef SOURCE_RADISHRUDDER_WEIGHTS_VERSION_STATE_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_VERSION_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/weights/chunk_bitmap.h"
#include "radishrudder/weights/manifest.h"
#include "radishrudder/weights/offer_table.h"
#include "radishrudder/weights/request_table.h"
#include "transfer_context.h"

namespace radishrudder::weights {

// Transfer of one version as its parts see it.
struct VersionState {
  std::string digest;  // Of the manifest, as text.
  kernel::Time started{};
  std::optional<Manifest> manifest;
  bool admitted = false;  // Its bytes fit into the staging memory.
  TransferTiming timing{};
  ChunkBitmap present;
  // Chunks that come with another chunk of the same bytes.
  ChunkBitmap deferred;
  OfferTable offers;
  RequestTable requests;
  // Rank of this instance in the duty order of each chunk.
  std::vector<std::uint32_t> ranks;
  // Positions in the list of upstreams, for chunks whose first did not answer.
  std::map<std::uint32_t, std::uint32_t> attempts;
  kernel::Time last_progress{};
  TransferProgress progress;

  bool Active() const { return manifest && admitted; }
  bool AllPresent() const { return manifest && present.Full(); }
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_VERSION_STATE_H_
