#ifndef SOURCE_RADISHRUDDER_WEIGHTS_VERSION_TRANSFER_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_VERSION_TRANSFER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "chunk_scheduler.h"
#include "manifest_search.h"
#include "transfer_context.h"
#include "version_state.h"
#include "whole_check.h"

namespace radishrudder::weights {

// Brings one version to this instance and gives its chunks to others.
class VersionTransfer {
 public:
  VersionTransfer(TransferContext& context,
                  std::string digest,
                  kernel::Time now);
  VersionTransfer(const VersionTransfer&) = delete;
  VersionTransfer& operator=(const VersionTransfer&) = delete;

  VersionState& State() { return m_version; }
  const VersionState& State() const { return m_version; }

  // The staging memory has room for this version.
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
  // Does what time asks for: requests, inventories, verification.
  void Run(kernel::Time now);
  kernel::Time NextRun(kernel::Time now) const;
  // A chunk with that digest came in for another place or version.
  void MarkDeferred(kernel::Time now, const Digest& digest);

 private:
  void MarkShared(kernel::Time now);
  // Returns whether the chunk was new and right.
  bool Store(kernel::Time now,
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
  void Announce(kernel::Time now);
  void SendManifest(const std::string& to);
  void AdvanceWholeCheck();

  TransferContext& m_context;
  VersionState m_version;
  ChunkScheduler m_scheduler;
  ManifestSearch m_search;
  WholeCheck m_whole;
  bool m_reported_wrong = false;
  // Peers to which a chunk goes as soon as it is here.
  std::map<std::uint32_t, std::set<std::string>> m_waiting;
  std::size_t m_waiting_count = 0;
  bool m_changed = true;  // Since the last inventory.
  kernel::Time m_next_inventory{};
  kernel::Time m_next_refresh{};
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_VERSION_TRANSFER_H_
