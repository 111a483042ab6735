#include "radishrudder/calls/attempt_key.h"

#include <tuple>

namespace radishrudder::calls {

std::strong_ordering AttemptKey::operator<=>(const AttemptKey& other) const {
  return std::tie(entry, sequence) <=> std::tie(other.entry, other.sequence);
}

AttemptKey FromMessage(const wire::AttemptId& message) {
  return {.entry = {.instance = message.entry(),
                    .incarnation = message.entry_incarnation()},
          .sequence = message.sequence()};
}

wire::AttemptId ToMessage(const AttemptKey& key) {
  wire::AttemptId message;
  message.set_entry(key.entry.instance);
  message.set_entry_incarnation(key.entry.incarnation);
  message.set_sequence(key.sequence);
  return message;
}

}  // namespace radishrudder::calls
