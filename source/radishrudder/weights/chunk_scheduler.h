#ifndef SOURCE_RADISHRUDDER_WEIGHTS_CHUNK_SCHEDULER_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_CHUNK_SCHEDULER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "transfer_context.h"
#include "version_state.h"

namespace radishrudder::weights {

// Decides which missing chunks of a version to request and from which instance
// or source.
class ChunkScheduler {
 public:
  ChunkScheduler(TransferContext& context, VersionState& version)
      : m_context(context), m_version(version) {}

  // Computes the local ranks for all chunks. Must be called after the manifest
  // arrives and after the peers change.
  void ComputeRanks();
  void Run(kernel::Time now);
  void OnRefusal(kernel::Time now,
                 const std::string& from,
                 std::uint32_t index,
                 std::chrono::milliseconds retry_after,
                 bool coming);
  void OnFetchFailed(kernel::Time now, std::uint32_t index, Source source);
  // Returns whether all neighbours have sent an inventory, or the time to wait
  // for them has passed.
  bool HasNeighbourInventories(kernel::Time now) const;

 private:
  void ExpireRequests(kernel::Time now);
  void OnTimeout(kernel::Time now, const Request& request);
  void RequestDutyChunks(kernel::Time now);
  bool IsOnDuty(kernel::Time now, std::uint32_t index) const;
  std::vector<std::string> ListUpstreams(std::uint32_t index) const;
  void RequestFromUpstream(kernel::Time now, std::uint32_t index);
  void FetchFromSource(kernel::Time now, std::uint32_t index);
  void RequestFromNeighbours(kernel::Time now);
  bool RequestFromNeighbour(kernel::Time now, const std::string& neighbour);
  void SendRequest(const std::string& to, std::uint32_t index);
  bool FetchesDirectly(std::uint64_t key) const;

  TransferContext& m_context;
  VersionState& m_version;
  // Chunks for which this instance has a low rank, in request order.
  std::vector<std::uint32_t> m_duties;
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_CHUNK_SCHEDULER_H_
