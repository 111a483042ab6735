#ifndef MEASURE_SPREAD_WORLD_H_
#define MEASURE_SPREAD_WORLD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "options.h"
#include "radishrudder/kernel/token_bucket.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::measure {

// Index of an instance; the number of instances stands for the origin.
using NodeIndex = std::uint32_t;

// What the threads of one run share: the weights, the places of the instances,
// the links between regions and the counters.
class World {
 public:
  explicit World(SpreadOptions options);

  const SpreadOptions& Options() const { return m_options; }
  const weights::Manifest& Manifest() const { return m_manifest; }
  const std::string& Digest() const { return m_digest; }
  std::string_view ChunkOf(std::uint32_t index) const;
  NodeIndex Origin() const { return m_options.instances; }
  std::uint32_t RegionOf(NodeIndex node) const;
  std::string NameOf(NodeIndex node) const;
  NodeIndex Find(std::string_view name) const;
  std::vector<weights::TransferPeer> Peers() const;

  // Charges the link between two regions; returns when the bytes are through.
  kernel::Time CrossRegions(kernel::Time now,
                            std::uint32_t from,
                            std::uint32_t to,
                            std::size_t bytes);
  // Kills a share of the instances, chosen by the seed.
  void KillSome();
  bool IsDead(NodeIndex node) const { return m_dead[node]; }
  // Records how many chunks an instance has.
  void OnProgress(NodeIndex node, std::uint32_t chunks) {
    m_present[node] = chunks;
  }
  // Returns the mean share of the weights on the live instances of each region.
  std::vector<double> Progress() const;
  // Records that an instance has the version, with these bytes or others.
  void OnComplete(kernel::Time now, NodeIndex node, bool right);
  bool AllComplete() const {
    return m_complete + m_killed >= m_dead.size() - 1;
  }
  std::uint32_t Complete() const { return m_complete; }
  kernel::Time LastComplete() const;
  double MaximumRegionCopies() const;

  std::atomic<std::uint64_t> origin_bytes = 0;
  std::atomic<std::uint64_t> duplicate_bytes = 0;
  std::atomic<std::uint64_t> control_messages = 0;
  std::atomic<std::uint64_t> control_bytes = 0;
  std::atomic<std::uint64_t> chunk_messages = 0;
  std::atomic<std::uint32_t> wrong_loads = 0;
  // How late the threads were for their events: shows a machine too busy.
  std::atomic<std::uint64_t> events = 0;
  std::atomic<std::uint64_t> late_microseconds = 0;
  std::atomic<std::uint64_t> late_events = 0;  // By more than 20 ms.

 private:
  SpreadOptions m_options;
  std::string m_bytes;
  weights::Manifest m_manifest;
  std::string m_digest;
  std::map<std::string, NodeIndex, std::less<>> m_names;
  std::vector<std::atomic<bool>> m_dead;
  std::vector<std::atomic<bool>> m_done;
  std::vector<std::atomic<std::uint32_t>> m_present;
  std::atomic<std::uint32_t> m_killed = 0;
  std::atomic<std::uint32_t> m_complete = 0;
  mutable std::mutex m_mutex;
  kernel::Time m_last_complete{};
  std::map<std::pair<std::uint32_t, std::uint32_t>, kernel::TokenBucket>
      m_links;
  std::map<std::uint32_t, std::uint64_t> m_bytes_into;  // By region.
};

}  // namespace radishrudder::measure

#endif  // MEASURE_SPREAD_WORLD_H_
