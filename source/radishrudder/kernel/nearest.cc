#include "radishrudder/kernel/nearest.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace radishrudder::kernel {
namespace {

constexpr std::size_t kMaximumNameLength = 64;

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return lower;
}

}  // namespace

std::size_t EditDistance(std::string_view first, std::string_view second) {
  std::vector<std::size_t> before_last;
  std::vector<std::size_t> last(second.size() + 1);
  std::iota(last.begin(), last.end(), std::size_t{0});
  for (std::size_t i = 0; i < first.size(); ++i) {
    std::vector<std::size_t> row{i + 1};
    for (std::size_t j = 0; j < second.size(); ++j) {
      const std::size_t replaced = last[j] + (first[i] == second[j] ? 0 : 1);
      row.push_back(std::min({replaced, row[j] + 1, last[j + 1] + 1}));
      if (i > 0 && j > 0 && first[i] == second[j - 1] &&
          first[i - 1] == second[j]) {
        row.back() = std::min(row.back(), before_last[j - 1] + 1);
      }
    }
    before_last = std::exchange(last, std::move(row));
  }
  return last.back();
}

std::string_view Nearest(std::string_view name,
                         std::span<const std::string_view> names) {
  if (name.size() > kMaximumNameLength) {
    return {};
  }
  const std::string lower = ToLower(name);
  std::string_view best;
  // A likely misspelling changes at most a third of the letters.
  std::size_t best_distance = std::max<std::size_t>(name.size() / 3, 1) + 1;
  for (const std::string_view candidate : names) {
    const std::size_t distance = EditDistance(lower, ToLower(candidate));
    if (distance < best_distance) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

}  // namespace radishrudder::kernel
