#ifndef RADISHRUDDER_KERNEL_HASH_H_
#define RADISHRUDDER_KERNEL_HASH_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::kernel {

// Returns a 64-bit hash that is the same in every process and build
// (FNV-1a with a final mix). Not for secrets.
std::uint64_t StableHash(std::string_view text);

// Returns a hash of two texts in order, with a separator between them.
std::uint64_t StableHash(std::string_view first, std::string_view second);

// Orders `names` by rendezvous hashing for `key`: every process with the same
// names computes the same order, and removing a name moves only that name.
// Returns indices into `names`, the highest weight first.
std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> names);

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_HASH_H_
