#include "source/radishrudder/http/connection_table.h"

#include <utility>

namespace radishrudder::http {

void ConnectionTable::Add(ConnectionId connection,
                          std::weak_ptr<GoneListener> answer) {
  Shard& shard = ShardOf(connection);
  const std::lock_guard lock(shard.mutex);
  Listeners& listeners = shard.connections[connection];
  std::erase_if(listeners, [](const auto& known) { return known.expired(); });
  listeners.push_back(std::move(answer));
}

void ConnectionTable::Close(ConnectionId connection) {
  Listeners listeners;
  Shard& shard = ShardOf(connection);
  {
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.connections.find(connection);
    if (found == shard.connections.end()) {
      return;
    }
    listeners = std::move(found->second);
    shard.connections.erase(found);
  }
  Tell(listeners);
}

void ConnectionTable::CloseAll() {
  for (Shard& shard : m_shards) {
    std::unordered_map<ConnectionId, Listeners> connections;
    {
      const std::lock_guard lock(shard.mutex);
      connections.swap(shard.connections);
    }
    for (const auto& [connection, listeners] : connections) {
      Tell(listeners);
    }
  }
}

void ConnectionTable::CheckAll() {
  for (Shard& shard : m_shards) {
    Listeners listeners;
    {
      const std::lock_guard lock(shard.mutex);
      for (const auto& [connection, known] : shard.connections) {
        listeners.insert(listeners.end(), known.begin(), known.end());
      }
    }
    for (const auto& listener : listeners) {
      if (const auto answer = listener.lock()) {
        answer->CheckConnection();
      }
    }
  }
}

ConnectionTable::Shard& ConnectionTable::ShardOf(ConnectionId connection) {
  return m_shards[connection % kShards];
}

void ConnectionTable::Tell(const Listeners& listeners) {
  for (const auto& listener : listeners) {
    if (const auto answer = listener.lock()) {
      answer->OnConnectionClosed();
    }
  }
}

}  // namespace radishrudder::http
