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

// A caller's call as the entry received it.
struct CallRequest {
  std::string service{};
  std::string workspace{};
  std::string method{};
  std::string target{};  // As the endpoint will see it.
  std::vector<Header> headers{};
  std::string body{};
  std::uint32_t priority = 0;
  std::chrono::milliseconds timeout{0};  // 0: the document's.
  std::string idempotency_key{};         // Empty: none.
  std::string adapter{};
  std::uint64_t prefix_hash = 0;
};

// The endpoint began to answer.
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

// The answer is whole.
struct AnswerComplete {
  CallId call = 0;
};

// No whole answer will come. `outcome` is NOT_RUN only when no attempt ran or
// can still run.
struct CallFailed {
  CallId call = 0;
  wire::Outcome outcome = wire::OUTCOME_UNKNOWN;
  wire::RefusalReason reason = wire::REFUSAL_UNSPECIFIED;
  std::chrono::milliseconds retry_after{0};
  bool answer_begun = false;  // A head was handed over before.
  // For a call that needs a key of the system's own: a key to use.
  std::string issued_key{};
  std::string detail{};
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_OUTCOME_H_
