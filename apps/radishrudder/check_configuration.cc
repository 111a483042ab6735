#include <iostream>
#include <optional>
#include <set>
#include <string>

#include "command.h"
#include "configuration_report.h"
#include "files.h"
#include "platform/configuration_text.h"
#include "platform/documents.h"
#include "platform/endpoint_list_file.h"
#include "platform/settings.h"

namespace radishrudder::command_line {
namespace {

// Adds the findings about parts of a file that don't keep it from being used.
void AddWarnings(const std::string& path,
                 const kernel::Findings& found,
                 kernel::Findings& findings) {
  for (const kernel::Finding& finding : found.Items()) {
    kernel::Place place = finding.place;
    place.source = path + ": " + place.source;
    findings.Warning(place, finding.text, finding.valid);
  }
}

// Each reads one of the files that a configuration is checked against. What
// keeps the file from being used is an error in `findings`.
void ReadInForce(const std::string& path,
                 direct::CheckContext& context,
                 kernel::Findings& findings) {
  const std::optional<std::string> text = ReadFile(path, findings);
  if (!text) {
    return;
  }
  kernel::Findings found;
  context.in_force = platform::DecodeConfiguration(*text, found);
  AddWarnings(path, found, findings);
  if (!context.in_force) {
    findings.Error({path, 0, 0, ""}, "is not a configuration",
                   "the configuration in force");
  }
}

void ReadList(const std::string& path,
              direct::CheckContext& context,
              kernel::Findings& findings) {
  const std::optional<std::string> text = ReadFile(path, findings);
  if (!text) {
    return;
  }
  kernel::Findings found;
  context.endpoints = platform::DecodeEndpointList(*text, found);
  AddWarnings(path, found, findings);
  if (!context.endpoints) {
    findings.Error({path, 0, 0, ""}, "is not a list of endpoints",
                   "the store's answer for the prefix servers/");
  }
}

void ReadRegions(const std::string& path,
                 direct::CheckContext& context,
                 kernel::Findings& findings) {
  const std::optional<std::string> text = ReadFile(path, findings);
  if (!text) {
    return;
  }
  const platform::Settings settings =
      platform::ParseSettings(path, *text, findings);
  context.regions.emplace();
  for (const auto& [data_centre, region] : settings.regions) {
    context.regions->insert(region);
  }
}

direct::CheckContext ReadContext(const settings::Values& values,
                                 kernel::Findings& findings) {
  direct::CheckContext context;
  if (const std::string& path = values.Text("in-force"); !path.empty()) {
    ReadInForce(path, context, findings);
  }
  if (const std::string& path = values.Text("list"); !path.empty()) {
    ReadList(path, context, findings);
  }
  if (const std::string& path = values.Text("settings"); !path.empty()) {
    ReadRegions(path, context, findings);
  }
  return context;
}

int Run(const settings::CommandLine& command_line) {
  const std::vector<std::string>& paths = command_line.positional;
  if (paths.size() != 1) {
    return ReportArguments(paths.size(), "FILE, one configuration");
  }
  kernel::Findings findings;
  const direct::CheckContext context =
      ReadContext(command_line.values, findings);
  const std::optional<std::string> text = ReadFile(paths[0], findings);
  std::cerr << kernel::Format(findings);
  if (findings.HasErrors()) {
    return settings::kExitUsage;
  }
  const platform::CheckedConfiguration checked =
      platform::CheckConfigurationText(paths[0], *text, context);
  if (command_line.values.Switch("json")) {
    std::cout << JsonReport(paths[0], checked);
  } else {
    std::cerr << kernel::Format(checked.findings);
    std::cout << TextReport(paths[0], checked, context.in_force.has_value());
  }
  return checked.findings.HasErrors() ? settings::kExitFailure
                                      : settings::kExitSuccess;
}

std::vector<settings::Option> Options() {
  return {
      {.name = "in-force",
       .help = "Path of the configuration in force: report the changes and "
               "their effects."},
      {.name = "list",
       .help = "Path of the list of endpoints, as the store answers for the "
               "prefix servers/."},
      {.name = "settings",
       .help = "Path of an entry's settings file, which names the regions."},
      {.name = "json",
       .kind = settings::ValueKind::kSwitch,
       .help = "Print findings and changes as one JSON object on standard "
               "output."},
  };
}

}  // namespace

Command CheckConfigurationCommand() {
  return {"check-configuration", "FILE",
          "Checks a configuration before it is sent to the entries, and says "
          "what it changes.",
          Options(), Run};
}

}  // namespace radishrudder::command_line
