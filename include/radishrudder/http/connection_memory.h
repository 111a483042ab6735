#ifndef RADISHRUDDER_HTTP_CONNECTION_MEMORY_H_
#define RADISHRUDDER_HTTP_CONNECTION_MEMORY_H_

#include <cstddef>
#include <memory>

namespace radishrudder::http {

// The memory that the callers of one or more servers may hold together. Servers
// of one process share it. Thread-safe.
class ConnectionMemory {
 public:
  explicit ConnectionMemory(std::size_t limit_bytes);
  ~ConnectionMemory();
  ConnectionMemory(const ConnectionMemory&) = delete;
  ConnectionMemory& operator=(const ConnectionMemory&) = delete;

  std::size_t BytesHeld() const;

  struct State;
  State& Internals() { return *m_state; }

 private:
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::http

#endif  // RADISHRUDDER_HTTP_CONNECTION_MEMORY_H_
