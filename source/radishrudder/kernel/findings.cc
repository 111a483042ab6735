#include "radishrudder/kernel/findings.h"

#include <algorithm>
#include <utility>

namespace radishrudder::kernel {

void Findings::Error(Place place, std::string text, std::string valid) {
  m_items.push_back(
      {Severity::kError, std::move(place), std::move(text), std::move(valid)});
}

void Findings::Warning(Place place, std::string text, std::string valid) {
  m_items.push_back({Severity::kWarning, std::move(place), std::move(text),
                     std::move(valid)});
}

bool Findings::HasErrors() const {
  return std::any_of(m_items.begin(), m_items.end(), [](const Finding& item) {
    return item.severity == Severity::kError;
  });
}

std::string Format(const Finding& finding) {
  std::string line = finding.place.source;
  if (finding.place.line != 0) {
    line += ":" + std::to_string(finding.place.line) + ":" +
            std::to_string(finding.place.column);
  }
  if (!line.empty()) {
    line += ": ";
  }
  line += finding.severity == Severity::kError ? "error: " : "warning: ";
  line += finding.text;
  if (!finding.place.pointer.empty()) {
    line += " at " + finding.place.pointer;
  }
  if (!finding.valid.empty()) {
    line += "; valid: " + finding.valid;
  }
  return line;
}

std::string Format(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings.Items()) {
    text += Format(finding) + "\n";
  }
  return text;
}

}  // namespace radishrudder::kernel
