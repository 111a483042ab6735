#ifndef TESTS_PLATFORM_ODD_ENTRIES_H_
#define TESTS_PLATFORM_ODD_ENTRIES_H_

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace radishrudder::platform {

// The store takes values of at most this size.
inline constexpr std::size_t kMaximumValueBytes = std::size_t{1} << 20U;

// A value of another writer among the entries of the endpoints.
struct OddValue {
  std::string name{};
  // Makes the value, which may be large, for a test that needs it.
  std::function<std::string()> value{};
};

// Prints the name: a value may be large, and no text.
void PrintTo(const OddValue& odd, std::ostream* stream);

// Values of a few bytes: numbers out of range, members of another type or
// missing, addresses without a usable port, and texts that are no JSON. The
// other members are those of a usable endpoint.
std::vector<OddValue> SmallOddValues();

// Values of nearly the maximum size: deeply nested, with many elements or
// members, or with a long text.
std::vector<OddValue> LargeOddValues();

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_ODD_ENTRIES_H_
