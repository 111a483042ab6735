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

// A caller's request, decoded from the platform's wire format.
struct CallerRequest {
  std::string method{};
  std::string target{};  // Path and query as received.
  std::string path{};
  std::string host{};
  std::string attempt_id{};  // Empty: the request has none.
  // Headers of the caller that are sent on to the endpoint.
  std::vector<http::Header> forwarded_headers{};
  std::string body{};
  std::optional<std::chrono::milliseconds> time_left{};
  std::string key{};  // Workspace key; empty: the request has none.
  std::optional<std::uint64_t> last_event_id{};
  std::string model{};
  // Ids of the prompt's parts that other requests may share, in order. The last
  // part belongs to the request or its session and is left out.
  std::vector<std::string> prompt_parts{};
  double prompt_tokens = 0;          // 0: not stated.
  double maximum_answer_tokens = 0;  // 0: not stated.
  // The caller's estimate of the answer's length; 0: not stated.
  double answer_tokens_estimate = 0;
  kernel::Time received_at{};  // When its first byte was read.
};

// Status and headers of an endpoint's response, decoded.
struct EndpointResponse {
  int status = 0;
  // Attempt id that the endpoint echoes; absent if it echoes none.
  std::optional<std::string> attempt_id{};
  bool has_signature = false;  // The endpoint signed the response.
  // The endpoint reports that it did not execute the request.
  bool not_executed = false;
  bool wrong_endpoint = false;  // Another endpoint uses the address now.
  bool wrong_version = false;   // The endpoint runs another model version.
  bool encoded = false;         // The body has a content encoding.
  // The end of the body is marked, so that it differs from the end of the
  // endpoint.
  bool delimited = false;
  std::optional<routing::LoadReport> load{};
  bool leaving = false;  // The endpoint wants no new requests any more.
  // How long the endpoint wants no requests from this process.
  std::optional<std::chrono::milliseconds> requested_pause{};
  // Requests that the endpoint takes from all entries together; absent if it
  // names no limit.
  std::optional<double> requests_per_second{};
  // How long the endpoint stays cold; absent if it does not say.
  std::optional<std::chrono::milliseconds> cold_time{};
  // What the endpoint says of itself in a form that could not be read, for the
  // log; empty: nothing.
  std::string unreadable{};
  // Version of the weights that produced the response.
  std::optional<std::uint64_t> version{};
  std::vector<http::Header> response_headers{};  // Sent on to the caller.
};

// Why the entry generated a response itself, or aborted one.
enum class Reason {
  kNone,
  kNoConfiguration,     // No configuration has been read yet.
  kStaleConfiguration,  // Too old: keys may have been revoked since.
  kNoRoute,
  kUnreadableRoute,  // Its route is in the configuration, but can't be read.
  kNoKey,
  kUnknownKey,
  kNoEndpoint,     // No known endpoint may take the call.
  kAllBusy,        // All endpoints that may take the call are full.
  kAllPaused,      // No endpoint wants a request from this entry at present.
  kRefused,        // Endpoints confirmed that they did not execute it.
  kUnreachable,    // No connection to an endpoint could be opened.
  kBroken,         // An attempt ended before its response was complete.
  kInvalidAnswer,  // Not the endpoint's response to this request.
  kTimeout,
  kOutdated,         // Queued at an endpoint until its version was superseded.
  kCrashingPrompt,   // A part of its prompt crashes endpoints.
  kCrashingRequest,  // The request crashes endpoints.
  kRequestOnTrial,   // The request may crash endpoints and is in progress.
  kNoAllowedRegion,  // Its route and its workspace allow no common region.
  kStopping,         // The process may end before the call does.
  kNoMemory,         // Its callers hold as much memory as they may.
  kCallerStalled,    // Its caller reads no more, and others need the endpoint.
};
std::string_view ToText(Reason reason);

