#include "configuration_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishrudder::command_line {
namespace {

using Json = nlohmann::json;

const char* Name(direct::ChangeKind kind) {
  switch (kind) {
    case direct::ChangeKind::kAdded:
      return "added";
    case direct::ChangeKind::kRemoved:
      return "removed";
    case direct::ChangeKind::kChanged:
      return "changed";
  }
  return "";
}

const char* Name(kernel::Severity severity) {
  return severity == kernel::Severity::kError ? "error" : "warning";
}

std::size_t Count(const kernel::Findings& findings, kernel::Severity severity) {
  return static_cast<std::size_t>(std::ranges::count(
      findings.Items(), severity, &kernel::Finding::severity));
}

std::string Line(const direct::ConfigurationChange& change) {
  return std::string(Name(change.kind)) + " " + change.subject +
         (change.detail.empty() ? "" : ", " + change.detail) + ": " +
         change.effect + "\n";
}

}  // namespace

std::string TextReport(const std::string& path,
                       const platform::CheckedConfiguration& checked,
                       bool compared) {
  std::string text;
  for (const direct::ConfigurationChange& change : checked.changes) {
    text += Line(change);
  }
  if (compared && checked.configuration && checked.changes.empty()) {
    text += "Nothing changes for callers.\n";
  }
  text += path + ": ";
  text += checked.configuration
              ? "version " + std::to_string(checked.configuration->version)
              : "unreadable";
  return text + ", errors: " +
         std::to_string(Count(checked.findings, kernel::Severity::kError)) +
         ", warnings: " +
         std::to_string(Count(checked.findings, kernel::Severity::kWarning)) +
         "\n";
}

std::string JsonReport(const std::string& path,
                       const platform::CheckedConfiguration& checked) {
  Json report = {{"file", path},
                 {"version", nullptr},
                 {"findings", Json::array()},
                 {"changes", Json::array()}};
  if (checked.configuration) {
    report["version"] = checked.configuration->version;
  }
  for (const kernel::Finding& finding : checked.findings.Items()) {
    report["findings"].push_back({{"severity", Name(finding.severity)},
                                  {"source", finding.place.source},
                                  {"pointer", finding.place.pointer},
                                  {"text", finding.text},
                                  {"valid", finding.valid}});
  }
  for (const direct::ConfigurationChange& change : checked.changes) {
    report["changes"].push_back({{"kind", Name(change.kind)},
                                 {"subject", change.subject},
                                 {"detail", change.detail},
                                 {"effect", change.effect}});
  }
  // File names need not be UTF-8.
  return report.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace radishrudder::command_line
