#ifndef RADISHRUDDER_KERNEL_NEAREST_H_
#define RADISHRUDDER_KERNEL_NEAREST_H_

#include <cstddef>
#include <span>
#include <string_view>

namespace radishrudder::kernel {

// Returns the number of single-character insertions, deletions, substitutions
// and transpositions of adjacent characters that turn one text into the other
// (optimal string alignment distance).
std::size_t EditDistance(std::string_view first, std::string_view second);

// Returns the element of `names` with the smallest edit distance to `name`,
// ignoring case, or an empty view if `name` is not a likely misspelling of any
// element.
std::string_view Nearest(std::string_view name,
                         std::span<const std::string_view> names);

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_NEAREST_H_
