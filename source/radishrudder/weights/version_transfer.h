#ifndef SOURCE_RADISHRUDDER_WEIGHTS_VERSION_TRANSFER_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_VERSION_TRANSFER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "chunk_scheduler.h"
#include "file_verifier.h"
#include "manifest_search.h"
#include "transfer_context.h"
#include "version_state.h"

namespace radishrudder::weights {

// Downloads one version to this instance and uploads its chunks to others.
class VersionTransfer {
 public:
  VersionTransfer(TransferContext& context,
                  std::string digest,
                  kernel::Time now);
  VersionTransfer(const VersionTransfer&) = delete;
  VersionTransfer& operator=(const VersionTransfer&) = delete;

  VersionState& State() { return m_version; }
  const VersionState& State() const { return m_version; }

  // Starts requesting chunks. Called once the version fits into the staging
  // memory.
  void Admit(kernel::Time now);
  void OnPeersChanged(kernel::Time now);
  void OnManifestText(kernel::Time now, std::string_view text);
  void OnManifestFetched(kernel::Time now,
                         Source source,
                         std::string_view text);
  void OnManifestRequest(const std::string& from);
  void OnInventory(kernel::Time now,
                   const std::string& from,
                   const wire::ChunkInventory& inventory);
  void OnChunkRequest(kernel::Time now,
                      const std::string& from,
                      std::uint32_t index);
  void OnChunkRefusal(kernel::Time now,
                      const std::string& from,
                      const wire::ChunkRefusal& refusal);
  void OnChunkFetched(kernel::Time now,
                      std::uint32_t index,
                      Source source,
                      std::string bytes);
  void OnChunkData(kernel::Time now,
                   const std::string& from,
                   std::uint32_t index,
                   std::string bytes);
  // Performs due requests, inventories and verification.
  void Run(kernel::Time now);
  kernel::Time NextRun(kernel::Time now) const;
  // Marks deferred chunks with `digest` as present after that chunk was stored
  // for another index or version.
  void MarkDeferredPresent(kernel::Time now, const Digest& digest);

 private:
  void MarkStoredChunks(kernel::Time now);
  // Returns whether the chunk was missing and matches its digest.
  bool StoreChunk(kernel::Time now,
                  const std::string& sender,
                  std::uint32_t index,
                  std::string bytes);
  void MarkPresent(kernel::Time now, std::uint32_t index);
  void QueueUpload(kernel::Time now,
                   const std::string& peer,
                   std::uint32_t index);
  void Refuse(const std::string& peer,
              std::uint32_t index,
              std::chrono::milliseconds retry_after,
              bool coming = false);
  void SendInventory(const std::string& to);
  void SendDueInventories(kernel::Time now);
  void SendManifest(const std::string& to);
  void AdvanceFileVerification();

  TransferContext& m_context;
  VersionState m_version;
  ChunkScheduler m_scheduler;
  ManifestSearch m_manifest_search;
  FileVerifier m_file_verifier;
  bool m_mismatch_reported = false;
  // Peers to which a missing chunk is sent as soon as it arrives, by index.
  std::map<std::uint32_t, std::set<std::string>> m_waiting_peers;
  std::size_t m_waiting_count = 0;
  bool m_inventory_changed = true;  // Since the last inventory sent.
  kernel::Time m_next_inventory{};
  kernel::Time m_next_refresh{};
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_VERSION_TRANSFER_H_
