#ifndef RADISHRUDDER_KERNEL_FINDINGS_H_
#define RADISHRUDDER_KERNEL_FINDINGS_H_

#include <cstddef>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::kernel {

// Position in the user's input to which a finding refers.
struct Place {
  std::string source;      // File name, flag, variable or message name.
  std::size_t line = 0;    // From 1; 0 if the source has no lines.
  std::size_t column = 0;  // From 1; only used with a line.
  std::string pointer;     // JSON pointer to the value, or empty.
};

enum class Severity { kWarning, kError };

// An error or a warning about the user's input.
struct Finding {
  Severity severity = Severity::kError;
  Place place;
  std::string text;   // The problem, quoting the value as given.
  std::string valid;  // Description of the valid values, or empty.
};

// Collects findings, so that one report shows all of them.
class Findings {
 public:
  Findings() = default;
  // Keeps the first `maximum` findings. Bounds what a document of unknown
  // origin takes of the memory and the log.
  explicit Findings(std::size_t maximum) : m_maximum(maximum) {}

  void Error(Place place, std::string text, std::string valid);
  void Warning(Place place, std::string text, std::string valid);
  // Adds the findings that `other` has kept.
  void Append(const Findings& other);

  // Also of findings that were not kept.
  bool HasErrors() const { return m_has_errors; }
  bool Empty() const { return m_items.empty(); }
  std::span<const Finding> Items() const { return m_items; }

 private:
  void Add(Finding finding);

  std::size_t m_maximum = std::numeric_limits<std::size_t>::max();
  std::vector<Finding> m_items;
  bool m_has_errors = false;
};

// Formats a finding as one line without a line break:
// "source:line:column: error: text at /pointer; valid: ...". Empty parts and
// a line of 0 are omitted.
std::string Format(const Finding& finding);

// Formats all findings, one per line, each with a line break.
std::string Format(const Findings& findings);

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_FINDINGS_H_
