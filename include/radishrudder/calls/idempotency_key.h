#ifndef RADISHRUDDER_CALLS_IDEMPOTENCY_KEY_H_
#define RADISHRUDDER_CALLS_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::calls {

// An idempotency key issued by an agent. Only the run of the agent that it
// names accepts it, so that no other agent can run the call a second time.
struct IdempotencyKey {
  wire::ProcessKey agent;
  // Expiry time on the monotonic clock of the issuing agent, with millisecond
  // precision.
  kernel::Time expires;
  std::uint64_t nonce = 0;
};

// Formats a key as "rr1-INCARNATION-EXPIRY-NONCE-INSTANCE". The numbers are
// hexadecimal with 16 digits; the expiry is in milliseconds.
std::string Format(const IdempotencyKey& key);

// Parses a key; returns nullopt if it doesn't have the format of issued keys.
std::optional<IdempotencyKey> ParseIdempotencyKey(std::string_view text);

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_IDEMPOTENCY_KEY_H_
