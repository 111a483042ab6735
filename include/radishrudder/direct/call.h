#ifndef RADISHRUDDER_DIRECT_CALL_H_
#define RADISHRUDDER_DIRECT_CALL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/http/header.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::direct {

using CallId = std::uint64_t;

// A caller's request, decoded from what the platform puts on the wire.
struct CallerRequest {
  std::string method{};
  std::string target{};  // Path and query as sent.
  std::string path{};
  std::string host{};
  std::string attempt_id{};             // Empty: none was sent.
  std::vector<http::Header> forward{};  // What the endpoint gets beside ours.
  std::string body{};
  std::optional<std::chrono::milliseconds> time_left{};
  std::string key{};  // Of a workspace; empty: none was sent.
  std::optional<std::uint64_t> last_event_id{};
  std::string model{};
  double prompt_tokens = 0;          // 0: not stated.
  double maximum_answer_tokens = 0;  // 0: not stated.
  kernel::Time begun{};              // When its first byte was read.
};

// The head of an endpoint's answer, decoded.
struct EndpointAnswer {
  int status = 0;
  // Echo of the request's id; absent where the endpoint named none.
  std::optional<std::string> attempt_id{};
  bool has_proof = false;  // The endpoint signed the answer as its own.
  bool not_run = false;    // The endpoint says that it did not run the request.
  bool wrong_endpoint = false;  // Another one has the address now.
  bool wrong_version = false;   // It holds another version than expected.
  bool encoded = false;         // The body has a content encoding.
  std::optional<routing::LoadReport> load{};
  std::optional<std::uint64_t> version{};  // Of the weights it ran on.
  std::vector<http::Header> pass_on{};     // What the caller gets.
};

// Why an answer that is not the endpoint's own was given, or a call broke off.
enum class Reason {
  kNone,
  kNoConfiguration,     // None was read yet.
  kStaleConfiguration,  // Keys may have been taken away meanwhile.
  kNoRoute,
  kNoKey,
  kUnknownKey,
  kNoEndpoint,     // None known that may take the call.
  kAllBusy,        // All that may take the call are full.
  kRefused,        // Endpoints confirmed that they did not run it.
  kUnreachable,    // No connection to an endpoint came about.
  kBroken,         // An attempt ended without a whole answer.
  kInvalidAnswer,  // What came is not the endpoint's answer to this request.
  kTimeout,
  kOutdated,  // Waited at an endpoint until its version was out of force.
};
std::string_view ToText(Reason reason);

// Send the request to an endpoint.
struct SendAttempt {
  CallId call = 0;
  std::string address{};
  std::string endpoint_id{};
  std::chrono::milliseconds time_left{0};
  std::string workspace{};  // Empty: none.
  std::optional<std::uint64_t> expected_version{};
  std::optional<std::uint64_t> last_event_id{};
  std::optional<std::uint32_t> urgency{};  // 0 is the most urgent.
};
// Close the connection of the attempt in progress, so that its work ends.
struct CancelAttempt {
  CallId call = 0;
};
struct ReplyWhole {
  CallId call = 0;
  int status = 0;
  std::vector<http::Header> headers{};
  std::string body{};
  // Set for answers of one's own that say when to come back.
  std::optional<std::chrono::milliseconds> retry_after{};
};
struct ReplyBegin {
  CallId call = 0;
  int status = 0;
  std::vector<http::Header> headers{};
};
struct ReplyPart {
  CallId call = 0;
  std::string data{};
};
struct ReplyEnd {
  CallId call = 0;
};
// Break the answer off so that it does not look complete.
struct ReplyAbort {
  CallId call = 0;
};
// One decision, for the log.
struct Note {
  enum class Kind { kAttemptFailed, kAttemptRefused, kEnded };
  Kind kind = Kind::kEnded;
  CallId call = 0;
  std::string attempt_id{};
  std::string route{};
  std::string service{};
  std::string endpoint{};
  int status = 0;  // 0: broken off or no answer.
  Reason reason = Reason::kNone;
  std::uint32_t attempts = 0;
  std::chrono::milliseconds elapsed{0};
  std::chrono::milliseconds configuration_age{0};
  std::string detail{};
};

using Output = std::variant<SendAttempt,
                            CancelAttempt,
                            ReplyWhole,
                            ReplyBegin,
                            ReplyPart,
                            ReplyEnd,
                            ReplyAbort,
                            Note>;

// Why an attempt got no whole answer.
enum class AttemptFailure {
  kNotSent,  // No byte has left.
  kBroken,
  kMalformed
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CALL_H_
