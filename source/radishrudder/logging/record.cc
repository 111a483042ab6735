#include "radishrudder/logging/record.h"

#include <algorithm>
#include <charconv>

namespace radishrudder::logging {
namespace {

// Removes the next word and the space after it from the front of `text`;
// returns the word.
std::string_view ConsumeWord(std::string_view& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  const std::string_view word = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return word;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

// Parses a UTC time of the form 2026-01-02T03:04:05.678Z.
std::optional<std::chrono::milliseconds> ParseTime(std::string_view text) {
  constexpr std::string_view kFormat = "0000-00-00T00:00:00.000Z";
  if (text.size() != kFormat.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kFormat.size(); ++i) {
    if (kFormat[i] != '0' && text[i] != kFormat[i]) {
      return std::nullopt;
    }
  }
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
  const bool all_numeric = ParseNumber(text.substr(0, 4), year) &&
                           ParseNumber(text.substr(5, 2), month) &&
                           ParseNumber(text.substr(8, 2), day) &&
                           ParseNumber(text.substr(11, 2), hour) &&
                           ParseNumber(text.substr(14, 2), minute) &&
                           ParseNumber(text.substr(17, 2), second) &&
                           ParseNumber(text.substr(20, 3), millisecond);
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!all_numeric || !date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date).time_since_epoch() +
         std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second) + std::chrono::milliseconds(millisecond);
}

// Removes a quoted value and the space after it from the front of `text`;
// returns the value without its quotes, or nothing if the closing quote is
// missing.
std::optional<std::string_view> ConsumeQuotedValue(std::string_view& text) {
  for (std::size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      const std::string_view value = text.substr(1, i - 1);
      text.remove_prefix(std::min(i + 2, text.size()));
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string_view Record::Find(std::string_view field) const {
  for (const auto& [name, value] : fields) {
    if (name == field) {
      return value;
    }
  }
  return {};
}

bool Record::Mentions(std::string_view value) const {
  return std::ranges::any_of(
      fields, [value](const auto& field) { return field.second == value; });
}

std::optional<Record> ParseRecord(std::string_view line) {
  Record record;
  const auto time = ParseTime(ConsumeWord(line));
  if (!time) {
    return std::nullopt;
  }
  record.time = *time;
  record.level = ConsumeWord(line);
  if (!ParseNumber(ConsumeWord(line), record.number)) {
    return std::nullopt;
  }
  record.name = ConsumeWord(line);
  while (!line.empty()) {
    const std::size_t equals_sign = line.find('=');
    if (equals_sign == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view name = line.substr(0, equals_sign);
    line.remove_prefix(equals_sign + 1);
    if (line.starts_with('"')) {
      const auto value = ConsumeQuotedValue(line);
      if (!value) {
        return std::nullopt;  // The line is truncated.
      }
      record.fields.emplace_back(name, *value);
    } else {
      record.fields.emplace_back(name, ConsumeWord(line));
    }
  }
  return record;
}

}  // namespace radishrudder::logging
