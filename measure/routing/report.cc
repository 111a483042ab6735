#include "measure/routing/report.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace radishrudder::measure {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kChosenPolicy[] = "prefix-affinity";

double Rounded(double value, double digits) {
  const double factor = std::pow(10, digits);
  return std::round(value * factor) / factor;
}

Json InputsOf(const Options& options) {
  return {{"seed", options.seed},
          {"endpoints", options.endpoints},
          {"entries", options.entries},
          {"lag_ms", options.lag_ms},
          {"workspaces", options.workspaces},
          {"gap_percent", options.gap_percent},
          {"shared_percent", options.shared_percent},
          {"load_factor", options.load_factor},
          {"seconds", options.seconds},
          {"published_engine", options.published_engine},
          {"output_spread", options.output_spread},
          {"deadline_ms", options.deadline_ms},
          {"slow_percent", options.slow_percent},
          {"pace_factor", options.pace_factor},
          {"pace_ms", options.pace_ms}};
}

Json FiguresOf(const Figures& figures) {
  return {{"ttft_p50_ms", Rounded(figures.ttft_p50_ms, 0)},
          {"ttft_p95_ms", Rounded(figures.ttft_p95_ms, 0)},
          {"prefix_hit_ratio", Rounded(figures.prefix_hit_ratio, 3)},
          {"imbalance", Rounded(figures.imbalance, 2)},
          {"calls", figures.calls},
          {"share_in_target", Rounded(figures.share_in_target, 4)},
          {"ttft_p99_ms", Rounded(figures.ttft_p99_ms, 0)},
          {"cut_calls", figures.cut_calls},
          {"cost_error_median", Rounded(figures.cost_error_median, 2)},
          {"cost_error_p90", Rounded(figures.cost_error_high, 2)}};
}

Json StateOf(const RouterState& state) {
  return {
      {"endpoints", state.endpoints},
      {"endpoints_followed", state.endpoints_followed},
      {"bytes", state.endpoint_bytes},
      {"bytes_per_endpoint", state.endpoint_bytes / state.endpoints},
      {"bytes_per_endpoint_followed",
       state.endpoint_bytes / state.endpoints_followed},
      {"prefixes", state.prefixes},
      {"prefix_bytes", state.prefix_bytes},
      {"entries", state.entries},
      {"entries_per_endpoint_min", state.fewest_entries},
      {"entries_per_endpoint_max", state.most_entries},
      {"choose_us", Rounded(state.choose_microseconds, 1)},
      {"predicted_choose_us", Rounded(state.predicted_choose_microseconds, 1)},
      {"subset_us", Rounded(state.subset_microseconds, 0)}};
}

// Whether the chosen policy was measured and beats every other one.
bool ChosenIsBest(std::span<const PolicyFigures> policies) {
  const PolicyFigures* chosen = nullptr;
  for (const PolicyFigures& item : policies) {
    if (item.policy == kChosenPolicy) {
      chosen = &item;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  for (const PolicyFigures& item : policies) {
    if (&item != chosen &&
        item.figures.ttft_p95_ms <= chosen->figures.ttft_p95_ms) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string FormatReport(const Options& options,
                         std::span<const PolicyFigures> policies,
                         const std::optional<RouterState>& state) {
  Json report;
  report["measure"] = "routing";
  report["inputs"] = InputsOf(options);
  for (const PolicyFigures& item : policies) {
    report["policies"][item.policy] = FiguresOf(item.figures);
  }
  report["chosen"] = kChosenPolicy;
  if (state) {
    report["router_state"] = StateOf(*state);
  }
  report["targets"] = {{"ttft_p95_ms", "the chosen policy below every other"}};
  report["met"] = ChosenIsBest(policies);
  return report.dump();
}

}  // namespace radishrudder::measure
