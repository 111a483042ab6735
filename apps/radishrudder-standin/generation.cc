#include "generation.h"

#include <algorithm>
#include <utility>

#include "json.h"

namespace radishrudder::standin {
namespace {

constexpr std::size_t kDefaultTokens = 16;
constexpr std::size_t kMaximumTokens = 4096;
constexpr char kDigestHeader[] = "x-weights-digest";

}  // namespace

bool ParseGeneration(const http::Request& request,
                     http::Responder& responder,
                     GenerationRequest& result) {
  const auto body = ParseObject(request, responder);
  if (body.is_discarded()) {
    return false;
  }
  result.chat = request.path == "/v1/chat/completions";
  result.stream = body.value("stream", false);
  result.model = body.value("model", "");
  result.user = body.value("user", "");
  result.tokens = body.value("max_tokens", kDefaultTokens);
  if (result.tokens == 0 || result.tokens > kMaximumTokens) {
    ReplyProblem(responder, 400,
                 "max_tokens is " + std::to_string(result.tokens) +
                     "; valid: 1 to " + std::to_string(kMaximumTokens));
    return false;
  }
  return true;
}

Generation::Generation(GenerationRequest request,
                       std::string id,
                       ResponderPointer responder)
    : m_request(std::move(request)),
      m_id(std::move(id)),
      m_responder(std::move(responder)) {}

void Generation::Begin(const std::string& digest) {
  if (m_request.stream) {
    m_responder->Begin(
        200, {{"content-type", "text/event-stream"}, {kDigestHeader, digest}});
  }
}

void Generation::AddToken(const std::string& digest) {
  const std::string token =
      m_request.user + "/" + std::to_string(m_produced++) + " ";
  if (std::ranges::find(m_digests, digest) == m_digests.end()) {
    m_digests.push_back(digest);
  }
  m_text += token;
  if (!m_request.stream) {
    return;
  }
  nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (IsComplete()) {
    choice["finish_reason"] = "stop";
  }
  if (m_request.chat) {
    choice["delta"] = {{"content", token}};
  } else {
    choice["text"] = token;
  }
  nlohmann::json event = Frame(choice);
  event["weights"] = digest;
  Send(event);
}

void Generation::End() {
  if (m_request.stream) {
    m_responder->Write("data: [DONE]\n\n");
    m_responder->Finish();
    return;
  }
  nlohmann::json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (m_request.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", m_text}};
  } else {
    choice["text"] = m_text;
  }
  nlohmann::json body = Frame(choice);
  body["weights"] = m_digests.front();
  body["all_weights"] = m_digests;
  m_responder->Reply(200,
                     {{"content-type", "application/json"},
                      {kDigestHeader, m_digests.front()}},
                     body.dump());
}

nlohmann::json Generation::Frame(const nlohmann::json& choice) const {
  std::string object = m_request.chat ? "chat.completion" : "text_completion";
  if (m_request.stream && m_request.chat) {
    object += ".chunk";
  }
  return {{"id", m_id},
          {"object", object},
          {"model", m_request.model},
          {"choices", nlohmann::json::array({choice})}};
}

void Generation::Send(const nlohmann::json& event) const {
  m_responder->Write("data: " + event.dump() + "\n\n");
}

}  // namespace radishrudder::standin
