#ifndef RADISHRUDDER_TESTS_STANDINS_RUNNING_STAND_IN_H_
#define RADISHRUDDER_TESTS_STANDINS_RUNNING_STAND_IN_H_

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "radishrudder/http/client.h"
#include "radishrudder/http/server.h"
#include "scheduler.h"
#include "stand_in.h"

namespace radishrudder::standin {

// A stand-in behind a server on a free port, and a client for it.
template <typename Kind>
class RunningStandIn {
 public:
  template <typename... Arguments>
  explicit RunningStandIn(Arguments&&... arguments)
      : m_stand_in(m_scheduler, std::forward<Arguments>(arguments)...),
        m_server({},
                 [this](const http::Request& request,
                        const ResponderPointer& responder) {
                   m_stand_in.Handle(request, responder);
                 }) {
    EXPECT_FALSE(m_server.Start());
  }
  ~RunningStandIn() { m_server.Stop(); }
  RunningStandIn(const RunningStandIn&) = delete;
  RunningStandIn& operator=(const RunningStandIn&) = delete;

  http::ClientRequest Make(std::string method,
                           const std::string& path,
                           std::string body = "") const {
    return {.method = std::move(method),
            .url = "http://127.0.0.1:" + std::to_string(m_server.Port()) + path,
            .body = std::move(body)};
  }
  http::WholeAnswer Call(std::string method,
                         const std::string& path,
                         std::string body = "") {
    return m_client.FetchNow(Make(std::move(method), path, std::move(body)));
  }
  nlohmann::json Get(const std::string& path) {
    return nlohmann::json::parse(Call("GET", path).body);
  }
  http::Client& Client() { return m_client; }

 private:
  Scheduler m_scheduler;
  Kind m_stand_in;
  http::Server m_server;
  http::Client m_client;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_TESTS_STANDINS_RUNNING_STAND_IN_H_
