#include "radishrudder/kernel/hash.h"

#include <algorithm>
#include <numeric>

namespace radishrudder::kernel {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

std::uint64_t UpdateFnv1a(std::uint64_t hash, std::string_view text) {
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return hash;
}

// Finalizer of MurmurHash3, which spreads each input bit over the whole hash.
std::uint64_t Finalize(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

}  // namespace

std::uint64_t StableHash(std::string_view text) {
  return Finalize(UpdateFnv1a(kFnvOffsetBasis, text));
}

std::uint64_t StableHash(std::string_view first, std::string_view second) {
  std::uint64_t hash = UpdateFnv1a(kFnvOffsetBasis, first);
  hash = UpdateFnv1a(hash, std::string_view("\0", 1));
  return Finalize(UpdateFnv1a(hash, second));
}

std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> names) {
  std::vector<std::uint64_t> weights;
  weights.reserve(names.size());
  for (const std::string& name : names) {
    weights.push_back(StableHash(key, name));
  }
  std::vector<std::size_t> order(names.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return weights[a] != weights[b] ? weights[a] > weights[b]
                                    : names[a] < names[b];
  });
  return order;
}

}  // namespace radishrudder::kernel
