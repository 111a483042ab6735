#include "news.h"

#include <algorithm>

namespace radishrudder::membership {
namespace {

// News are collected for this long, so that many at once share messages.
constexpr kernel::Duration kCollectTime = std::chrono::milliseconds(20);

}  // namespace

void News::Add(kernel::Time now,
               std::string_view instance,
               std::string_view source) {
  m_sources[std::string(instance)] = source;
  m_due = std::min(m_due, now + kCollectTime);
}

void News::Clear() {
  m_sources.clear();
  m_due = kernel::Time::max();
}

void News::AppendNews(const MemberTable& table,
                      std::string_view receiver,
                      wire::HeartbeatBatch& batch) const {
  for (const auto& [instance, source] : m_sources) {
    const Record* record = table.Find(instance);
    const bool told = source == receiver || instance == receiver;
    const bool suspected =
        record != nullptr && record->member.state == State::kSuspected;
    if (record == nullptr || record->member.incarnation == 0 ||
        (told && !suspected)) {
      continue;
    }
    *batch.add_heartbeats() = Describe(*record, true);
  }
}

void News::AppendWalk(const MemberTable& table,
                      std::size_t count,
                      wire::HeartbeatBatch& batch) {
  const auto& records = table.Records();
  const std::size_t steps = std::min(count, records.size());
  auto next = records.upper_bound(m_walk);
  for (std::size_t step = 0; step < steps; ++step) {
    if (next == records.end()) {
      next = records.begin();
    }
    m_walk = next->first;
    if (next->second.member.incarnation != 0) {
      *batch.add_heartbeats() = Describe(next->second, !next->second.listed);
    }
    ++next;
  }
}

}  // namespace radishrudder::membership
