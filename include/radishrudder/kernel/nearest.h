#ifndef RADISHRUDDER_KERNEL_NEAREST_H_
#define RADISHRUDDER_KERNEL_NEAREST_H_

#include <cstddef>
#include <span>
#include <string_view>

namespace radishrudder::kernel {

// Returns the number of single-character insertions, deletions, replacements
// and swaps of neighbours between two texts (optimal string alignment).
std::size_t EditDistance(std::string_view first, std::string_view second);

// Returns the element of `names` nearest to `name`, ignoring case, or an
// empty view when none is near enough to be a likely misspelling.
std::string_view Nearest(std::string_view name,
                         std::span<const std::string_view> names);

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_NEAREST_H_
