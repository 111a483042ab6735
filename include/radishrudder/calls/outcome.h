#ifndef RADISHRUDDER_CALLS_OUTCOME_H_
#define RADISHRUDDER_CALLS_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::calls {

using CallId = std::uint64_t;

struct Header {
  std::string name{};
  std::string value{};
};

// A call as the entry received it from the caller.
struct CallRequest {
  std::string service{};
  std::string workspace{};
  std::string method{};
  std::string target{};  // As sent to the endpoint.
  std::vector<Header> headers{};
  std::string body{};
  std::uint32_t priority = 0;
  std::chrono::milliseconds timeout{0};  // 0: the timeout of the document.
  std::string idempotency_key{};         // Empty: none.
  std::string adapter{};
  std::uint64_t prefix_hash = 0;
};

// Status and headers of an answer, emitted before its parts.
struct AnswerHead {
  CallId call = 0;
  std::uint32_t status = 0;
  std::vector<Header> headers{};
  std::string manifest_digest{};
};

struct AnswerPart {
  CallId call = 0;
  std::string data{};
};

// All parts of the answer have been emitted.
struct AnswerComplete {
  CallId call = 0;
};

// The call ended without a complete answer. `outcome` is NOT_RUN only if no
// attempt has run or can still run.
struct CallFailed {
  CallId call = 0;
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
  bool answer_started = false;  // An `AnswerHead` was emitted before.
  // For a call that requires an issued key: a key to repeat the call with.
  std::string issued_key{};
  std::string detail{};
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_OUTCOME_H_
