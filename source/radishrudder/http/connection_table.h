#ifndef RADISHRUDDER_SOURCE_HTTP_CONNECTION_TABLE_H_
#define RADISHRUDDER_SOURCE_HTTP_CONNECTION_TABLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace radishrudder::http {

// Learns that the peer of a connection has gone.
class GoneListener {
 public:
  virtual ~GoneListener() = default;
  virtual void OnConnectionClosed() = 0;
  // Looks whether the peer has ended the connection.
  virtual void CheckConnection() = 0;
};

// Unfinished answers by connection. Thread-safe: connections are spread over
// shards, each under its own lock.
class ConnectionTable {
 public:
  using ConnectionId = std::uint64_t;

  // Records that an answer on this connection has begun. Answers that no
  // longer exist are forgotten.
  void Add(ConnectionId connection, std::weak_ptr<GoneListener> answer);
  // Forgets a connection and tells its answers.
  void Close(ConnectionId connection);
  // Does so for every connection.
  void CloseAll();
  // Lets each unfinished answer look for the end of its connection.
  void CheckAll();

 private:
  using Listeners = std::vector<std::weak_ptr<GoneListener>>;
  struct Shard {
    std::mutex mutex;
    std::unordered_map<ConnectionId, Listeners> connections;
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(ConnectionId connection);
  static void Tell(const Listeners& listeners);

  std::array<Shard, kShards> m_shards;
};

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_SOURCE_HTTP_CONNECTION_TABLE_H_
