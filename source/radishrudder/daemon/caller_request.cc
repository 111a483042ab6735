#include "radishrudder/daemon/caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::daemon {
namespace {

using nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusPreconditionRequired = 428;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

constexpr std::string_view kServicesPrefix = "/services/";
// Prompts that share this many first characters count as one prefix.
constexpr std::size_t kPrefixCharacters = 512;
constexpr std::uint64_t kMaximumTimeoutMilliseconds = 3'600'000;
constexpr std::uint64_t kMaximumPriority = 9;

// Headers that belong to one connection or are written anew.
constexpr std::array<std::string_view, 8> kDroppedHeaders = {
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "te",
    "expect"};

Problem BadRequest(int status, std::string title, std::string detail) {
  Problem problem;
  problem.status = status;
  problem.title = std::move(title);
  problem.detail = std::move(detail);
  problem.reason = "bad-request";
  return problem;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

bool IsDropped(std::string_view name) {
  const std::string lower = LowerCase(name);
  return std::find(kDroppedHeaders.begin(), kDroppedHeaders.end(), lower) !=
         kDroppedHeaders.end();
}

// Parses a header that holds a whole number up to `maximum`; an absent header
// is 0, one that is not valid nothing.
std::optional<std::uint64_t> NumberHeader(const http::Request& request,
                                          std::string_view name,
                                          std::uint64_t maximum) {
  const std::string_view text = http::FindHeader(request.headers, name);
  if (text.empty()) {
    return 0;
  }
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && number <= maximum ? std::optional(number) : std::nullopt;
}

Problem BadNumber(const http::Request& request,
                  std::string_view name,
                  std::uint64_t maximum) {
  return BadRequest(kStatusBadRequest, "Header is not valid",
                    "header " + std::string(name) + ": \"" +
                        std::string(http::FindHeader(request.headers, name)) +
                        "\" is not valid; valid: a whole number from 0 to " +
                        std::to_string(maximum));
}

// Fills what callers say in headers; returns a problem if one is not valid.
std::optional<Problem> FillFromHeaders(const http::Request& request,
                                       calls::CallRequest& call) {
  const auto timeout =
      NumberHeader(request, "x-timeout-ms", kMaximumTimeoutMilliseconds);
  if (!timeout) {
    return BadNumber(request, "X-Timeout-Ms", kMaximumTimeoutMilliseconds);
  }
  const auto priority = NumberHeader(request, "x-priority", kMaximumPriority);
  if (!priority) {
    return BadNumber(request, "X-Priority", kMaximumPriority);
  }
  call.timeout = std::chrono::milliseconds(*timeout);
  call.priority = static_cast<std::uint32_t>(*priority);
  call.workspace = http::FindHeader(request.headers, "x-workspace");
  call.adapter = http::FindHeader(request.headers, "x-adapter");
  call.idempotency_key = http::FindHeader(request.headers, "idempotency-key");
  for (const http::Header& header : request.headers) {
    if (!IsDropped(header.name)) {
      call.headers.push_back({header.name, header.value});
    }
  }
  return std::nullopt;
}

// Returns the text that prefix caches of engines work on.
std::string PromptOf(const json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"].get<std::string>();
  }
  std::string prompt;
  if (body.contains("messages") && body["messages"].is_array()) {
    for (const json& message : body["messages"]) {
      if (message.is_object() && message.contains("content") &&
          message["content"].is_string()) {
        prompt += message["content"].get<std::string>() + "\n";
      }
    }
  }
  return prompt;
}

std::variant<calls::CallRequest, Problem> ParseCompletion(
    http::Request request) {
  json body;
  try {
    body = json::parse(request.body);
  } catch (const json::exception& error) {
    return BadRequest(kStatusBadRequest, "Body is not JSON", error.what());
  }
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    return BadRequest(kStatusBadRequest, "Body names no model",
                      "/model is missing or not a text; valid: the name of a "
                      "service");
  }
  calls::CallRequest call;
  call.service = body["model"].get<std::string>();
  call.method = request.method;
  call.target = request.target;
  if (std::optional<Problem> problem = FillFromHeaders(request, call)) {
    return *std::move(problem);
  }
  const std::string prompt = PromptOf(body).substr(0, kPrefixCharacters);
  call.prefix_hash = kernel::StableHash(call.workspace, prompt);
  call.body = std::move(request.body);
  return call;
}

