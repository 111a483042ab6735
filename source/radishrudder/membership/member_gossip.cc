#include "member_gossip.h"

#include <algorithm>

namespace radishrudder::membership {
namespace {

// Updates are collected for this long, so that simultaneous ones share
// messages.
constexpr kernel::Duration kUpdateCollectionTime =
    std::chrono::milliseconds(20);

}  // namespace

void MemberGossip::Add(kernel::Time now,
                       std::string_view instance,
                       std::string_view source) {
  m_pending_updates[std::string(instance)] = source;
  m_next_send = std::min(m_next_send, now + kUpdateCollectionTime);
}

void MemberGossip::Clear() {
  m_pending_updates.clear();
  m_next_send = kernel::Time::max();
}

void MemberGossip::AppendUpdates(const MemberTable& table,
                                 std::string_view receiver,
                                 wire::HeartbeatBatch& batch) const {
  for (const auto& [instance, source] : m_pending_updates) {
    const Record* record = table.Find(instance);
    const bool is_known_to_receiver =
        source == receiver || instance == receiver;
    const bool is_suspected =
        record != nullptr && record->member.state == State::kSuspected;
    if (record == nullptr || record->member.incarnation == 0 ||
        (is_known_to_receiver && !is_suspected)) {
      continue;
    }
    *batch.add_heartbeats() = MakeHeartbeat(*record, true);
  }
}

void MemberGossip::AppendRoundRobin(const MemberTable& table,
                                    std::size_t count,
                                    wire::HeartbeatBatch& batch) {
  const auto& records = table.Records();
  const std::size_t steps = std::min(count, records.size());
  auto next = records.upper_bound(m_round_robin_position);
  for (std::size_t step = 0; step < steps; ++step) {
    if (next == records.end()) {
      next = records.begin();
    }
    m_round_robin_position = next->first;
    if (next->second.member.incarnation != 0) {
      *batch.add_heartbeats() =
          MakeHeartbeat(next->second, !next->second.is_listed);
    }
    ++next;
  }
}

}  // namespace radishrudder::membership