// The outputs of an entry, each to be carried out by its caller.
//
// Sends the request to an endpoint.
struct SendAttempt {
  CallId call = 0;
  std::string address{};
  std::string endpoint_id{};
  std::chrono::milliseconds time_left{0};
  std::string workspace{};  // Empty: none.
  std::optional<std::uint64_t> expected_version{};
  std::optional<std::uint64_t> last_event_id{};
  std::optional<std::uint32_t> priority{};  // 0 is the highest.
};
// Closes the connection of the attempt in progress, so that the endpoint stops
// working on it.
struct CancelAttempt {
  CallId call = 0;
};
// Sends a complete response to the caller.
struct SendResponse {
  CallId call = 0;
  int status = 0;
  std::vector<http::Header> headers{};
  std::string body{};
  // Set for responses generated by the entry that carry Retry-After.
  std::optional<std::chrono::milliseconds> retry_after{};
};
struct StartResponse {
  CallId call = 0;
  int status = 0;
  std::vector<http::Header> headers{};
};
struct SendResponseBody {
  CallId call = 0;
  std::string data{};
};
struct FinishResponse {
  CallId call = 0;
};
// Closes the caller's connection so that the response is visibly incomplete.
struct AbortResponse {
  CallId call = 0;
};
// How far a call had come when its caller left.
enum class CallStage { kWaiting, kConnecting, kSent, kAnswering };
std::string_view ToText(CallStage stage);

// Outcome of an attempt or a call, for the log and the metrics.
struct CallRecord {
  enum class Kind { kAttemptFailed, kAttemptRefused, kEnded, kCallerLeft };
  Kind kind = Kind::kEnded;
  CallId call = 0;
  std::string attempt_id{};
  std::string route{};
  std::string service{};
  std::string endpoint{};
  int status = 0;  // 0: aborted, or no response.
  Reason reason = Reason::kNone;
  std::uint32_t attempts = 0;
  std::chrono::milliseconds elapsed{0};
  std::chrono::milliseconds configuration_age{0};
  std::uint32_t rank = 0;               // 0 is the most urgent.
  std::chrono::milliseconds waited{0};  // For a place at an endpoint.
  // Of a call whose caller left: its stage, and the time since the attempt in
  // progress was sent.
  CallStage stage = CallStage::kWaiting;
  std::chrono::milliseconds sent_for{0};
  std::string detail{};
  std::uint64_t events = 0;  // Passed on to the caller.
  std::vector<std::string> prompt_parts{};
  // Of an attempt or a call that failed; the same for each repetition of the
  // request, see `RequestDigest`.
  std::string request_digest{};
};

// A part of prompts is blocked because it crashes endpoints, for the log.
struct PartBlocked {
  std::string part{};
};
// The same of a whole request.
struct RequestBlocked {
  std::string digest{};
};

// An endpoint asked for a pause, for the log.
struct EndpointPaused {
  std::string service{};
  std::string endpoint{};
  std::string attempt_id{};  // Of the call that it answered so.
  std::chrono::milliseconds requested{0};
  std::chrono::milliseconds duration{0};  // Less if a limit applies.
};

// An endpoint said in an answer that it leaves, for the log.
struct EndpointLeaves {
  std::string service{};
  std::string endpoint{};
  std::string attempt_id{};  // Of the call that it answered so.
};

// An endpoint named another limit than before, or none any more, for the log.
struct EndpointLimited {
  std::string service{};
  std::string endpoint{};
  std::string attempt_id{};  // Of the call that it answered so.
  std::optional<double> requests_per_second{};
};

// A route and a workspace allow no common region, for the log.
struct NoAllowedRegion {
  std::string route{};
  std::string workspace{};
  std::uint64_t configuration = 0;  // Its version.
};

// A data centre is evacuated, or no longer, for the log.
struct DataCentreEvacuated {
  std::string data_centre{};
  bool evacuated = false;
  bool known = false;  // The settings name the data centre.
};

// An endpoint became cold, or is no longer, for the log.
struct EndpointCold {
  std::string service{};
  std::string endpoint{};
  bool cold = false;
  std::chrono::milliseconds duration{0};  // For which it stays cold.
};

using Output = std::variant<SendAttempt,
                            CancelAttempt,
                            SendResponse,
                            StartResponse,
                            SendResponseBody,
                            FinishResponse,
                            AbortResponse,
                            CallRecord,
                            PartBlocked,
                            RequestBlocked,
                            EndpointPaused,
                            EndpointLeaves,
                            EndpointLimited,
                            NoAllowedRegion,
                            DataCentreEvacuated,
                            EndpointCold>;

// Why an attempt ended without a complete response.
enum class AttemptFailure {
  kNotSent,  // No byte of the request was sent.
  kInterrupted,
  kMalformed
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_CALL_H_
