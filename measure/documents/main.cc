#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "radishrudder/settings/settings.h"
#include "tests/dissemination/replica_network.h"

namespace {

using radishrudder::dissemination::PublishedDocument;
using radishrudder::dissemination::ReplicaNetwork;
using radishrudder::kernel::Time;
using radishrudder::settings::Option;
using radishrudder::settings::ValueKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kTargetInForceSeconds = 3;
constexpr double kTargetCallsPerSecond = 2000;
constexpr int kDataCentres = 7;
constexpr int kSecondsPerChange = 5;
constexpr int kServices = 20;
constexpr milliseconds kSample{100};
constexpr std::size_t kSamplesPerSecond = 10;

struct Inputs {
  std::uint64_t seed = 1;
  int processes = 700;
  int changes = 10;
  double loss_percent = 10;
  int outage_seconds = 60;
};

// Times from the publication of a document to its coming into force.
class Delays {
 public:
  void OnPublished(std::uint64_t revision, Time now) {
    m_published[revision] = now;
  }
  void OnAccepted(std::uint64_t revision, Time now) {
    const auto published = m_published.find(revision);
    if (published != m_published.end()) {
      const std::chrono::duration<double> delay = now - published->second;
      m_delays.push_back(delay.count());
    }
  }
  std::size_t Count() const { return m_delays.size(); }
  double Quantile(double share) {
    if (m_delays.empty()) {
      return 0;
    }
    std::sort(m_delays.begin(), m_delays.end());
    const auto last = static_cast<double>(m_delays.size() - 1);
    return m_delays[static_cast<std::size_t>(share * last)];
  }

 private:
  std::map<std::uint64_t, Time> m_published;
  std::vector<double> m_delays;
};

// Runs the network and keeps the most reads that began within one second.
class Runner {
 public:
  explicit Runner(ReplicaNetwork& network) : m_network(network) {}

  void Run(int count) {
    const int samples = count * static_cast<int>(kSamplesPerSecond);
    for (int i = 0; i < samples; ++i) {
      m_network.RunFor(kSample);
      m_reads.push_back(m_network.TotalReads());
      if (m_reads.size() > kSamplesPerSecond) {
        m_reads.pop_front();
      }
      const int base = m_reads.size() < kSamplesPerSecond ? 0 : m_reads.front();
      m_most = std::max(m_most, m_reads.back() - base);
    }
  }
  int Most() const { return m_most; }

 private:
  ReplicaNetwork& m_network;
  std::deque<int> m_reads;
  int m_most = 0;
};

nlohmann::json Measure(const Inputs& inputs) {
  ReplicaNetwork network(inputs.seed, inputs.processes, kDataCentres);
  network.loss = inputs.loss_percent / 100;
  Delays delays;
  network.on_accepted = [&](const PublishedDocument& document) {
    delays.OnAccepted(document.revision, network.Now());
  };
  Runner runner(network);
  constexpr int kStartSeconds = 20;
  network.Start();
  runner.Run(kStartSeconds);
  const auto publish = [&](int change) {
    network.Service().Publish("service-" + std::to_string(change % kServices),
                              "{}");
    delays.OnPublished(network.Service().Revision(), network.Now());
  };
  for (int change = 0; change < inputs.changes; ++change) {
    publish(change);
    runner.Run(kSecondsPerChange);
  }
  std::cerr << "in force within " << delays.Quantile(1) << " s, reads "
            << runner.Most() << "/s\n";
  network.Service().down = true;
  runner.Run(inputs.outage_seconds);
  network.Service().down = false;
  runner.Run(kStartSeconds);
  const std::size_t expected = static_cast<std::size_t>(inputs.processes) *
                               static_cast<std::size_t>(inputs.changes);
  const double slowest = delays.Quantile(1);
  const bool met = slowest <= kTargetInForceSeconds &&
                   delays.Count() == expected && network.Regressions() == 0 &&
                   runner.Most() <= kTargetCallsPerSecond;
  return {{"in_force_p50_s", delays.Quantile(0.5)},
          {"in_force_max_s", slowest},
          {"in_force_missing", expected - delays.Count()},
          {"reverts", network.Regressions()},
          {"service_calls_per_s_max", runner.Most()},
          {"targets",
           {{"in_force_max_s", kTargetInForceSeconds},
            {"reverts", 0},
            {"service_calls_per_s_max", kTargetCallsPerSecond}}},
          {"met", met}};
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<Option> options = {
      {.name = "seed",
       .kind = ValueKind::kInteger,
       .help = "Seed of all random numbers.",
       .default_value = "1"},
      {.name = "processes",
       .kind = ValueKind::kInteger,
       .help = "Processes that take part.",
       .default_value = "700",
       .minimum = 1,
       .maximum = 10'000},
      {.name = "changes",
       .kind = ValueKind::kInteger,
       .help = "Documents published one after the other.",
       .default_value = "10",
       .minimum = 1,
       .maximum = 1000},
      {.name = "loss-percent",
       .kind = ValueKind::kInteger,
       .help = "Share of gossip messages lost, in percent.",
       .default_value = "10",
       .maximum = 90},
      {.name = "outage-seconds",
       .kind = ValueKind::kInteger,
       .help = "Time in seconds for which the service is down at the end.",
       .default_value = "60",
       .maximum = 86'400},
  };
  const auto start = radishrudder::settings::ParseMain(
      "measure_documents",
      "Measures how fast documents come into force everywhere.", options, argc,
      argv);
  if (!start.command_line.has_value()) {
    return start.exit_code;
  }
  const auto& values = start.command_line->values;
  Inputs inputs;
  inputs.seed = static_cast<std::uint64_t>(values.Integer("seed"));
  inputs.processes = static_cast<int>(values.Integer("processes"));
  inputs.changes = static_cast<int>(values.Integer("changes"));
  inputs.loss_percent = static_cast<double>(values.Integer("loss-percent"));
  inputs.outage_seconds = static_cast<int>(values.Integer("outage-seconds"));
  nlohmann::json report = Measure(inputs);
  report["measurement"] = "documents";
  report["inputs"] = {{"seed", inputs.seed},
                      {"processes", inputs.processes},
                      {"changes", inputs.changes},
                      {"loss_percent", inputs.loss_percent},
                      {"outage_seconds", inputs.outage_seconds},
                      {"data_centres", kDataCentres}};
  std::cout << report.dump() << "\n";
  return 0;
}
