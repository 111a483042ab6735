#include "radishrudder/kernel/random.h"

#include <random>

namespace radishrudder::kernel {

std::uint64_t Random::Next() {
  m_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = m_state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  // Rejects the values below 2^64 mod `bound`, which would make small results
  // more likely.
  const std::uint64_t rejection_threshold = -bound % bound;
  std::uint64_t value = Next();
  while (value < rejection_threshold) {
    value = Next();
  }
  return value % bound;
}

double Random::Uniform() {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(Next() >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

std::uint64_t SystemEntropy() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32) | device();
}

}  // namespace radishrudder::kernel
