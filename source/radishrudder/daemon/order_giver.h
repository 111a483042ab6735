#ifndef RADISHRUDDER_DAEMON_ORDER_GIVER_H_
#define RADISHRUDDER_DAEMON_ORDER_GIVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "radishrudder/daemon/endpoint_client.h"
#include "radishrudder/rollout/rollout.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::daemon {

// Copies of what the transfer has verified.
struct VerifiedWeights {
  std::function<std::optional<weights::Manifest>(const std::string& digest)>
      manifest;
  std::function<std::optional<std::string>(const std::string& digest,
                                           std::uint32_t index)>
      chunk;
};

// Gives the endpoint the rollout's orders. An order that a later one has
// replaced, or that the drain has overtaken, is not given any more.
class OrderGiver {
 public:
  OrderGiver(EndpointClient& endpoint, VerifiedWeights weights);

  // Calls `report` once, with failure if the weights are no longer here.
  void Give(
      const rollout::OrderLoad& order,
      std::function<void(const rollout::Fence&, rollout::OrderResult)> report);
  // Gives no order from now on.
  void Stop();

 private:
  EndpointClient& m_endpoint;
  const VerifiedWeights m_weights;
  std::atomic<std::uint64_t> m_latest = 0;
  std::atomic<bool> m_stopped = false;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_ORDER_GIVER_H_
