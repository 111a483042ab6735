#include "radishrudder/weights/upload_queue.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

constexpr std::size_t kMaximumQueuedUploads = 512;
constexpr std::ptrdiff_t kMaximumQueuedPerPeer = 64;
// Maximum time that a sent chunk is assumed to be in transit. A repeated
// request within this time does not send it again.
constexpr std::chrono::milliseconds kTransitTime(1500);

}  // namespace

bool UploadQueue::Add(Upload upload) {
  const bool known = std::any_of(
      m_queue.begin(), m_queue.end(), [&upload](const Upload& item) {
        return item.index == upload.index && item.peer == upload.peer &&
               item.manifest_digest == upload.manifest_digest;
      });
  if (known || WasSentRecently(upload)) {
    return true;
  }
  const auto of_peer = std::count_if(
      m_queue.begin(), m_queue.end(),
      [&upload](const Upload& item) { return item.peer == upload.peer; });
  if (m_queue.size() >= kMaximumQueuedUploads ||
      of_peer >= kMaximumQueuedPerPeer) {
    return false;
  }
  m_queue.push_back(std::move(upload));
  return true;
}

bool UploadQueue::WasSentRecently(const Upload& upload) const {
  return std::any_of(
      m_recent.begin(), m_recent.end(), [&upload](const Sent& item) {
        return item.index == upload.index && item.peer == upload.peer &&
               item.manifest_digest == upload.manifest_digest &&
               upload.queued_at < item.time + kTransitTime;
      });
}

std::uint32_t UploadQueue::SentCount(const Upload& upload) const {
  const auto version = m_sent.find(upload.manifest_digest);
  if (version == m_sent.end()) {
    return 0;
  }
  const auto chunk = version->second.find({upload.region, upload.index});
  return chunk == version->second.end() ? 0 : chunk->second;
}

std::optional<Upload> UploadQueue::Take(kernel::Time now,
                                        LinkBudgets& budgets) {
  auto best = m_queue.end();
  std::uint32_t best_sent = 0;
  for (auto item = m_queue.begin(); item != m_queue.end(); ++item) {
    const std::uint32_t sent = SentCount(*item);
    if ((best == m_queue.end() || sent < best_sent) &&
        budgets.CanUpload(now, item->region)) {
      best = item;
      best_sent = sent;
    }
  }
  if (best == m_queue.end()) {
    return std::nullopt;
  }
  Upload upload = std::move(*best);
  m_queue.erase(best);
  ++m_sent[upload.manifest_digest][{upload.region, upload.index}];
  while (!m_recent.empty() && m_recent.front().time + kTransitTime <= now) {
    m_recent.pop_front();
  }
  m_recent.push_back({upload.peer, upload.manifest_digest, upload.index, now});
  return upload;
}

void UploadQueue::DiscardQueuedBefore(kernel::Time limit) {
  std::erase_if(m_queue, [limit](const Upload& item) {
    return item.region.empty() && item.queued_at < limit;
  });
}

void UploadQueue::RemovePeer(std::string_view peer) {
  std::erase_if(m_queue,
                [peer](const Upload& item) { return item.peer == peer; });
}

void UploadQueue::RemoveVersion(std::string_view manifest_digest) {
  std::erase_if(m_queue, [manifest_digest](const Upload& item) {
    return item.manifest_digest == manifest_digest;
  });
  const auto found = m_sent.find(manifest_digest);
  if (found != m_sent.end()) {
    m_sent.erase(found);
  }
}

}  // namespace radishrudder::weights
