#include "radishrudder/wire/process_id.h"

#include <chrono>
#include <tuple>

namespace radishrudder::wire {
namespace {

constexpr int kRandomBitCount = 20;

}  // namespace

std::strong_ordering ProcessKey::operator<=>(const ProcessKey& other) const {
  return std::tie(instance, incarnation) <=>
         std::tie(other.instance, other.incarnation);
}

ProcessKey FromMessage(const ProcessId& message) {
  return {message.instance(), message.incarnation()};
}

ProcessId ToMessage(const ProcessKey& key) {
  ProcessId message;
  message.set_instance(key.instance);
  message.set_incarnation(key.incarnation);
  return message;
}

std::uint64_t DrawIncarnation(kernel::WallTime now, kernel::Random& random) {
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch());
  const auto milliseconds = static_cast<std::uint64_t>(since_epoch.count());
  return (milliseconds << kRandomBitCount) |
         random.Below(std::uint64_t{1} << kRandomBitCount);
}

kernel::WallTime StartOf(std::uint64_t incarnation) {
  const std::chrono::milliseconds since_epoch(incarnation >> kRandomBitCount);
  return kernel::WallTime(since_epoch);
}

}  // namespace radishrudder::wire
