#ifndef RADISHRUDDER_MEASURE_ROUTING_CLUSTER_H_
#define RADISHRUDDER_MEASURE_ROUTING_CLUSTER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "measure/routing/engine.h"
#include "measure/routing/event_queue.h"
#include "measure/routing/figures.h"
#include "measure/routing/options.h"
#include "measure/routing/workload.h"
#include "radishrudder/routing/call_cost.h"
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
    routing::CallCosts costs;
  };
  // A call that an entry has sent.
  struct SentCall {
    std::uint32_t entry = 0;
    std::uint32_t endpoint = 0;
    routing::CallId id = 0;
    Prompt prompt;
    kernel::Time called;
    std::optional<kernel::Duration> first_byte{};
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
  void Send(const std::shared_ptr<SentCall>& call);
  routing::EndpointRun RunOf(const SentCall& call) const;
  routing::CallFeatures FeaturesOf(const Prompt& prompt) const;
  routing::CallCost CostOf(const Entry& entry, const Prompt& prompt) const;
  void OnFirstToken(SentCall& call, double distance, bool hit);
  void OnEnd(const std::shared_ptr<SentCall>& call,
             std::uint32_t tokens,
             bool complete);
  void DrawPaces();
  double MeanOverEntries(double (routing::CallCosts::*error)() const) const;
  void ScheduleReport(std::uint32_t endpoint, double seconds);
  void Report(std::uint32_t endpoint);
  void ReportCache(std::uint32_t endpoint);
  void Sample();

  Options m_options;
  bool m_exact_cost;
  CallSizes m_sizes;
  EngineSettings m_engine;
  EventQueue m_events;
  kernel::Time m_begin;  // Of the measured time, after the warm-up.
  kernel::Random m_random;
  Workload m_workload;
  std::vector<EndpointState> m_endpoints;
  std::vector<Entry> m_entries;
  std::vector<std::string> m_workspace_names;
  routing::CallId m_next_call = 1;
  FigureCollector m_figures;
};

}  // namespace radishrudder::measure

#endif  // RADISHRUDDER_MEASURE_ROUTING_CLUSTER_H_
