#ifndef RADISHRUDDER_DAEMON_CALLER_REQUEST_H_
#define RADISHRUDDER_DAEMON_CALLER_REQUEST_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/calls/outcome.h"
#include "radishrudder/http/server.h"

namespace radishrudder::daemon {

// A problem answer (RFC 9457) that says whether the call ran.
struct Problem {
  int status = 500;
  std::string title;
  std::string detail;
  wire::Outcome outcome = wire::OUTCOME_NOT_RUN;
  std::string reason;
  std::chrono::milliseconds retry_after{0};
  std::string issued_key;  // A key that the caller may use instead.
};

// Reads a caller's HTTP request. What is not valid is a problem that names
// the caller's own text.
std::variant<calls::CallRequest, Problem> ParseCallerRequest(
    http::Request request);

// Describes a failed call to its caller.
Problem Describe(const calls::CallFailed& failed);

// Returns the body of a problem answer.
std::string ToJson(const Problem& problem);
// Returns the headers of a problem answer.
std::vector<http::Header> HeadersOf(const Problem& problem);

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_CALLER_REQUEST_H_
