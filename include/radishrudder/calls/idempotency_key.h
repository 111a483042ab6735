#ifndef RADISHRUDDER_CALLS_IDEMPOTENCY_KEY_H_
#define RADISHRUDDER_CALLS_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::calls {

// An idempotency key issued by an agent. It names the only run of the only
// agent that accepts it, so that no other one can run the call a second time.
struct IdempotencyKey {
  wire::ProcessKey agent;
  // End of its use on the monotonic clock of the issuing agent, to the
  // millisecond.
  kernel::Time expires;
  std::uint64_t nonce = 0;
};

// Formats a key as "rr1-INCARNATION-EXPIRY-NONCE-INSTANCE", the numbers in
// hexadecimal with 16 digits.
std::string Format(const IdempotencyKey& key);

// Parses a key; returns nothing if it was not issued by the system.
std::optional<IdempotencyKey> ParseIdempotencyKey(std::string_view text);

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_IDEMPOTENCY_KEY_H_
