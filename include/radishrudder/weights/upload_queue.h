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

// A chunk that a peer asked for and that is present here.
struct Upload {
  std::string peer;
  std::string region;  // Of the peer; empty if it is this one.
  std::string manifest_digest;
  std::uint32_t index = 0;
  kernel::Time queued{};
};

// Chunks waiting for the upload link. Those sent least often go first, so that
// each chunk soon has a second holder; equal ones in order of arrival.
class UploadQueue {
 public:
  // Returns false if the queue or the peer's part of it is full. An upload
  // that is already queued, or was sent a moment ago, stays as it is.
  bool Add(Upload upload);
  // Removes and returns the next upload that the budgets let go.
  std::optional<Upload> Take(kernel::Time now, LinkBudgets& budgets);
  // Drops what was queued before `limit`: the receiver has asked elsewhere.
  void DropBefore(kernel::Time limit);
  void DropPeer(std::string_view peer);
  void DropVersion(std::string_view manifest_digest);
  bool Empty() const { return m_queue.empty(); }
  std::size_t Size() const { return m_queue.size(); }

 private:
  struct Sent {
    std::string peer;
    std::string manifest_digest;
    std::uint32_t index = 0;
    kernel::Time time{};
  };

  bool WasJustSent(const Upload& upload) const;
  std::uint32_t SentOf(const Upload& upload) const;

  std::vector<Upload> m_queue;
  std::deque<Sent> m_recent;  // The oldest first.
  // Times sent, for each chunk of a version and region it went to.
  using SentCounts =
      std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>;
  std::map<std::string, SentCounts, std::less<>> m_sent;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_UPLOAD_QUEUE_H_
