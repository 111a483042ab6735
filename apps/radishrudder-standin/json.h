#ifndef RADISHRUDDER_STANDIN_JSON_H_
#define RADISHRUDDER_STANDIN_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/http/server.h"

namespace radishrudder::standin {

// Sends a JSON answer.
void ReplyJson(http::Responder& responder,
               int status,
               const nlohmann::json& body);
// Sends a problem+json answer that says what is wrong.
void ReplyProblem(http::Responder& responder, int status, std::string detail);
// Answers 404 and names the request.
void ReplyNotFound(http::Responder& responder, const http::Request& request);
// Answers 204.
void ReplyEmpty(http::Responder& responder);

// Parses a body that must be a JSON object; otherwise answers 400 and returns
// a discarded value.
nlohmann::json ParseObject(const http::Request& request,
                           http::Responder& responder);

// Returns the members of a path between its slashes.
std::vector<std::string> SplitPath(std::string_view path);
// Returns a whole number from a query, or `fallback`.
std::uint64_t QueryNumber(std::string_view query,
                          std::string_view name,
                          std::uint64_t fallback);

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_JSON_H_
