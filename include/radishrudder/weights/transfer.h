#ifndef RADISHRUDDER_WEIGHTS_TRANSFER_H_
#define RADISHRUDDER_WEIGHTS_TRANSFER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/manifest.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::weights {

// An instance of the same service with which chunks are exchanged.
struct TransferPeer {
  std::string instance;
  std::string data_centre;
  std::string region;
  bool alive = true;

  bool operator==(const TransferPeer&) const = default;
};

// Source of manifests and chunks outside the instances.
enum class Source { kOrigin, kStore };

// Requests the manifest text of a version from a source.
struct FetchManifest {
  std::string manifest_digest;
  Source source = Source::kOrigin;
};

// Requests a byte range of a version's file from a source.
struct FetchChunk {
  std::string manifest_digest;
  std::uint32_t index = 0;
  std::string file;
  std::uint64_t offset = 0;
  std::uint32_t size = 0;
  Source source = Source::kOrigin;
};

// All chunks and the complete file are verified; the version may be loaded.
struct VersionComplete {
  std::string manifest_digest;
};

// A chunk, or the complete file, does not match its digest.
struct ChunkRejected {
  std::string manifest_digest;
  std::uint32_t index = 0;  // The number of chunks for the complete file.
  // An instance, "origin" or "store"; "manifest" for the complete file.
  std::string sender;
};

using TransferOutput = std::variant<wire::Send,
                                    FetchManifest,
                                    FetchChunk,
                                    VersionComplete,
                                    ChunkRejected>;

struct TransferSettings {
  wire::ProcessKey self;
  std::string data_centre;
  std::string region;
  std::string store_region;            // Region of the origin and store.
  double origin_bytes_per_second = 0;  // 0: no limit.
  double region_link_bytes_per_second = 2'500'000;
  double instance_link_bytes_per_second = 0;
  std::uint32_t neighbours = 6;
  std::string selector = "rarest-first";
  double speed = 0.5;  // From 0 (fewest origin bytes) to 1 (shortest time).
  std::uint64_t maximum_staged_bytes = 2ULL << 30U;
  // Factor for all request and stall timeouts. 1 suits versions that have
  // minutes to spread.
  double timeout_factor = 1;
  // Whether the store is used when the origin fails.
  bool has_store = true;
  // Maximum backoff, before jitter, of a source that fails repeatedly.
  kernel::Duration maximum_source_backoff = std::chrono::seconds(16);
  // Minimum interval between two inventories to the same neighbours after a
  // change.
  kernel::Duration inventory_interval = std::chrono::milliseconds(60);
  // Maximum number of requests in progress to one neighbour.
  std::uint32_t maximum_requests_per_neighbour = 2;
  // Whether a region may receive a chunk from any region before it in the
  // region chain; otherwise only from the store's region.
  bool relay_regions = true;
  // Whether a requested chunk that is not present yet is sent as soon as it
  // arrives; otherwise the requester has to request it again.
  bool push_duties = true;
};

// Transfer progress of one version on this instance.
struct TransferProgress {
  std::uint32_t chunks_present = 0;
  std::uint32_t chunks_total = 0;  // 0: manifest not yet known.
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  std::uint64_t duplicate_bytes = 0;  // Of chunks that were present already.
  bool complete = false;
};

// Downloads weight versions to this instance and exchanges their chunks with
// its peers. The state machine uses no sockets, threads or clocks.
class Transfer {
 public:
  Transfer(TransferSettings settings, kernel::Random random, kernel::Time now);
  ~Transfer();

  // Sets the versions to transfer, most urgent first. Discards all others.
  void SetWantedVersions(kernel::Time now,
                         std::vector<std::string> manifest_digests);
  void OnPeers(kernel::Time now, std::vector<TransferPeer> peers);
  // Results of `FetchManifest` and `FetchChunk`; empty bytes mean failure.
  void OnManifestFetched(kernel::Time now,
                         std::string_view manifest_digest,
                         Source source,
                         std::string text);
  void OnChunkFetched(kernel::Time now,
                      std::string_view manifest_digest,
                      std::uint32_t index,
                      Source source,
                      std::string bytes);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<TransferOutput> TakeOutputs();

  // Sets the share of the links, from 0 to 1, that transfers leave to calls.
  void SetCallPressure(double pressure);
  // Sets the service document's preference from 0 (fewest origin bytes) to 1
  // (shortest time). Timeouts of a version whose manifest is already known keep
  // the previous value.
  void SetSpeed(double speed);

  TransferProgress Progress(std::string_view manifest_digest) const;
  // Returns the verified manifest, or null.
  const Manifest* FindManifest(std::string_view manifest_digest) const;
  // Returns the bytes of a verified chunk, or an empty view.
  std::string_view ChunkBytes(std::string_view manifest_digest,
                              std::uint32_t index) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_TRANSFER_H_
