#ifndef RADISHRUDDER_MEASURE_ROUTING_CLUSTER_H_
#define RADISHRUDDER_MEASURE_ROUTING_CLUSTER_H_

#include <memory>
#include <string>
#include <vector>

#include "measure/routing/engine.h"
#include "measure/routing/event_queue.h"
#include "measure/routing/figures.h"
#include "measure/routing/options.h"
#include "measure/routing/workload.h"
#include "radishrudder/routing/router.h"

namespace radishrudder::measure {

// Entries with real routers before model engines, in virtual time. Load
// reports and cache events reach all entries late; some of the latter never.
class Cluster {
 public:
  Cluster(const Options& options, std::string_view policy);

  // Runs the whole measurement and returns its figures.
  Figures Run();

 private:
  struct EndpointState {
    routing::Endpoint endpoint;
    std::unique_ptr<Engine> engine;
    std::uint64_t next_cache_sequence = 1;
  };
  struct Entry {
    std::uint32_t data_centre = 0;
    std::unique_ptr<routing::Router> router;
  };
  // A cache event message on its way to one entry.
  struct CacheMessage {
    std::uint64_t first_sequence = 0;
    std::vector<routing::CacheEvent> events;
  };

  void AddEndpoints();
  void AddEntries(std::string_view policy);
  double Distance(const Entry& entry, std::uint32_t endpoint) const;
  void ScheduleCall();
  void OnCall();
  void Send(std::uint32_t entry,
            std::uint32_t endpoint,
            const Prompt& prompt,
            kernel::Time called);
  void OnFirstToken(kernel::Time called, double distance, bool hit);
  void ScheduleReport(std::uint32_t endpoint, double seconds);
  void Report(std::uint32_t endpoint);
  void ReportCache(std::uint32_t endpoint);
  void Sample();

  Options m_options;
  EventQueue m_events;
  kernel::Time m_begin;  // Of the measured time, after the warm-up.
  kernel::Random m_random;
  Workload m_workload;
  std::vector<EndpointState> m_endpoints;
  std::vector<Entry> m_entries;
  FigureCollector m_figures;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_CLUSTER_H_
