#ifndef RADISHRUDDER_KERNEL_FINDINGS_H_
#define RADISHRUDDER_KERNEL_FINDINGS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::kernel {

// Where in the user's own text a finding lies.
struct Place {
  std::string source;    // File name, flag, variable or message name.
  std::size_t line = 0;  // From 1; 0 when there are no lines.
  std::size_t column = 0;
  std::string pointer;  // JSON pointer, or empty.
};

enum class Severity { kWarning, kError };

// One thing wrong with the user's input.
struct Finding {
  Severity severity = Severity::kError;
  Place place;
  std::string text;   // What is wrong, naming the user's own value.
  std::string valid;  // What would be valid.
};

// Collects findings so that all are reported together.
class Findings {
 public:
  void Error(Place place, std::string text, std::string valid);
  void Warning(Place place, std::string text, std::string valid);

  bool HasErrors() const;
  bool Empty() const { return m_items.empty(); }
  std::span<const Finding> Items() const { return m_items; }

 private:
  std::vector<Finding> m_items;
};

// Formats one finding on one line:
// "source:line:column: error: text at /pointer; valid: ...".
std::string Format(const Finding& finding);

// Formats all findings, one a line.
std::string Format(const Findings& findings);

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_FINDINGS_H_
