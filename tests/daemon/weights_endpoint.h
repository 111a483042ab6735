#ifndef RADISHRUDDER_TESTS_DAEMON_WEIGHTS_ENDPOINT_H_
#define RADISHRUDDER_TESTS_DAEMON_WEIGHTS_ENDPOINT_H_

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "engine_weights.h"
#include "radishrudder/http/server.h"

namespace radishrudder::daemon {

// An endpoint on a free port that checks what it is handed and loads on order.
// As the stand-in's engine does, it keeps only the version that it loads.
class WeightsEndpoint {
 public:
  WeightsEndpoint()
      : m_server({},
                 [this](const http::Request& request,
                        const std::shared_ptr<http::Responder>& responder) {
                   const std::lock_guard lock(m_mutex);
                   Answer(request, *responder);
                 }) {
    EXPECT_FALSE(m_server.Start());
  }
  ~WeightsEndpoint() { m_server.Stop(); }
  WeightsEndpoint(const WeightsEndpoint&) = delete;
  WeightsEndpoint& operator=(const WeightsEndpoint&) = delete;

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_server.Port());
  }
  // Loses what it was handed, as a new process does.
  void Restart() {
    const std::lock_guard lock(m_mutex);
    LoseAll();
  }
  // Does so once it has taken the next chunk.
  void RestartAfterNextChunk() {
    const std::lock_guard lock(m_mutex);
    m_restart_after_chunk = true;
  }
  // Breaks the connection of the next order and keeps the order.
  void HoldNextOrder() {
    const std::lock_guard lock(m_mutex);
    m_hold_next_order = true;
  }
  // Executes the order that was held.
  void ExecuteHeldOrder() {
    const std::lock_guard lock(m_mutex);
    EXPECT_FALSE(m_weights.Verify(m_held_order));
    Load(m_held_order);
  }
  // Answers each order with this status and does nothing else.
  void AnswerOrdersWith(int status) {
    const std::lock_guard lock(m_mutex);
    m_order_status = status;
  }
  std::string Running() const {
    const std::lock_guard lock(m_mutex);
    return m_running;
  }
  int ChunkCount() const {
    const std::lock_guard lock(m_mutex);
    return m_chunk_count;
  }

  int OrderCount() const {
    const std::lock_guard lock(m_mutex);
    return m_order_count;
  }

 private:
  void Answer(const http::Request& request, http::Responder& responder) {
    if (request.path == "/v1/orders") {
      AnswerOrder(nlohmann::json::parse(request.body).at("manifest_digest"),
                  responder);
      return;
    }
    // "/v1/weights/DIGEST/manifest" or "/v1/weights/DIGEST/chunks/INDEX"
    const std::string path = request.path.substr(sizeof("/v1/weights/") - 1);
    const std::string digest = path.substr(0, path.find('/'));
    const bool is_manifest = path.ends_with("/manifest");
    m_chunk_count += is_manifest ? 0 : 1;
    const auto problem =
        is_manifest ? m_weights.PutManifest(digest, request.body)
                    : m_weights.PutChunk(
                          digest, std::stoul(path.substr(path.rfind('/') + 1)),
                          request.body);
    if (!is_manifest && std::exchange(m_restart_after_chunk, false)) {
      LoseAll();
    }
    responder.Reply(problem ? 422 : 204, {}, problem.value_or(""));
  }

  void AnswerOrder(const std::string& digest, http::Responder& responder) {
    ++m_order_count;
    if (m_order_status != 0) {
      responder.Reply(m_order_status, {}, "");
    } else if (std::exchange(m_hold_next_order, false)) {
      m_held_order = digest;
      responder.Abort();
    } else if (const auto problem = m_weights.Verify(digest)) {
      responder.Reply(422, {}, *problem);
    } else {
      Load(digest);
      responder.Reply(200, {}, "{}");
    }
  }

  void LoseAll() {
    m_weights = {};
    m_running.clear();
  }

  void Load(const std::string& digest) {
    m_running = digest;
    m_weights.KeepOnly(digest);
  }

  mutable std::mutex m_mutex;
  standin::EngineWeights m_weights;
  std::string m_running;
  std::string m_held_order;
  bool m_hold_next_order = false;
  bool m_restart_after_chunk = false;
  int m_order_status = 0;
  int m_chunk_count = 0;
  int m_order_count = 0;
  http::Server m_server;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_TESTS_DAEMON_WEIGHTS_ENDPOINT_H_
