#include "radishrudder/kernel/findings.h"

#include <utility>

namespace radishrudder::kernel {

void Findings::Add(Finding finding) {
  m_has_errors = m_has_errors || finding.severity == Severity::kError;
  if (m_items.size() < m_maximum) {
    m_items.push_back(std::move(finding));
  }
}

void Findings::Error(Place place, std::string text, std::string valid) {
  Add({Severity::kError, std::move(place), std::move(text), std::move(valid)});
}

void Findings::Warning(Place place, std::string text, std::string valid) {
  Add({Severity::kWarning, std::move(place), std::move(text),
       std::move(valid)});
}

void Findings::Append(const Findings& other) {
  for (const Finding& finding : other.m_items) {
    Add(finding);
  }
  m_has_errors = m_has_errors || other.m_has_errors;
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
