#ifndef RADISHRUDDER_LOGGING_RECORD_H_
#define RADISHRUDDER_LOGGING_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishrudder::logging {

// A parsed log line. The views refer to the line passed to `ParseRecord`, which
// must outlive the record.
struct Record {
  std::chrono::milliseconds time{0};  // Since 1970, UTC.
  std::string_view level{};
  std::uint32_t number = 0;
  std::string_view name{};
  // Names and values in the order of the line. Quotes are removed from values,
  // escape sequences are kept.
  std::vector<std::pair<std::string_view, std::string_view>> fields{};

  // Returns the value of the first field of that name, or an empty view.
  std::string_view Find(std::string_view field) const;
  // Returns whether any field has exactly this value.
  bool Mentions(std::string_view value) const;
};

// Parses a log line; returns nothing if the line is not a log record.
std::optional<Record> ParseRecord(std::string_view line);

}  // namespace radishrudder::logging

#endif  // RADISHRUDDER_LOGGING_RECORD_H_
