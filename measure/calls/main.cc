#include <algorithm>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "simulation.h"
#include "tests/histories/world.h"

namespace radishrudder::measure {
namespace {

constexpr double kGoodputTarget = 0.9;
constexpr double kAttemptsTarget = 1.1;
constexpr double kFairShareTarget = 0.95;

struct Violations {
  int run_twice = 0;
  int false_not_run = 0;
  int mixed_answers = 0;
  int wrong_answers = 0;
};

Violations RunHistories(std::uint64_t seed, int count) {
  document::ServiceDocument document;
  document.service = "shop-api";
  document.kind = document::ServiceKind::kPlain;
  document.calls.timeout = std::chrono::seconds(2);
  document.calls.endpoint_concurrency = 3;
  Violations found;
  for (int i = 0; i < count; ++i) {
    histories::Simulation<calls::EntryCore, calls::AgentGate> simulation(
        histories::DrawFaults(seed * 1'000'000 + i), document);
    for (const auto& violation : histories::Check(simulation.Run())) {
      found.run_twice += violation.rule == histories::Rule::kAtMostOnce;
      found.false_not_run +=
          violation.rule == histories::Rule::kNotRunOutcomeIsCorrect;
      found.mixed_answers += violation.rule == histories::Rule::kSingleDigest;
      found.wrong_answers +=
          violation.rule == histories::Rule::kCompleteAnswerOfSameOperation;
    }
  }
  return found;
}

double Goodput(const Load& load) {
  const Figures figures = Simulation(load).Run();
  return static_cast<double>(figures.answered) / figures.seconds;
}

// Smallest share of what it is due that a workspace beside the flooding one
// got: its fair share, or all of its calls if they are fewer.
double FairShareKept(Load load, double flood) {
  load.load_factor = 1.2;
  load.flood = flood;
  // Long enough that chance makes little of the smallest share.
  load.duration = std::chrono::seconds(200);
  Simulation simulation(load);
  const double share = simulation.Capacity() / load.workspaces *
                       std::chrono::duration<double>(load.duration).count();
  const Figures figures = simulation.Run();
  double kept = 1;
  for (int i = 1; i < load.workspaces; ++i) {
    const double due =
        std::min(share, static_cast<double>(figures.calls_by_workspace[i]));
    kept = std::min(
        kept, static_cast<double>(figures.answered_by_workspace[i]) / due);
  }
  return kept;
}

double AttemptsPerCall(Load load) {
  load.load_factor = 0.5;
  load.all_failing = true;
  const Figures figures = Simulation(load).Run();
  return static_cast<double>(figures.attempts) /
         static_cast<double>(figures.calls);
}

nlohmann::json Measure(const Load& load,
                       double factor,
                       double flood,
                       int histories) {
  Load at_capacity = load;
  at_capacity.load_factor = 1;
  Load overloaded = load;
  overloaded.load_factor = factor;
  std::cerr << "goodput at capacity and at " << factor << " times it\n";
  const double goodput_at_capacity = Goodput(at_capacity);
  const double goodput_ratio = Goodput(overloaded) / goodput_at_capacity;
  std::cerr << "shares beside a flooding workspace\n";
  const double kept = FairShareKept(load, flood);
  std::cerr << "attempts with every endpoint failing\n";
  const double attempts = AttemptsPerCall(load);
  std::cerr << histories << " histories\n";
  const Violations found = RunHistories(load.seed, histories);
  const int wrong = found.run_twice + found.false_not_run +
                    found.mixed_answers + found.wrong_answers;
  return {{"goodput_at_capacity_per_s", goodput_at_capacity},
          {"goodput_ratio", goodput_ratio},
          {"fair_share_kept", kept},
          {"attempts_per_call", attempts},
          {"histories", histories},
          {"run_twice", found.run_twice},
          {"false_not_run", found.false_not_run},
          {"mixed_answers", found.mixed_answers},
          {"wrong_answers", found.wrong_answers},
          // Needs the daemons; this program has only their cores.
          {"overhead_p99_ms", nullptr},
          {"targets",
           {{"goodput_ratio", kGoodputTarget},
            {"fair_share_kept", kFairShareTarget},
            {"attempts_per_call", kAttemptsTarget},
            {"violations", 0}}},
          {"met", goodput_ratio >= kGoodputTarget && kept >= kFairShareTarget &&
                      attempts <= kAttemptsTarget && wrong == 0}};
}

int Main(int argc, char** argv) {
  cxxopts::Options options("measure_calls", "Measures calls on real cores.");
  options.add_options()("seed", "",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "endpoints", "", cxxopts::value<int>()->default_value("16"))(
      "entries", "", cxxopts::value<int>()->default_value("3"))(
      "load-factor", "", cxxopts::value<double>()->default_value("2"))(
      "kill-percent", "", cxxopts::value<int>()->default_value("0"))(
      "flood", "Load of the flooding workspace over its share",
      cxxopts::value<double>()->default_value("20"))(
      "histories", "", cxxopts::value<int>()->default_value("500"));
  const auto values = options.parse(argc, argv);
  Load load;
  load.seed = values["seed"].as<std::uint64_t>();
  load.endpoints = values["endpoints"].as<int>();
  load.entries = values["entries"].as<int>();
  load.kill_percent = values["kill-percent"].as<int>();
  const double factor = values["load-factor"].as<double>();
  const double flood = values["flood"].as<double>();
  nlohmann::json line =
      Measure(load, factor, flood, values["histories"].as<int>());
  line["seed"] = load.seed;
  line["endpoints"] = load.endpoints;
  line["entries"] = load.entries;
  line["kill_percent"] = load.kill_percent;
  line["load_factor"] = factor;
  line["flood"] = flood;
  std::cout << line.dump() << '\n';
  return 0;
}

}  // namespace
}  // namespace radishrudder::measure

int main(int argc, char** argv) {
  try {
    return radishrudder::measure::Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "measure_calls: " << error.what() << '\n';
    return 2;
  }
}