std::variant<calls::CallRequest, Problem> ParseServiceCall(
    http::Request request) {
  const std::string_view rest =
      std::string_view(request.path).substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string service(rest.substr(0, slash));
  if (service.empty()) {
    return BadRequest(kStatusNotFound, "No service named",
                      "path \"" + request.path +
                          "\" names no service; valid: /services/NAME/...");
  }
  const std::size_t path_start = kServicesPrefix.size() + service.size();
  calls::CallRequest call;
  call.service = service;
  call.method = request.method;
  call.target = request.target.substr(path_start);
  if (call.target.empty() || call.target.front() != '/') {
    call.target.insert(0, "/");
  }
  if (std::optional<Problem> problem = FillFromHeaders(request, call)) {
    return *std::move(problem);
  }
  call.body = std::move(request.body);
  return call;
}

std::string_view OutcomeName(wire::Outcome outcome) {
  return outcome == wire::OUTCOME_NOT_RUN ? "not-run" : "unknown";
}

// What callers are told of each reason.
struct ReasonText {
  int status;
  std::string_view name;
  std::string_view title;
};

ReasonText TextOf(wire::RefusalReason reason) {
  switch (reason) {
    case wire::REFUSAL_DRAINING:
      return {kStatusUnavailable, "draining", "Instance is leaving"};
    case wire::REFUSAL_OVERLOADED:
      return {kStatusTooManyRequests, "overloaded", "Too many calls"};
    case wire::REFUSAL_NOT_READY:
      return {kStatusUnavailable, "not-ready", "No endpoint is ready"};
    case wire::REFUSAL_WRONG_VERSION:
      return {kStatusUnavailable, "wrong-version",
              "No endpoint runs the version"};
    case wire::REFUSAL_WRONG_INCARNATION:
      return {kStatusUnavailable, "restarted", "The instance was restarted"};
    case wire::REFUSAL_CANCELLED:
      return {kStatusUnavailable, "cancelled", "The call was cancelled"};
    case wire::REFUSAL_KEY_NOT_ACCEPTED:
      return {kStatusPreconditionRequired, "key-not-accepted",
              "The idempotency key is not accepted"};
    case wire::REFUSAL_KEY_BODY_MISMATCH:
      return {kStatusUnprocessable, "key-body-mismatch",
              "The idempotency key was used for another call"};
    case wire::REFUSAL_EXPIRED:
      return {kStatusTimeout, "expired", "The deadline has passed"};
    case wire::REFUSAL_ENDPOINT_UNREACHABLE:
      return {kStatusBadGateway, "endpoint-unreachable",
              "The endpoint does not answer"};
    case wire::REFUSAL_KEY_IN_PROGRESS:
      return {kStatusConflict, "key-in-progress",
              "A call with this idempotency key is in progress"};
    case wire::REFUSAL_UNKNOWN_SERVICE:
      return {kStatusNotFound, "unknown-service", "There is no such service"};
    default:
      return {kStatusBadGateway, "failed", "The call failed"};
  }
}

}  // namespace

std::variant<calls::CallRequest, Problem> ParseCallerRequest(
    http::Request request) {
  const bool completion = request.path == "/v1/chat/completions" ||
                          request.path == "/v1/completions";
  if (completion && request.method == "POST") {
    return ParseCompletion(std::move(request));
  }
  if (request.path.starts_with(kServicesPrefix)) {
    return ParseServiceCall(std::move(request));
  }
  return BadRequest(kStatusNotFound, "No such path",
                    request.method + " " + request.path +
                        " is not served; valid: POST /v1/chat/completions, "
                        "POST /v1/completions, /services/NAME/...");
}

Problem Describe(const calls::CallFailed& failed) {
  const ReasonText text = TextOf(failed.reason);
  Problem problem;
  problem.status = text.status;
  problem.title = text.title;
  problem.detail = failed.detail;
  problem.outcome = failed.outcome;
  problem.reason = text.name;
  problem.retry_after = failed.retry_after;
  problem.issued_key = failed.issued_key;
  return problem;
}

std::string ToJson(const Problem& problem) {
  json body;
  body["type"] = "urn:radishrudder:problem:" + problem.reason;
  body["title"] = problem.title;
  body["status"] = problem.status;
  body["detail"] = problem.detail;
  body["outcome"] = OutcomeName(problem.outcome);
  body["reason"] = problem.reason;
  if (!problem.issued_key.empty()) {
    body["idempotency_key"] = problem.issued_key;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<http::Header> HeadersOf(const Problem& problem) {
  std::vector<http::Header> headers{
      {"Content-Type", "application/problem+json"},
      {"X-Outcome", std::string(OutcomeName(problem.outcome))}};
  if (problem.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(problem.retry_after);
    headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  if (!problem.issued_key.empty()) {
    headers.push_back({"Idempotency-Key", problem.issued_key});
  }
  return headers;
}

}  // namespace radishrudder::daemon
