#ifndef RADISHRUDDER_SOURCE_MEMBERSHIP_NEWS_H_
#define RADISHRUDDER_SOURCE_MEMBERSHIP_NEWS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "member_table.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::membership {

// Members whose facts changed and that the neighbours have yet to hear of,
// and the slow walk over all members that mends lost news.
class News {
 public:
  // Adds news of a member that came from `source` (empty: noticed here).
  void Add(kernel::Time now,
           std::string_view instance,
           std::string_view source);
  bool Empty() const { return m_sources.empty(); }
  // Returns when the news collected are to be sent.
  kernel::Time Due() const { return m_due; }
  void Clear();

  // Adds to `batch` all news that did not come from `receiver`.
  void AppendNews(const MemberTable& table,
                  std::string_view receiver,
                  wire::HeartbeatBatch& batch) const;
  // Adds the next `count` members of the walk to `batch`.
  void AppendWalk(const MemberTable& table,
                  std::size_t count,
                  wire::HeartbeatBatch& batch);

 private:
  std::map<std::string, std::string, std::less<>> m_sources;
  kernel::Time m_due = kernel::Time::max();
  std::string m_walk;  // Name that the walk reached.
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_SOURCE_MEMBERSHIP_NEWS_H_
