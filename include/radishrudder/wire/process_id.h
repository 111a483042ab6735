#ifndef RADISHRUDDER_WIRE_PROCESS_ID_H_
#define RADISHRUDDER_WIRE_PROCESS_ID_H_

#include <compare>
#include <cstdint>
#include <string>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::wire {

// Identity of one run of one process, as an ordinary value.
struct ProcessKey {
  std::string instance;
  std::uint64_t incarnation = 0;

  std::strong_ordering operator<=>(const ProcessKey& other) const;
  bool operator==(const ProcessKey& other) const = default;
};

ProcessKey FromMessage(const ProcessId& message);
ProcessId ToMessage(const ProcessKey& key);

// Draws an incarnation: milliseconds of the wall clock in the upper 44 bits,
// so that later runs are greater while the clock is right, and 20 random bits
// below, so that two runs differ even when it is not.
std::uint64_t DrawIncarnation(kernel::WallTime now, kernel::Random& random);

// Returns the wall-clock start that an incarnation carries.
kernel::WallTime StartOf(std::uint64_t incarnation);

// A message of a state machine to another process.
struct Send {
  std::string to;  // Instance name of the receiver.
  Envelope message;
};

}  // namespace radishrudder::wire

#endif  // RADISHRUDDER_WIRE_PROCESS_ID_H_
