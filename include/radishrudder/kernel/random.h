#ifndef RADISHRUDDER_KERNEL_RANDOM_H_
#define RADISHRUDDER_KERNEL_RANDOM_H_

#include <cstdint>

namespace radishrudder::kernel {

// Deterministic pseudorandom number generator (SplitMix64). The same seed gives
// the same sequence on every platform. Not cryptographically secure.
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_state(seed) {}

  // Returns 64 random bits.
  std::uint64_t Next();
  // Returns a uniformly distributed number in [0, bound); `bound` must be
  // positive.
  std::uint64_t Below(std::uint64_t bound);
  // Returns a uniformly distributed number in [0, 1).
  double Uniform();
  // Returns true with the given probability in [0, 1].
  bool Chance(double probability) { return Uniform() < probability; }

 private:
  std::uint64_t m_state;
};

// Returns 64 random bits from the operating system, to seed a `Random`.
std::uint64_t SystemEntropy();

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_RANDOM_H_
