#ifndef RADISHRUDDER_WIRE_PROCESS_ID_H_
#define RADISHRUDDER_WIRE_PROCESS_ID_H_

#include <compare>
#include <cstdint>
#include <string>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::wire {

// Identity of one run of one process; the value type for the message
// `ProcessId`.
struct ProcessKey {
  std::string instance;
  std::uint64_t incarnation = 0;

  std::strong_ordering operator<=>(const ProcessKey& other) const;
  bool operator==(const ProcessKey& other) const = default;
};

// Convert between the value and the message.
ProcessKey FromMessage(const ProcessId& message);
ProcessId ToMessage(const ProcessKey& key);

// Generates an incarnation: milliseconds of the wall clock since 1970 in the
// upper 44 bits, so that a later run has a greater incarnation if the clock is
// correct, and 20 random bits below, so that two runs differ even if it is not.
std::uint64_t DrawIncarnation(kernel::WallTime now, kernel::Random& random);

// Returns the wall-clock time that is encoded in an incarnation.
kernel::WallTime StartOf(std::uint64_t incarnation);

// An outgoing message that a state machine addresses to another process.
struct Send {
  std::string to;  // Instance name of the receiver.
  Envelope message;
};

}  // namespace radishrudder::wire

#endif  // RADISHRUDDER_WIRE_PROCESS_ID_H_
