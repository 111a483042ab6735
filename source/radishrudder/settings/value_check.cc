#include "value_check.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace radishrudder::settings {
namespace {

constexpr std::int64_t kMaximumPort = 65'535;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

bool IsPort(std::string_view text) {
  const std::optional<std::int64_t> number = ParseInteger(text);
  return number && *number >= 0 && *number <= kMaximumPort;
}

bool IsIpNumber(int family, std::string_view text) {
  in6_addr address{};
  return inet_pton(family, std::string(text).c_str(), &address) == 1;
}

bool IsBracketedAddress(std::string_view text) {
  const std::size_t close = text.find(']');
  if (close == std::string_view::npos ||
      !IsIpNumber(AF_INET6, text.substr(1, close - 1))) {
    return false;
  }
  const std::string_view rest = text.substr(close + 1);
  return rest.empty() || (rest.front() == ':' && IsPort(rest.substr(1)));
}

bool IsAddress(std::string_view text) {
  if (text.starts_with('[')) {
    return IsBracketedAddress(text);
  }
  if (IsIpNumber(AF_INET6, text)) {
    return true;
  }
  const std::size_t colon = text.find(':');
  if (!IsIpNumber(AF_INET, text.substr(0, colon))) {
    return false;
  }
  return colon == std::string_view::npos || IsPort(text.substr(colon + 1));
}

bool IsAuthority(std::string_view text) {
  const std::size_t bracket = text.find(']');
  const std::size_t from = bracket == std::string_view::npos ? 0 : bracket;
  const std::size_t colon = text.find(':', from);
  const std::string_view host = text.substr(0, colon);
  if (host.empty() || host.find_first_of(" @\t") != std::string_view::npos) {
    return false;
  }
  return colon == std::string_view::npos || IsPort(text.substr(colon + 1));
}

bool IsUrl(std::string_view text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (text.starts_with(scheme)) {
      const std::string_view rest = text.substr(scheme.size());
      return IsAuthority(rest.substr(0, rest.find('/')));
    }
  }
  return false;
}

bool IsChoice(const Option& option, std::string_view value) {
  return option.choices.empty() ||
         std::ranges::find(option.choices, value) != option.choices.end();
}

bool IsInRange(const Option& option, std::string_view value) {
  const std::optional<std::int64_t> number = ParseInteger(value);
  return number && *number >= option.minimum && *number <= option.maximum;
}

std::string Range(const Option& option, std::string_view unit) {
  std::string text = "a whole number";
  text += unit;
  text += " from " + std::to_string(option.minimum);
  if (option.maximum != INT64_MAX) {
    text += " to " + std::to_string(option.maximum);
  }
  return text;
}

std::string Choices(const Option& option) {
  std::string text;
  for (const std::string& choice : option.choices) {
    text += text.empty() ? "" : ", ";
    text += choice;
  }
  return text.empty() ? "a text that is not empty" : text;
}

}  // namespace

bool IsValid(const Option& option, std::string_view value) {
  switch (option.kind) {
    case ValueKind::kText:
      return !value.empty() && IsChoice(option, value);
    case ValueKind::kAddress:
      return IsAddress(value);
    case ValueKind::kUrl:
      return IsUrl(value);
    case ValueKind::kInteger:
    case ValueKind::kMilliseconds:
    case ValueKind::kBytes:
      return IsInRange(option, value);
    case ValueKind::kSwitch:
      return value == "true" || value == "false";
  }
  return false;
}

std::string ValidValues(const Option& option) {
  switch (option.kind) {
    case ValueKind::kText:
      return Choices(option);
    case ValueKind::kAddress:
      return "an IP number, with or without a port, such as 127.0.0.1:8080";
    case ValueKind::kUrl:
      return "a URL such as http://127.0.0.1:8080";
    case ValueKind::kInteger:
      return Range(option, "");
    case ValueKind::kMilliseconds:
      return Range(option, " of milliseconds");
    case ValueKind::kBytes:
      return Range(option, " of bytes");
    case ValueKind::kSwitch:
      return "true or false";
  }
  return {};
}

}  // namespace radishrudder::settings
