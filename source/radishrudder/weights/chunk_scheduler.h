#ifndef SOURCE_RADISHRUDDER_WEIGHTS_CHUNK_SCHEDULER_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_CHUNK_SCHEDULER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "transfer_context.h"
#include "version_state.h"

namespace radishrudder::weights {

// Decides which missing chunk of a version to ask of whom.
class ChunkScheduler {
 public:
  ChunkScheduler(TransferContext& context, VersionState& version)
      : m_context(context), m_version(version) {}

  // Computes the ranks after the version or the peers changed.
  void ComputeRanks();
  void Run(kernel::Time now);
  void OnRefusal(kernel::Time now,
                 const std::string& from,
                 std::uint32_t index,
                 std::chrono::milliseconds retry_after,
                 bool coming);
  void OnFetchFailed(kernel::Time now, std::uint32_t index, Source source);
  // Returns whether the inventories of all neighbours are here, or late.
  bool Settled(kernel::Time now) const;

 private:
  void ExpireRequests(kernel::Time now);
  void OnSilence(kernel::Time now, const Request& request);
  void RunDuties(kernel::Time now);
  bool IsOnDuty(kernel::Time now, std::uint32_t index) const;
  std::vector<std::string> UpstreamsOf(std::uint32_t index) const;
  void AskUpstream(kernel::Time now, std::uint32_t index);
  void FetchOutside(kernel::Time now, std::uint32_t index);
  void RunNeighbours(kernel::Time now);
  bool AskNeighbour(kernel::Time now, const std::string& neighbour);
  void SendRequest(const std::string& to, std::uint32_t index);
  bool FetchesDirectly(std::uint64_t key) const;

  TransferContext& m_context;
  VersionState& m_version;
  // Chunks of low rank in the order in which they are brought in.
  std::vector<std::uint32_t> m_duties;
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_CHUNK_SCHEDULER_H_
