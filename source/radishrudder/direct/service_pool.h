#ifndef SOURCE_RADISHRUDDER_DIRECT_SERVICE_POOL_H_
#define SOURCE_RADISHRUDDER_DIRECT_SERVICE_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/calls/retry_budget.h"
#include "radishrudder/direct/call.h"
#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/direct/entry.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/routing/router.h"

namespace radishrudder::direct {

// The endpoint that was chosen for an attempt, or why none was.
struct Pick {
  std::string id{};  // Empty: none.
  std::string address{};
  std::uint64_t incarnation = 0;
  std::uint64_t model_version = 0;
  routing::NoRoute reason = routing::NoRoute::kNone;
};

// What an attempt needs of its endpoint.
struct PickNeeds {
  std::span<const std::string> excluded{};
  std::optional<std::uint64_t> version{};  // Exactly this version.
  bool only_with_room = true;
};

// The endpoints of one service as one entry sees them.
class ServicePool {
 public:
  ServicePool(const EntrySettings& settings, kernel::Random random);

  void Configure(const ServiceRule& rule);
  // All listed endpoints of this service.
  void Update(kernel::Time now, std::span<const ListedEndpoint> endpoints);
  // Endpoints with an older version of the model get no more calls.
  void RequireVersion(kernel::Time now, std::uint64_t version);
  std::uint64_t RequiredVersion() const { return m_required_version; }
  // When it was last raised.
  kernel::Time RequiredSince() const { return m_required_since; }

  Pick Choose(kernel::Time now, const PickNeeds& needs);
  // The load that an endpoint had just now.
  void OnLoad(kernel::Time now,
              std::string_view id,
              const routing::LoadReport& load);
  void OnSent(kernel::Time now, const routing::EndpointRun& run);
  void OnAnswered(kernel::Time now,
                  const routing::EndpointRun& run,
                  const routing::Answer& answer);
  void OnRefused(kernel::Time now,
                 const routing::EndpointRun& run,
                 routing::Refusal refusal);
  void OnFailed(kernel::Time now, const routing::EndpointRun& run);
  void OnAbandoned(kernel::Time now, const routing::EndpointRun& run);

  // Bytes of an answer came from an endpoint.
  void OnHeard(kernel::Time now, std::string_view id);
  // Leaves out endpoints that owe answers and have fallen silent, and takes
  // back those that speak again.
  void OnTick(kernel::Time now);

  calls::RetryBudget& Budget() { return m_budget; }
  const std::optional<EngineRule>& Engine() const { return m_engine; }
  std::size_t Size() const { return m_listed.size(); }
  std::string Explain(kernel::Time now) const { return m_router.Explain(now); }

 private:
  std::uint32_t CapacityOf(std::uint32_t slots) const;
  // What is known of an endpoint's silence.
  struct Waiting {
    std::uint32_t attempts = 0;  // In progress.
    kernel::Time since{};        // It was heard, or the first attempt began.
    // It fell silent and was not heard since: one call at a time tries it,
    // from `next_try` on.
    bool unheard = false;
    kernel::Time next_try{};
    std::uint32_t tries = 0;  // Since it was heard last.
    bool left_out = false;
  };

  static bool IsLeftOut(kernel::Time now, const Waiting& waiting);

  void OnEnded(const routing::EndpointRun& run);
  routing::Endpoint Seen(const ListedEndpoint& listed) const;
  double DistanceSeconds(std::string_view data_centre) const;
  void Refresh(kernel::Time now);

  const EntrySettings& m_settings;
  routing::Router m_router;
  calls::RetryBudget m_budget;
  std::optional<EngineRule> m_engine;
  std::map<std::string, ListedEndpoint, std::less<>> m_listed;
  std::map<std::string, Waiting, std::less<>> m_waiting;
  std::uint64_t m_required_version = 0;
  kernel::Time m_required_since{};
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_SERVICE_POOL_H_
