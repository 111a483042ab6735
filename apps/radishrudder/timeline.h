#ifndef RADISHRUDDER_APPS_RADISHRUDDER_TIMELINE_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_TIMELINE_H_

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/logging/record.h"

namespace radishrudder::command_line {

// The logs of several processes, and what they say of one call.
class Timeline {
 public:
  // Adds the log of one process; lines that are no records are counted.
  void Add(std::string name, std::string_view text);
  std::size_t OtherLines() const { return m_other_lines; }

  // Whether any record has this id.
  bool Knows(std::string_view id) const;
  // The records about the call, and before and between them those of the same
  // processes about what they believed and those of all about the endpoints
  // it went to. One line each, in order of time.
  std::string Describe(std::string_view id) const;
  // How far each process's clock is from that of the first, as far as the same
  // news tells; empty if all are near. One line each.
  std::string DescribeClocks() const;

 private:
  struct Line {
    std::string text;
    logging::Record record;  // Views into `text`.
    std::size_t log = 0;
  };

  std::vector<std::string> m_names;
  std::deque<Line> m_lines;  // Never moved.
  std::size_t m_other_lines = 0;
};

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_TIMELINE_H_
