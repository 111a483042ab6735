#include "report_data.h"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

namespace radishrudder::command_line {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumFindings = 20;
constexpr double kMaximumSeconds = 1e9;
constexpr std::size_t kMaximumLinks = 200;
constexpr std::size_t kMaximumWorkspaces = 100;

// Reads the members of one record and reports those that are not valid.
class RecordReader {
 public:
  RecordReader(std::string_view source,
               std::size_t line,
               const Json& record,
               kernel::Findings& findings)
      : m_source(source),
        m_line(line),
        m_record(record),
        m_findings(findings) {}

  std::string Text(const char* key) {
    const auto found = m_record.find(key);
    if (found != m_record.end() && found->is_string()) {
      return found->get<std::string>();
    }
    Report(key, "a string");
    return {};
  }

  double Seconds(const char* key) {
    const auto found = m_record.find(key);
    if (found != m_record.end() && found->is_number()) {
      const auto value = found->get<double>();
      if (value >= 0 && value <= kMaximumSeconds) {
        return value;
      }
    }
    Report(key, "a number of seconds from 0 to 1000000000");
    return 0;
  }

  std::uint64_t Count(const char* key) {
    const auto found = m_record.find(key);
    if (found != m_record.end() && found->is_number_unsigned()) {
      return found->get<std::uint64_t>();
    }
    Report(key, "a whole number that is not negative");
    return 0;
  }

  bool Good() const { return m_good; }

  void Report(const std::string& key, std::string valid) {
    m_good = false;
    if (m_findings.Items().size() < kMaximumFindings) {
      const auto found = m_record.find(key);
      m_findings.Error(
          {std::string(m_source), m_line, 1, "/" + key},
          found == m_record.end()
              ? "key \"" + key + "\" is missing"
              : found->dump(-1, ' ', true, Json::error_handler_t::replace)
                        .substr(0, 60) +
                    " is not valid",
          std::move(valid));
    }
  }

 private:
  std::string_view m_source;
  std::size_t m_line;
  const Json& m_record;
  kernel::Findings& m_findings;
  bool m_good = true;
};

void AddLink(const LinkBytes& link, RecordReader& reader, RunData& run) {
  const auto found = std::ranges::find(run.links, link.link, &LinkBytes::link);
  if (found != run.links.end()) {
    found->bytes += link.bytes;
  } else if (run.links.size() < kMaximumLinks) {
    run.links.push_back(link);
  } else {
    reader.Report("link", "at most 200 links");
  }
}

void AddLatency(const std::string& workspace,
                double seconds,
                RecordReader& reader,
                RunData& run) {
  const auto found = std::ranges::find(run.workspaces, workspace,
                                       &WorkspaceLatencies::workspace);
  if (found != run.workspaces.end()) {
    found->seconds.push_back(seconds);
  } else if (run.workspaces.size() < kMaximumWorkspaces) {
    run.workspaces.push_back({workspace, {seconds}});
  } else {
    reader.Report("workspace", "at most 100 workspaces");
  }
}

void ReadRecord(RecordReader& reader, RunData& run) {
  const std::string kind = reader.Text("kind");
  if (kind == "run") {
    run.title = reader.Text("title");
    run.bound_seconds = reader.Seconds("bound_seconds");
    run.replicas = reader.Count("replicas");
  } else if (kind == "replicas") {
    run.samples.push_back({reader.Seconds("seconds"), reader.Count("ready")});
  } else if (kind == "link") {
    const LinkBytes link{reader.Text("link"), reader.Count("bytes")};
    if (reader.Good()) {
      AddLink(link, reader, run);
    }
  } else if (kind == "latency") {
    const std::string workspace = reader.Text("workspace");
    const double seconds = reader.Seconds("seconds");
    if (reader.Good()) {
      AddLatency(workspace, seconds, reader, run);
    }
  } else if (reader.Good()) {
    reader.Report("kind", "run, replicas, link, latency");
  }
}

void ReadLine(std::string_view source,
              std::size_t number,
              std::string_view line,
              kernel::Findings& findings,
              RunData& run) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
    return;
  }
  const Json record = Json::parse(line, nullptr, false);
  if (record.is_object()) {
    RecordReader reader(source, number, record, findings);
    ReadRecord(reader, run);
  } else if (findings.Items().size() < kMaximumFindings) {
    findings.Error({std::string(source), number, 1, ""}, "is not a JSON object",
                   "one JSON object a line");
  }
}

}  // namespace

RunData ParseRun(std::string_view source,
                 std::string_view text,
                 kernel::Findings& findings) {
  RunData run;
  std::size_t number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    ReadLine(source, ++number, text.substr(0, end), findings, run);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::ranges::stable_sort(run.samples, {}, &ReplicaSample::seconds);
  std::ranges::sort(run.workspaces, {}, &WorkspaceLatencies::workspace);
  return run;
}

}  // namespace radishrudder::command_line
