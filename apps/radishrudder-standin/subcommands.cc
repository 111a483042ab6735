#include "subcommands.h"

#include "configuration.h"
#include "engine.h"
#include "file_source.h"
#include "instances.h"
#include "plain.h"

namespace radishrudder::standin {
namespace {

using settings::Option;
using settings::ValueKind;
using settings::Values;

constexpr std::int64_t kMaximumRate = 1'000'000'000'000;

Option Integer(std::string name,
               std::string help,
               std::string default_value,
               std::int64_t minimum,
               std::int64_t maximum) {
  return {.name = std::move(name),
          .kind = ValueKind::kInteger,
          .help = std::move(help),
          .default_value = std::move(default_value),
          .minimum = minimum,
          .maximum = maximum};
}

std::vector<Option> SourceOptions() {
  return {{.name = "directory",
           .help = "Folder of the weights and their *.manifest.json files.",
           .required = true},
          Integer("bytes-per-second", "Rate of the link; 0 is no limit.", "0",
                  0, kMaximumRate),
          Integer("seed", "Seed of the corrupted answers.", "1", 0, INT64_MAX)};
}

std::vector<Option> StoreOptions() {
  auto options = SourceOptions();
  options.push_back(Integer("requests-per-second",
                            "Requests beyond this are answered 429; 0 is no "
                            "limit.",
                            "0", 0, kMaximumRate));
  return options;
}

FileSourceSettings SourceSettings(const Values& values) {
  return {.directory = values.Text("directory"),
          .bytes_per_second =
              static_cast<double>(values.Integer("bytes-per-second")),
          .seed = static_cast<std::uint64_t>(values.Integer("seed"))};
}

std::unique_ptr<StandIn> MakeOrigin(const Values& values,
                                    Scheduler& scheduler) {
  return std::make_unique<FileSource>(scheduler, SourceSettings(values));
}

std::unique_ptr<StandIn> MakeStore(const Values& values, Scheduler& scheduler) {
  FileSourceSettings settings = SourceSettings(values);
  settings.requests_per_second =
      static_cast<double>(values.Integer("requests-per-second"));
  return std::make_unique<FileSource>(scheduler, settings);
}

Option ExecutionsFile() {
  return {.name = "executions-file",
          .help = "File to which each execution is appended when it begins."};
}

std::vector<Option> EngineOptions() {
  constexpr std::int64_t kMaximumSlots = 4096;
  constexpr std::int64_t kMaximumTokenRate = 100'000;
  constexpr std::int64_t kMaximumLoad = 600'000;
  return {Integer("slots", "Answers generated at once.", "8", 1, kMaximumSlots),
          Integer("tokens-per-second", "Tokens a second of each answer.", "50",
                  1, kMaximumTokenRate),
          {.name = "checks-fence",
           .help = "Whether orders with an old fence are refused.",
           .default_value = "true",
           .choices = {"true", "false"}},
          Integer("load-milliseconds", "Time that a load takes.", "100", 0,
                  kMaximumLoad),
          ExecutionsFile()};
}

std::unique_ptr<StandIn> MakeEngine(const Values& values,
                                    Scheduler& scheduler) {
  return std::make_unique<Engine>(
      scheduler,
      EngineSettings{.slots = static_cast<std::size_t>(values.Integer("slots")),
                     .tokens_per_second = static_cast<double>(
                         values.Integer("tokens-per-second")),
                     .checks_fence = values.Text("checks-fence") == "true",
                     .load_time = std::chrono::milliseconds(
                         values.Integer("load-milliseconds")),
                     .executions_file = values.Text("executions-file")});
}

}  // namespace

std::vector<Subcommand> AllSubcommands() {
  return {
      {"configuration",
       "Stand-in for the configuration service: documents with revisions.",
       {},
       [](const Values&, Scheduler& scheduler) {
         return std::make_unique<Configuration>(scheduler);
       }},
      {"instances",
       "Stand-in for the instance list.",
       {},
       [](const Values&, Scheduler& scheduler) {
         return std::make_unique<Instances>(scheduler);
       }},
      {"origin", "Stand-in for the origin of weights.", SourceOptions(),
       MakeOrigin},
      {"store", "Stand-in for the weight store.", StoreOptions(), MakeStore},
      {"engine", "Stand-in for a model engine.", EngineOptions(), MakeEngine},
      {"plain",
       "Stand-in for a plain service.",
       {Integer("seed", "Seed of the failing answers.", "1", 0, INT64_MAX),
        ExecutionsFile()},
       [](const Values& values, Scheduler& scheduler) {
         return std::make_unique<Plain>(
             scheduler, static_cast<std::uint64_t>(values.Integer("seed")),
             values.Text("executions-file"));
       }},
  };
}

}  // namespace radishrudder::standin
