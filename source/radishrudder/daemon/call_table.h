#ifndef RADISHRUDDER_DAEMON_CALL_TABLE_H_
#define RADISHRUDDER_DAEMON_CALL_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "radishrudder/calls/outcome.h"
#include "radishrudder/http/server.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::daemon {

// A caller that waits for its answer.
struct Caller {
  std::shared_ptr<http::Responder> responder;
  std::string service;
  std::string workspace;
  kernel::Time began{};
  bool answer_started = false;
  bool event_stream = false;  // The answer is of server-sent events.
  bool part_seen = false;
};

// The callers of one shard, under their own lock.
class CallTable {
 public:
  void Add(calls::CallId call, Caller caller) {
    const std::lock_guard lock(m_mutex);
    m_callers.emplace(call, std::make_shared<Caller>(std::move(caller)));
  }

  // Returns the caller, or null if it has gone.
  std::shared_ptr<Caller> Find(calls::CallId call) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_callers.find(call);
    return found == m_callers.end() ? nullptr : found->second;
  }

  // Removes and returns the caller, or null if it has gone.
  std::shared_ptr<Caller> Take(calls::CallId call) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_callers.find(call);
    if (found == m_callers.end()) {
      return nullptr;
    }
    std::shared_ptr<Caller> caller = std::move(found->second);
    m_callers.erase(found);
    return caller;
  }

 private:
  mutable std::mutex m_mutex;
  std::map<calls::CallId, std::shared_ptr<Caller>> m_callers;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_CALL_TABLE_H_
