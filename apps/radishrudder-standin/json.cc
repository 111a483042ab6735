#include "json.h"

#include <charconv>
#include <utility>

namespace radishrudder::standin {
namespace {

std::string Dump(const nlohmann::json& value) {
  // Bytes that are not UTF-8 are replaced.
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void ReplyJson(http::Responder& responder,
               int status,
               const nlohmann::json& body) {
  responder.Reply(status, {{"content-type", "application/json"}}, Dump(body));
}

void ReplyProblem(http::Responder& responder, int status, std::string detail) {
  const nlohmann::json body = {{"type", "about:blank"},
                               {"title", "stand-in"},
                               {"status", status},
                               {"detail", std::move(detail)}};
  responder.Reply(status, {{"content-type", "application/problem+json"}},
                  Dump(body));
}

void ReplyNotFound(http::Responder& responder, const http::Request& request) {
  ReplyProblem(responder, 404,
               request.method + " " + request.path + " does not exist");
}

void ReplyEmpty(http::Responder& responder) {
  responder.Reply(204, {}, "");
}

nlohmann::json ParseObject(const http::Request& request,
                           http::Responder& responder) {
  auto value = nlohmann::json::parse(request.body, nullptr, false);
  if (!value.is_object()) {
    ReplyProblem(responder, 400,
                 "the body of " + request.method + " " + request.path +
                     " must be a JSON object");
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return value;
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto slash = path.find('/');
    parts.emplace_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? "" : path.substr(slash);
  }
  return parts;
}

std::uint64_t QueryNumber(std::string_view query,
                          std::string_view name,
                          std::uint64_t fallback) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view item = query.substr(0, end);
    query = end == std::string_view::npos ? "" : query.substr(end + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos || item.substr(0, equals) != name) {
      continue;
    }
    const std::string_view digits = item.substr(equals + 1);
    std::uint64_t number = 0;
    const auto result =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return result.ec == std::errc{} ? number : fallback;
  }
  return fallback;
}

}  // namespace radishrudder::standin
