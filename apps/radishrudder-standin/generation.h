#ifndef RADISHRUDDER_STANDIN_GENERATION_H_
#define RADISHRUDDER_STANDIN_GENERATION_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_in.h"

namespace radishrudder::standin {

// What a completion request asks for.
struct GenerationRequest {
  bool chat = true;  // Chat completion or completion.
  bool stream = false;
  std::string model;
  std::string user;
  std::size_t tokens = 0;
};

// Reads a request body; answers 400 and returns false if it is not valid.
bool ParseGeneration(const http::Request& request,
                     http::Responder& responder,
                     GenerationRequest& result);

// One answer in the making. Its text repeats the caller's "user" and numbers
// its tokens, so that a checker sees whose and how whole it is.
class Generation {
 public:
  Generation(GenerationRequest request,
             std::string id,
             ResponderPointer responder);

  // Starts a streamed answer.
  void Begin(const std::string& digest);
  // Produces one token with the given weights.
  void AddToken(const std::string& digest);
  bool IsComplete() const { return m_produced == m_request.tokens; }
  // Ends the answer as whole.
  void End();

  const GenerationRequest& What() const { return m_request; }
  const std::string& Id() const { return m_id; }
  http::Responder& Caller() const { return *m_responder; }

 private:
  nlohmann::json Frame(const nlohmann::json& choice) const;
  void Send(const nlohmann::json& event) const;

  GenerationRequest m_request;
  std::string m_id;
  ResponderPointer m_responder;
  std::size_t m_produced = 0;
  std::string m_text;
  std::vector<std::string> m_digests;  // Of the tokens, each once.
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_GENERATION_H_
