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

// One line of a log, as it was written. The views are into that line.
struct Record {
  std::chrono::milliseconds time{0};  // Since 1970, UTC.
  std::string_view level{};
  std::uint32_t number = 0;
  std::string_view name{};
  // Values without their quotes; escapes stay as written.
  std::vector<std::pair<std::string_view, std::string_view>> fields{};

  // Returns a field's value, or an empty view.
  std::string_view Find(std::string_view field) const;
  // Whether any field has exactly this value.
  bool Mentions(std::string_view value) const;
};

// Returns the record of a line, or nothing if the line is none.
std::optional<Record> ParseRecord(std::string_view line);

}  // namespace radishrudder::logging

#endif  // RADISHRUDDER_LOGGING_RECORD_H_
