#include "report_page.h"

#include <algorithm>
#include <cmath>

#include "status_view.h"
#include "svg_plot.h"

namespace radishrudder::command_line {
namespace {

constexpr char kStyle[] =
    "body{font:14px sans-serif;max-width:760px;margin:2em auto;padding:0 1em}"
    "svg text{font:12px sans-serif}.grid{stroke:#ddd}"
    ".curve{fill:none;stroke:#1661a8;stroke-width:2}.bar{fill:#1661a8}"
    ".bound{stroke:#b03a2e;stroke-width:2;stroke-dasharray:6 4}"
    "td,th{padding:2px 12px 2px 0;text-align:right}"
    "td:first-child,th:first-child{text-align:left}";

// Upper bounds of the histogram's buckets, in seconds.
constexpr double kBuckets[] = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                               0.25,  0.5,    1,     2.5,  5,     10,   30};

std::string Heading(std::string_view text) {
  return "<h2>" + EscapeHtml(text) + "</h2>\n";
}

std::string Paragraph(std::string_view text) {
  return "<p>" + EscapeHtml(text) + "</p>\n";
}

// Returns when the wanted number of replicas was first ready, or a negative
// number.
double TimeToAll(const RunData& run) {
  const auto found =
      std::ranges::find_if(run.samples, [&](const ReplicaSample& sample) {
        return run.replicas > 0 && sample.ready >= run.replicas;
      });
  return found == run.samples.end() ? -1 : found->seconds;
}

std::string TimeSentence(const RunData& run) {
  const double seconds = TimeToAll(run);
  if (seconds < 0) {
    return "The run did not reach the number of replicas wanted (" +
           std::to_string(run.replicas) + ").";
  }
  std::string text = std::to_string(run.replicas) +
                     " replicas were ready after " + ShortNumber(seconds) +
                     " s";
  if (run.bound_seconds > 0) {
    text += ", " + ShortNumber(seconds / run.bound_seconds) +
            " times the fluid bound of " + ShortNumber(run.bound_seconds) +
            " s";
  }
  return text + ".";
}

std::string ReplicaSection(const RunData& run) {
  if (run.samples.empty()) {
    return "";
  }
  StepPlot plot{"Replicas over time", "seconds",    "replicas ready", {},
                run.bound_seconds,    "fluid bound"};
  for (const ReplicaSample& sample : run.samples) {
    plot.points.push_back({sample.seconds, static_cast<double>(sample.ready)});
  }
  return Heading("Replicas over time") + Paragraph(TimeSentence(run)) +
         Render(plot);
}

std::string LinkSection(const RunData& run) {
  if (run.links.empty()) {
    return "";
  }
  BarPlot plot{"Bytes of each link", {}};
  for (const LinkBytes& link : run.links) {
    plot.bars.push_back(
        {link.link, static_cast<double>(link.bytes), Size(link.bytes)});
  }
  return Heading("Bytes of each link") + Render(plot);
}

// `sorted` is not empty.
double QuantileOf(const std::vector<double>& sorted, double probability) {
  const auto rank = static_cast<std::size_t>(
      std::ceil(probability * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

BarPlot Histogram(const WorkspaceLatencies& latencies,
                  const std::vector<double>& sorted) {
  BarPlot plot{"Latencies of " + latencies.workspace, {}};
  auto from = sorted.begin();
  for (const double bound : kBuckets) {
    const auto to = std::upper_bound(from, sorted.end(), bound);
    plot.bars.push_back({"up to " + ShortNumber(bound * 1000) + " ms",
                         static_cast<double>(to - from),
                         std::to_string(to - from)});
    from = to;
  }
  plot.bars.push_back({"longer", static_cast<double>(sorted.end() - from),
                       std::to_string(sorted.end() - from)});
  return plot;
}

std::string LatencySection(const WorkspaceLatencies& latencies) {
  std::vector<double> sorted = latencies.seconds;
  std::ranges::sort(sorted);
  std::string text = std::to_string(sorted.size()) + " calls";
  for (const double probability : {0.5, 0.95, 0.99}) {
    text += "; quantile " + ShortNumber(probability) + ": " +
            ShortNumber(QuantileOf(sorted, probability) * 1000) + " ms";
  }
  return Heading("Latencies of workspace " + latencies.workspace) +
         Paragraph(text + ".") + Render(Histogram(latencies, sorted));
}

}  // namespace

std::string RenderReport(const RunData& run) {
  const std::string title = EscapeHtml(run.title.empty() ? "Run" : run.title);
  std::string page =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>" +
      title + "</title><style>" + kStyle + "</style></head><body>\n<h1>" +
      title + "</h1>\n";
  page += ReplicaSection(run);
  page += LinkSection(run);
  for (const WorkspaceLatencies& latencies : run.workspaces) {
    page += LatencySection(latencies);
  }
  return page + "</body></html>\n";
}

}  // namespace radishrudder::command_line
