#include "radishrudder/kernel/nearest.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace radishrudder::kernel {
namespace {

// Bounds the cost of the edit distance, as the name is the user's input.
constexpr std::size_t kMaximumNameLength = 64;

std::string ToLower(std::string_view text) {
  std::string lowercase(text);
  std::ranges::transform(lowercase, lowercase.begin(),
                         [](unsigned char character) {
                           return static_cast<char>(std::tolower(character));
                         });
  return lowercase;
}

}  // namespace

std::size_t EditDistance(std::string_view first, std::string_view second) {
  std::vector<std::size_t> row_before_previous;
  std::vector<std::size_t> previous_row(second.size() + 1);
  std::iota(previous_row.begin(), previous_row.end(), std::size_t{0});
  for (std::size_t i = 0; i < first.size(); ++i) {
    std::vector<std::size_t> current_row{i + 1};
    for (std::size_t j = 0; j < second.size(); ++j) {
      const std::size_t substitution_cost =
          previous_row[j] + (first[i] == second[j] ? 0 : 1);
      current_row.push_back(std::min(
          {substitution_cost, current_row[j] + 1, previous_row[j + 1] + 1}));
      if (i > 0 && j > 0 && first[i] == second[j - 1] &&
          first[i - 1] == second[j]) {
        current_row.back() =
            std::min(current_row.back(), row_before_previous[j - 1] + 1);
      }
    }
    row_before_previous = std::exchange(previous_row, std::move(current_row));
  }
  return previous_row.back();
}

std::string_view Nearest(std::string_view name,
                         std::span<const std::string_view> names) {
  if (name.size() > kMaximumNameLength) {
    return {};
  }
  const std::string lowercase = ToLower(name);
  std::string_view closest;
  // A likely misspelling differs in at most a third of the characters, and in
  // one character for short names.
  std::size_t closest_distance = std::max<std::size_t>(name.size() / 3, 1) + 1;
  for (const std::string_view candidate : names) {
    const std::size_t distance = EditDistance(lowercase, ToLower(candidate));
    if (distance < closest_distance) {
      closest = candidate;
      closest_distance = distance;
    }
  }
  return closest;
}

}  // namespace radishrudder::kernel
