#include "measure/routing/options.h"

#include <cxxopts.hpp>
#include <iostream>

#include "radishrudder/kernel/findings.h"
#include "radishrudder/routing/built_in_policies.h"
#include "radishrudder/routing/policy.h"

namespace radishrudder::measure {
namespace {

cxxopts::Options Declare() {
  cxxopts::Options options("measure_routing",
                           "Compares the routing policies in virtual time.");
  const Options defaults;
  const auto number = [](auto value) {
    return cxxopts::value<decltype(value)>()->default_value(
        std::to_string(value));
  };
  options.add_options()("seed", "seed of all random numbers",
                        number(defaults.seed))(
      "endpoints", "engines in three data centres", number(defaults.endpoints))(
      "entries", "entries, each with a router", number(defaults.entries))(
      "lag-ms", "mean age of a load report", number(defaults.lag_ms))(
      "workspaces", "workspaces of skewed sizes", number(defaults.workspaces))(
      "gap-percent", "cache event messages that are lost",
      number(defaults.gap_percent))("shared-percent",
                                    "calls whose prompt prefix others share",
                                    number(defaults.shared_percent))(
      "load-factor", "rate over that of the engines with half cached",
      number(defaults.load_factor))("seconds", "virtual time measured",
                                    number(defaults.seconds))(
      "published-engine", "published figures, no prefix cache")(
      "output-spread", "deviation of ln(answer / estimate)",
      number(defaults.output_spread))("deadline-ms", "calls are cut after it",
                                      number(defaults.deadline_ms))(
      "slow-percent", "endpoints that are slow at a time",
      number(defaults.slow_percent))("pace-factor", "how slow they are",
                                     number(defaults.pace_factor))(
      "pace-ms", "time until slow endpoints are drawn again",
      number(defaults.pace_ms))("skip-router-state",
                                "do not measure a large router")(
      "policy", "policies to compare instead of all",
      cxxopts::value<std::vector<std::string>>())("help", "print this");
  return options;
}

void CheckPositive(const std::string& flag,
                   double value,
                   kernel::Findings& findings) {
  if (!(value > 0)) {
    findings.Error({flag, 0, 0, {}}, "not above 0", "a number above 0");
  }
}

void CheckPercent(const std::string& flag,
                  double value,
                  kernel::Findings& findings) {
  if (!(value >= 0 && value <= 100)) {
    findings.Error({flag, 0, 0, {}}, "out of range", "0 to 100");
  }
}

void Check(const Options& options, kernel::Findings& findings) {
  CheckPositive("--endpoints", options.endpoints, findings);
  CheckPositive("--entries", options.entries, findings);
  CheckPositive("--lag-ms", options.lag_ms, findings);
  CheckPositive("--workspaces", options.workspaces, findings);
  CheckPositive("--load-factor", options.load_factor, findings);
  CheckPositive("--seconds", options.seconds, findings);
  CheckPercent("--gap-percent", options.gap_percent, findings);
  CheckPercent("--shared-percent", options.shared_percent, findings);
  CheckPositive("--output-spread", options.output_spread, findings);
  CheckPositive("--deadline-ms", options.deadline_ms, findings);
  CheckPercent("--slow-percent", options.slow_percent, findings);
  CheckPositive("--pace-factor", options.pace_factor, findings);
  CheckPositive("--pace-ms", options.pace_ms, findings);
  std::string names;
  for (const std::string& name : routing::PolicyRegistry::Instance().Names()) {
    names += (names.empty() ? "" : ", ") + name;
  }
  for (const std::string& name : options.policies) {
    if (!routing::PolicyRegistry::Instance().Find(RegisteredName(name))) {
      findings.Error({"--policy", 0, 0, {}}, "no policy \"" + name + "\"",
                     names);
    }
  }
}

Options Read(const cxxopts::ParseResult& result) {
  Options options;
  options.seed = result["seed"].as<std::uint64_t>();
  options.endpoints = result["endpoints"].as<std::uint32_t>();
  options.entries = result["entries"].as<std::uint32_t>();
  options.lag_ms = result["lag-ms"].as<std::uint32_t>();
  options.workspaces = result["workspaces"].as<std::uint32_t>();
  options.gap_percent = result["gap-percent"].as<double>();
  options.shared_percent = result["shared-percent"].as<double>();
  options.load_factor = result["load-factor"].as<double>();
  options.seconds = result["seconds"].as<double>();
  options.published_engine = result.count("published-engine") > 0;
  options.output_spread = result["output-spread"].as<double>();
  options.deadline_ms = result["deadline-ms"].as<std::uint32_t>();
  options.slow_percent = result["slow-percent"].as<double>();
  options.pace_factor = result["pace-factor"].as<double>();
  options.pace_ms = result["pace-ms"].as<std::uint32_t>();
  options.router_state = result.count("skip-router-state") == 0;
  if (result.count("policy") > 0) {
    options.policies = result["policy"].as<std::vector<std::string>>();
  }
  return options;
}

}  // namespace

std::string_view RegisteredName(std::string_view policy) {
  if (policy.ends_with(kExactSuffix)) {
    policy.remove_suffix(kExactSuffix.size());
  }
  return policy;
}

std::optional<Options> ParseOptions(int argc, char** argv) {
  routing::RegisterBuiltInPolicies();
  cxxopts::Options declared = Declare();
  try {
    const cxxopts::ParseResult result = declared.parse(argc, argv);
    if (result.count("help") > 0) {
      std::cerr << declared.help();
      return std::nullopt;
    }
    Options options = Read(result);
    kernel::Findings findings;
    Check(options, findings);
    if (!findings.HasErrors()) {
      return options;
    }
    std::cerr << kernel::Format(findings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << declared.help();
  }
  return std::nullopt;
}

}  // namespace radishrudder::measure
