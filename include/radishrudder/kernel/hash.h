#ifndef RADISHRUDDER_KERNEL_HASH_H_
#define RADISHRUDDER_KERNEL_HASH_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::kernel {

// Returns a 64-bit hash that is the same in every process and build
// (FNV-1a with the MurmurHash3 finalizer). Not cryptographically secure.
std::uint64_t StableHash(std::string_view text);

// Returns a hash of two texts in order, with a NUL byte between them so that
// moving the boundary between the texts changes the hash.
std::uint64_t StableHash(std::string_view first, std::string_view second);

// Orders `names` by rendezvous hashing for `key`: every process with the same
// names computes the same order, and removing a name leaves the relative order
// of the others unchanged. Returns indices into `names`, the highest weight
// first.
std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> names);

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_HASH_H_
