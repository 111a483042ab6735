#ifndef RADISHRUDDER_CALLS_ATTEMPT_KEY_H_
#define RADISHRUDDER_CALLS_ATTEMPT_KEY_H_

#include <compare>
#include <cstdint>

#include "radishrudder/wire/process_id.h"

namespace radishrudder::calls {

// Identifies one attempt by the run of the entry that made it and a sequence
// number, which increases with every attempt of that run.
struct AttemptKey {
  wire::ProcessKey entry;
  std::uint64_t sequence = 0;

  // Orders by entry, then by sequence.
  std::strong_ordering operator<=>(const AttemptKey& other) const;
  bool operator==(const AttemptKey&) const = default;
};

AttemptKey FromMessage(const wire::AttemptId& message);
wire::AttemptId ToMessage(const AttemptKey& key);

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ATTEMPT_KEY_H_
