#include <malloc.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.h"
#include "line_fit.h"
#include "radishrudder/settings/settings.h"

namespace {

using radishrudder::measure::Cost;
using radishrudder::measure::FitLine;
using radishrudder::measure::Fleet;
using radishrudder::measure::Line;
using radishrudder::settings::Option;
using radishrudder::settings::ValueKind;
using std::chrono::seconds;

constexpr double kTargetCorePercent = 1.5;
constexpr double kTargetMemoryMebibytes = 128;
constexpr double kTargetKilobytesPerSecond = 17;
constexpr double kTwoYearPeers = 2800;
constexpr std::size_t kDataCentres = 7;
constexpr std::size_t kServices = 300;
constexpr std::size_t kAgentsPerEntry = 6;
constexpr int kWarmUpSeconds = 20;
constexpr int kCountedSeconds = 36;
constexpr int kSecondsPerChange = 18;  // 4,700 changes a day.
constexpr double kBytesPerMebibyte = 1024.0 * 1024;

// What one process spends at one size of the fleet.
struct Point {
  double peers = 0;
  double entry_core_percent = 0;
  double agent_core_percent = 0;
  double entry_kilobytes_per_s = 0;
  double agent_kilobytes_per_s = 0;
  double memory_mb = 0;
};

double CorePercent(const Cost& cost) {
  return 100 * cost.seconds / kCountedSeconds /
         static_cast<double>(cost.processes);
}

double KilobytesPerSecond(const Cost& cost) {
  return static_cast<double>(cost.bytes_sent + cost.bytes_received) / 1000 /
         kCountedSeconds / static_cast<double>(cost.processes);
}

double AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void RunSeconds(Fleet& fleet, int count, bool counts) {
  for (int second = 0; second < count; ++second) {
    if (second % kSecondsPerChange == kSecondsPerChange / 2) {
      fleet.PublishNext();
    }
    fleet.ChangeLoads();
    fleet.Run(seconds(1), counts);
  }
}

Point Measure(std::uint64_t seed, std::size_t peers) {
  const double before = AllocatedBytes();
  const std::size_t entries =
      std::max<std::size_t>(peers / (kAgentsPerEntry + 1), 1);
  Fleet fleet(seed, entries, peers - entries, kDataCentres, kServices);
  RunSeconds(fleet, kWarmUpSeconds, false);
  RunSeconds(fleet, kCountedSeconds, true);
  Point point;
  point.peers = static_cast<double>(peers);
  point.entry_core_percent = CorePercent(fleet.EntryCost());
  point.agent_core_percent = CorePercent(fleet.AgentCost());
  point.entry_kilobytes_per_s = KilobytesPerSecond(fleet.EntryCost());
  point.agent_kilobytes_per_s = KilobytesPerSecond(fleet.AgentCost());
  point.memory_mb = (AllocatedBytes() - before) / kBytesPerMebibyte /
                    static_cast<double>(peers);
  std::cerr << "peers " << peers << ": entry " << point.entry_core_percent
            << " % " << point.entry_kilobytes_per_s << " KB/s, agent "
            << point.agent_core_percent << " % " << point.agent_kilobytes_per_s
            << " KB/s, memory " << point.memory_mb << " MB\n";
  return point;
}

std::vector<std::size_t> ParseSizes(const std::string& text) {
  std::vector<std::size_t> sizes;
  std::stringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    std::size_t size = 0;
    std::from_chars(item.data(), item.data() + item.size(), size);
    if (size > kAgentsPerEntry) {
      sizes.push_back(size);
    }
  }
  return sizes;
}

Line FitOf(const std::vector<Point>& points, double Point::*value) {
  std::vector<double> sizes;
  std::vector<double> values;
  for (const Point& point : points) {
    sizes.push_back(point.peers);
    values.push_back(point.*value);
  }
  return FitLine(sizes, values);
}

nlohmann::json ToJson(const Line& line) {
  return {{"base", line.base},
          {"per_peer", line.slope},
          {"at_two_years", line.At(kTwoYearPeers)}};
}

nlohmann::json Report(const std::vector<Point>& points) {
  const Line entry_core = FitOf(points, &Point::entry_core_percent);
  const Line agent_core = FitOf(points, &Point::agent_core_percent);
  const Line entry_bytes = FitOf(points, &Point::entry_kilobytes_per_s);
  const Line agent_bytes = FitOf(points, &Point::agent_kilobytes_per_s);
  const Line memory = FitOf(points, &Point::memory_mb);
  const double core =
      std::max(entry_core.At(kTwoYearPeers), agent_core.At(kTwoYearPeers));
  const double bytes =
      std::max(entry_bytes.At(kTwoYearPeers), agent_bytes.At(kTwoYearPeers));
  const double memory_mb = memory.At(kTwoYearPeers);
  const bool met = core <= kTargetCorePercent &&
                   memory_mb <= kTargetMemoryMebibytes &&
                   bytes <= kTargetKilobytesPerSecond;
  return {{"slopes",
           {{"entry_core_percent", ToJson(entry_core)},
            {"agent_core_percent", ToJson(agent_core)},
            {"entry_kilobytes_per_s", ToJson(entry_bytes)},
            {"agent_kilobytes_per_s", ToJson(agent_bytes)},
            {"memory_mb", ToJson(memory)}}},
          {"core_percent", core},
          {"memory_mb", memory_mb},
          {"kilobytes_per_s", bytes},
          {"targets",
           {{"core_percent", kTargetCorePercent},
            {"memory_mb", kTargetMemoryMebibytes},
            {"kilobytes_per_s", kTargetKilobytesPerSecond}}},
          {"met", met}};
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<Option> options = {
      {.name = "seed",
       .kind = ValueKind::kInteger,
       .help = "Seed of all random numbers.",
       .default_value = "1"},
      {.name = "peers",
       .kind = ValueKind::kText,
       .help = "Sizes of the fleet in processes, separated by commas.",
       .default_value = "140,280,420"},
  };
  const auto start = radishrudder::settings::ParseMain(
      "measure_control",
      "Measures what membership and documents cost a process.", options, argc,
      argv);
  if (!start.command_line.has_value()) {
    return start.exit_code;
  }
  const auto& values = start.command_line->values;
  const auto seed = static_cast<std::uint64_t>(values.Integer("seed"));
  const std::vector<std::size_t> sizes = ParseSizes(values.Text("peers"));
  if (sizes.size() < 3) {
    std::cerr << "--peers: \"" << values.Text("peers")
              << "\" names fewer than three sizes; valid: three or more sizes "
                 "of at least 7 processes\n";
    return radishrudder::settings::kExitUsage;
  }
  std::vector<Point> points;
  for (const std::size_t size : sizes) {
    points.push_back(Measure(seed, size));
  }
  nlohmann::json report = Report(points);
  report["measurement"] = "control";
  report["inputs"] = {{"seed", seed}, {"peers", sizes}};
  std::cout << report.dump() << "\n";
  return 0;
}
