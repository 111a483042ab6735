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

// Another instance of the same service that exchanges chunks.
struct TransferPeer {
  std::string instance;
  std::string data_centre;
  std::string region;
  bool alive = true;

  bool operator==(const TransferPeer&) const = default;
};

// Where bytes from outside the fleet come from.
enum class Source { kOrigin, kStore };

// Fetch the manifest text of a version from a source.
struct FetchManifest {
  std::string manifest_digest;
  Source source = Source::kOrigin;
};

// Fetch a range of a version's file from a source.
struct FetchChunk {
  std::string manifest_digest;
  std::uint32_t index = 0;
  std::string file;
  std::uint64_t offset = 0;
  std::uint32_t size = 0;
  Source source = Source::kOrigin;
};

// Every chunk and the whole file were verified; orders to load may follow.
struct VersionComplete {
  std::string manifest_digest;
};

// A chunk failed its digest.
struct ChunkRejected {
  std::string manifest_digest;
  std::uint32_t index = 0;
  std::string sender;  // Instance, or "origin" or "store".
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
  std::string store_region;            // Region of the origin and the store.
  double origin_bytes_per_second = 0;  // 0: no limit.
  double region_link_bytes_per_second = 2'500'000;
  double instance_link_bytes_per_second = 0;
  std::uint32_t neighbours = 6;
  std::string selector = "rarest-first";
  double speed = 0.5;  // From the document: 0 origin bytes, 1 time.
  std::uint64_t maximum_staged_bytes = 2ULL << 30U;
  // Factor of the times after which silence counts as failure: 1 suits
  // versions that have minutes to spread.
  double patience = 1;
  // Whether the store stands in for the origin.
  bool has_store = true;
  // Longest rest of a source that fails again and again.
  kernel::Duration longest_source_rest = std::chrono::seconds(16);
  // Time between two inventories to the same neighbours.
  kernel::Duration inventory_interval = std::chrono::milliseconds(60);
  // Requests in progress to one neighbour.
  std::uint32_t requests_per_neighbour = 2;
  // Whether a region may take a chunk from the region before it in the chain,
  // or each only from the store's region.
  bool relay_regions = true;
  // Whether a chunk goes to those on duty as soon as it is here, or when they
  // ask again.
  bool push_duties = true;
};

// How far one version has come here.
struct TransferProgress {
  std::uint32_t chunks_present = 0;
  std::uint32_t chunks_total = 0;  // 0: manifest not yet known.
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  std::uint64_t duplicate_bytes = 0;  // Of chunks that were present already.
  bool complete = false;
};

// Brings versions of weights to this instance together with its peers. State
// machine without sockets, threads or clocks.
class Transfer {
 public:
  Transfer(TransferSettings settings, kernel::Random random, kernel::Time now);
  ~Transfer();

  // Versions wanted here, the most urgent first; others are dropped.
  void Want(kernel::Time now, std::vector<std::string> manifest_digests);
  void OnPeers(kernel::Time now, std::vector<TransferPeer> peers);
  // Results of `FetchManifest` and `FetchChunk`; empty bytes are a failure.
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

  // Live calls need the links: transfers give way in this proportion (0..1).
  void SetCallPressure(double pressure);
  // The document's weight of time against origin bytes, 0 to 1, for versions
  // that are wanted from now on.
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
