// Measures how long weights take to reach all instances, and which links
// carry how many copies of them.
#include <sys/resource.h>

#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

#include "host.h"
#include "options.h"
#include "slopes.h"
#include "world.h"

namespace radishrudder::measure {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kTimeTarget = 1.25;
constexpr double kTimeTargetWithFaults = 1.75;
constexpr double kCopiesTarget = 1.1;
constexpr double kOriginTargetWithFaults = 2;
constexpr double kTracesPerBound = 10;
constexpr double kMaximumBounds = 5;  // A run ends after so many bounds.
constexpr std::chrono::milliseconds kConnectTime(200);
constexpr std::chrono::milliseconds kPoll(5);
// Time in which membership finds a dead instance.
constexpr std::chrono::seconds kSuspicion(3);

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

kernel::Time After(kernel::Time start, double seconds) {
  return start + std::chrono::duration_cast<kernel::Duration>(Seconds(seconds));
}

class Run {
 public:
  explicit Run(const SpreadOptions& options)
      : m_options(options), m_world(options) {}

  nlohmann::json Measure();

 private:
  void StartHosts();
  void WaitUntil(kernel::Time time);
  void Trace() const;
  nlohmann::json Report(double processor_seconds) const;

  SpreadOptions m_options;
  World m_world;
  std::vector<std::unique_ptr<Host>> m_hosts;
  kernel::Time m_start{};
  int m_traces = 0;
};

void Run::StartHosts() {
  std::vector<std::uint16_t> ports;
  for (std::uint32_t i = 0; i < m_options.threads; ++i) {
    m_hosts.push_back(std::make_unique<Host>(m_world, i, m_options.threads));
    ports.push_back(m_hosts.back()->Port());
  }
  for (const auto& host : m_hosts) {
    host->Connect(ports);
  }
  m_start = std::chrono::steady_clock::now() + kConnectTime;
  for (const auto& host : m_hosts) {
    host->Start(m_start);
  }
}

void Run::WaitUntil(kernel::Time time) {
  const double step = m_options.FluidBound() / kTracesPerBound;
  while (!m_world.AllComplete() && std::chrono::steady_clock::now() < time) {
    if (std::chrono::steady_clock::now() >= After(m_start, m_traces * step)) {
      Trace();
      ++m_traces;
    }
    std::this_thread::sleep_for(kPoll);
  }
}

// Prints the share of the bound's time that passed, the copies that left the
// origin and the mean share of the weights in each region.
void Run::Trace() const {
  const Seconds passed = std::chrono::steady_clock::now() - m_start;
  std::ostringstream line;
  line << std::fixed << std::setprecision(2) << "time "
       << passed.count() / m_options.FluidBound() << " origin "
       << static_cast<double>(m_world.origin_bytes) / m_options.FileBytes()
       << " regions";
  for (const double share : m_world.Progress()) {
    line << " " << share;
  }
  std::cerr << line.str() << "\n";
}

nlohmann::json Run::Measure() {
  const double bound = m_options.FluidBound();
  StartHosts();
  const double processor_before = ProcessorSeconds();
  if (m_options.kill_percent > 0) {
    WaitUntil(After(m_start, bound / 2));
    m_world.KillSome();
    std::cerr << "killed " << m_options.kill_percent << "% at half the bound\n";
    WaitUntil(After(m_start, bound / 2) + kSuspicion);
    for (const auto& host : m_hosts) {
      host->TellPeers();
    }
  }
  WaitUntil(After(m_start, kMaximumBounds * bound));
  const double processor = ProcessorSeconds() - processor_before;
  for (const auto& host : m_hosts) {
    host->Stop();
  }
  return Report(processor);
}

nlohmann::json Run::Report(double processor_seconds) const {
  const bool all = m_world.AllComplete();
  const Seconds time = m_world.LastComplete() - m_start;
  const double bound = m_options.FluidBound();
  const double ratio = all ? time.count() / bound : kMaximumBounds;
  const double copies =
      static_cast<double>(m_world.origin_bytes) / m_options.FileBytes();
  const bool faults = m_options.HasFaults();
  const double time_target = faults ? kTimeTargetWithFaults : kTimeTarget;
  const double origin_target = faults ? kOriginTargetWithFaults : kCopiesTarget;
  nlohmann::json line;
  line["seed"] = m_options.seed;
  line["instances"] = m_options.instances;
  line["data_centres"] = m_options.data_centres;
  line["mebibytes"] = m_options.mebibytes;
  line["window_seconds"] = m_options.window_seconds;
  line["region_mbits"] = m_options.region_mbits;
  line["kill_percent"] = m_options.kill_percent;
  line["corrupt_percent"] = m_options.corrupt_percent;
  line["chunk_kib"] = m_options.chunk_kib;
  line["neighbours"] = m_options.neighbours;
  line["selector"] = m_options.selector;
  line["speed"] = m_options.speed;
  line["bound_seconds"] = bound;
  line["seconds"] = time.count();
  line["time_over_bound"] = ratio;
  line["time_over_bound_target"] = time_target;
  line["origin_copies"] = copies;
  line["origin_copies_target"] = origin_target;
  line["region_link_copies"] = m_world.MaximumRegionCopies();
  line["region_link_copies_target"] = kCopiesTarget;
  line["wrong_loads"] = m_world.wrong_loads.load();
  line["wrong_loads_target"] = 0;
  line["replicas_ready"] = m_world.Complete();
  line["duplicate_copies"] =
      static_cast<double>(m_world.duplicate_bytes) / m_options.FileBytes();
  line["chunk_messages"] = m_world.chunk_messages.load();
  line["control_messages"] = m_world.control_messages.load();
  line["control_bytes"] = m_world.control_bytes.load();
  line["processor_seconds"] = processor_seconds;
  const auto events = static_cast<double>(m_world.events);
  line["event_lateness_ms_mean"] =
      static_cast<double>(m_world.late_microseconds) / 1e3 / events;
  line["events_late_20_ms_percent"] =
      100 * static_cast<double>(m_world.late_events) / events;
  line["met"] = all && ratio <= time_target && copies <= origin_target &&
                (faults || m_world.MaximumRegionCopies() <= kCopiesTarget) &&
                m_world.wrong_loads == 0;
  return line;
}

}  // namespace
}  // namespace radishrudder::measure

int main(int argc, char** argv) {
  using radishrudder::measure::ParseOptions;
  using radishrudder::measure::Run;
  const radishrudder::measure::SpreadOptions options = ParseOptions(argc, argv);
  if (options.slopes) {
    radishrudder::measure::PrintSlopes();
    return 0;
  }
  std::cout << Run(options).Measure().dump() << "\n";
  return 0;
}
