#include "radishrudder/calls/idempotency_key.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace radishrudder::calls {

namespace {

constexpr std::string_view kPrefix = "rr1-";
constexpr std::size_t kNumberDigits = 16;
constexpr std::size_t kMaximumKeyLength = 512;

void AppendNumber(std::string& text, std::uint64_t number) {
  std::array<char, kNumberDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(number));
  text += digits.data();
  text += '-';
}

// Parses one number and its separator and removes them from `text`.
std::optional<std::uint64_t> TakeNumber(std::string_view& text) {
  if (text.size() <= kNumberDigits || text[kNumberDigits] != '-') {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const end = text.data() + kNumberDigits;
  const auto result = std::from_chars(text.data(), end, number, 16);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  text.remove_prefix(kNumberDigits + 1);
  return number;
}

}  // namespace

std::string Format(const IdempotencyKey& key) {
  const auto expires = std::chrono::duration_cast<std::chrono::milliseconds>(
      key.expires.time_since_epoch());
  std::string text(kPrefix);
  AppendNumber(text, key.agent.incarnation);
  AppendNumber(text, static_cast<std::uint64_t>(expires.count()));
  AppendNumber(text, key.nonce);
  return text + key.agent.instance;
}

std::optional<IdempotencyKey> ParseIdempotencyKey(std::string_view text) {
  if (!text.starts_with(kPrefix) || text.size() > kMaximumKeyLength) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  const auto incarnation = TakeNumber(text);
  const auto expires = incarnation ? TakeNumber(text) : std::nullopt;
  const auto nonce = expires ? TakeNumber(text) : std::nullopt;
  constexpr std::uint64_t kLatestMilliseconds = 1ULL << 43U;
  if (!nonce || text.empty() || *expires > kLatestMilliseconds) {
    return std::nullopt;
  }
  return IdempotencyKey{
      .agent = {.instance = std::string(text), .incarnation = *incarnation},
      .expires = kernel::Time(std::chrono::milliseconds(*expires)),
      .nonce = *nonce};
}

}  // namespace radishrudder::calls
