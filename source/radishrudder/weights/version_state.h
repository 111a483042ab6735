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

// State of one version's transfer, shared by its components.
struct VersionState {
  std::string digest;  // Text form of the manifest digest.
  kernel::Time started{};
  std::optional<Manifest> manifest;
  bool admitted = false;  // It fits into the staging memory.
  TransferTiming timing{};
  ChunkBitmap present;
  // Missing chunks that arrive with another chunk of the same content.
  ChunkBitmap deferred;
  OfferTable offers;
  RequestTable requests;
  // Rank of this instance for each chunk; see `DutyTable`.
  std::vector<std::uint32_t> ranks;
  // Number of failed upstreams for each chunk, which selects the next one from
  // the list of upstreams.
  std::map<std::uint32_t, std::uint32_t> attempts;
  kernel::Time last_progress{};
  TransferProgress progress;

  bool IsActive() const { return manifest && admitted; }
  bool HasAllChunks() const { return manifest && present.IsFull(); }
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_VERSION_STATE_H_
