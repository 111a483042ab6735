#ifndef RADISHRUDDER_WEIGHTS_UPLOAD_QUEUE_H_
#define RADISHRUDDER_WEIGHTS_UPLOAD_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/link_budgets.h"

namespace radishrudder::weights {

// A request of a peer for a chunk that is present on this instance.
struct Upload {
  std::string peer;
  std::string region;  // Of the peer; empty for the local region.
  std::string manifest_digest;
  std::uint32_t index = 0;
  kernel::Time queued_at{};
};

// Chunks waiting to be uploaded. Chunks sent least often go first, so that each
// chunk is soon present on a second instance; ties are broken by arrival order.
class UploadQueue {
 public:
  // Returns false if the queue or the peer's share of it is full. Ignores an
  // upload that is already queued or was sent recently, and returns true.
  bool Add(Upload upload);
  // Removes and returns the next upload that the budgets allow.
  std::optional<Upload> Take(kernel::Time now, LinkBudgets& budgets);
  // Removes uploads within the region that were queued before `limit`: their
  // receivers have requested the chunks from other instances.
  void DiscardQueuedBefore(kernel::Time limit);
  void RemovePeer(std::string_view peer);
  void RemoveVersion(std::string_view manifest_digest);
  bool Empty() const { return m_queue.empty(); }
  std::size_t Size() const { return m_queue.size(); }

 private:
  struct Sent {
    std::string peer;
    std::string manifest_digest;
    std::uint32_t index = 0;
    kernel::Time time{};
  };

  bool WasSentRecently(const Upload& upload) const;
  std::uint32_t SentCount(const Upload& upload) const;

  std::vector<Upload> m_queue;
  std::deque<Sent> m_recent;  // Oldest first.
  // Number of times that each chunk of a version was sent to each region.
  using SentCounts =
      std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>;
  std::map<std::string, SentCounts, std::less<>> m_sent;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_UPLOAD_QUEUE_H_
