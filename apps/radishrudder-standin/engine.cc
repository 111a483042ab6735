#include "engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "json.h"
#include "radishrudder/kernel/random.h"

namespace radishrudder::standin {
namespace {

std::uint64_t ParseIndex(const std::string& text) {
  std::uint64_t index = UINT64_MAX;
  std::from_chars(text.data(), text.data() + text.size(), index);
  return index;
}

}  // namespace

Engine::Engine(Scheduler& scheduler, const EngineSettings& settings)
    : StandIn(scheduler),
      m_settings(settings),
      m_log(settings.executions_file),
      m_start_id(std::to_string(kernel::SystemEntropy())) {}

void Engine::Answer(const http::Request& request,
                    const ResponderPointer& responder) {
  if (request.method == "GET" && request.path == "/v1/status") {
    ReplyStatus(*responder);
  } else if (request.method == "GET" && request.path == "/v1/executions") {
    ReplyJson(*responder, 200, m_log.ToJson());
  } else if (request.method == "PUT") {
    PutWeights(request, *responder);
  } else if (request.method == "POST") {
    AnswerPost(request, responder);
  } else {
    ReplyNotFound(*responder, request);
  }
}

void Engine::AnswerPost(const http::Request& request,
                        const ResponderPointer& responder) {
  if (request.path == "/v1/orders") {
    Order(request, responder);
  } else if (request.path == "/v1/chat/completions" ||
             request.path == "/v1/completions") {
    Generate(request, responder);
  } else {
    ReplyNotFound(*responder, request);
  }
}

void Engine::PutWeights(const http::Request& request,
                        http::Responder& responder) {
  const auto path = SplitPath(request.path);
  EngineWeights::Problem problem;
  if (path.size() == 4 && path[1] == "weights" && path[3] == "manifest") {
    problem = m_weights.PutManifest(path[2], request.body);
  } else if (path.size() == 5 && path[1] == "weights" && path[3] == "chunks") {
    problem = m_weights.PutChunk(path[2], ParseIndex(path[4]), request.body);
  } else {
    ReplyNotFound(responder, request);
    return;
  }
  if (problem) {
    ReplyProblem(responder, 422, *problem);
  } else {
    ReplyEmpty(responder);
  }
}

void Engine::Order(const http::Request& request,
                   const ResponderPointer& responder) {
  const auto order = ParseObject(request, *responder);
  if (order.is_discarded()) {
    return;
  }
  const std::string digest = order.value("manifest_digest", "");
  if (order.value("kind", "") != "load" || digest.empty()) {
    ReplyProblem(*responder, 400,
                 "the order must have \"kind\":\"load\" and a "
                 "\"manifest_digest\"");
    return;
  }
  const auto numbers =
      order.value("fence", std::vector<std::uint64_t>{0, 0, 0});
  if (numbers.size() != 3) {
    ReplyProblem(*responder, 400, "the fence must have three numbers");
    return;
  }
  const Fence fence{numbers[0], numbers[1], numbers[2]};
  if (m_settings.checks_fence && fence < m_fence) {
    ReplyOldFence(*responder);
    return;
  }
  if (const auto problem = m_weights.Verify(digest)) {
    ReplyProblem(*responder, 422, *problem);
    return;
  }
  m_fence = std::max(m_fence, fence);
  After(m_settings.load_time,
        [this, digest, fence, responder] { Load(digest, fence, responder); });
}

void Engine::Load(const std::string& digest,
                  const Fence& fence,
                  const ResponderPointer& responder) {
  if (m_settings.checks_fence && fence < m_fence) {
    ReplyOldFence(*responder);
    return;
  }
  m_running_digest = digest;
  m_weights.KeepOnly(digest);
  ReplyJson(*responder, 200, {{"running_digest", m_running_digest}});
}

void Engine::ReplyOldFence(http::Responder& responder) const {
  ReplyJson(responder, 409, {{"fence", m_fence}});
}

void Engine::ReplyStatus(http::Responder& responder) const {
  ReplyJson(responder, 200,
            {{"running_digest", m_running_digest},
             {"start_id", m_start_id},
             {"running", m_running},
             {"waiting", m_waiting.size()},
             {"capacity", m_settings.slots}});
}

void Engine::Generate(const http::Request& request,
                      const ResponderPointer& responder) {
  GenerationRequest what;
  if (!ParseGeneration(request, *responder, what)) {
    return;
  }
  if (m_running_digest.empty()) {
    ReplyProblem(*responder, 503, "no weights are loaded");
    return;
  }
  const std::string id = "gen-" + std::to_string(m_log.Count() + 1);
  const std::string key(http::FindHeader(request.headers, "idempotency-key"));
  const std::size_t execution = m_log.Add({.id = id,
                                           .user = what.user,
                                           .key = key,
                                           .method = request.method,
                                           .path = request.path,
                                           .digest = m_running_digest});
  auto call = std::make_shared<Call>(
      Call{Generation(std::move(what), id, responder), execution});
  OnGone(*responder, [this, call] { Cancel(call); });
  m_waiting.push_back(std::move(call));
  StartWaiting();
}

void Engine::StartWaiting() {
  while (m_running < m_settings.slots && !m_waiting.empty()) {
    const CallPointer call = m_waiting.front();
    m_waiting.pop_front();
    Start(call);
  }
}

void Engine::Start(const CallPointer& call) {
  call->running = true;
  ++m_running;
  call->generation.Begin(m_running_digest);
  Continue(call);
}

void Engine::Continue(const CallPointer& call) {
  const std::chrono::duration<double> pause(1 / m_settings.tokens_per_second);
  After(std::chrono::duration_cast<std::chrono::nanoseconds>(pause),
        [this, call] {
          if (call->ended) {
            return;
          }
          call->generation.AddToken(m_running_digest);
          if (!call->generation.IsComplete()) {
            Continue(call);
            return;
          }
          call->generation.End();
          m_log.SetState(call->execution, "complete");
          Release(call);
        });
}

void Engine::Cancel(const CallPointer& call) {
  if (call->ended) {
    return;
  }
  m_log.SetState(call->execution, "cancelled");
  Release(call);
}

void Engine::Release(const CallPointer& call) {
  call->ended = true;
  if (call->running) {
    --m_running;
  } else {
    std::erase(m_waiting, call);
  }
  StartWaiting();
}

}  // namespace radishrudder::standin
