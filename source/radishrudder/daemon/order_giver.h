#ifndef RADISHRUDDER_DAEMON_ORDER_GIVER_H_
#define RADISHRUDDER_DAEMON_ORDER_GIVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
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

// Gives the endpoint the rollout's orders. The weights are handed over before,
// so that an order takes effect at once. Only the endpoint knows whether it
// still has them, as it may have restarted or loaded another version since: an
// order that it refuses is given once more, after the weights. An order that a
// later one has replaced, that is too old, or that the drain has overtaken is
// not given.
class OrderGiver {
 public:
  using Report =
      std::function<void(const rollout::Fence&, rollout::OrderResult)>;

  OrderGiver(EndpointClient& endpoint, VerifiedWeights weights);

  // Hands a verified version over; `done` is called once, also on failure: the
  // order will then try again.
  void Stage(const std::string& digest, std::function<void()> done);
  // Calls `report` once, with failure if the weights are no longer here.
  void Give(const rollout::OrderLoad& order, Report report);
  // Gives no order from now on.
  void Stop();

 private:
  bool IsStaged(const std::string& digest) const;
  void SetStaged(const std::string& digest);
  void HandOver(const std::string& digest, std::function<void(bool)> done);
  void HandOverAndOrder(const rollout::OrderLoad& order, Report report);
  // `done` is called once, with nothing if the order was not given.
  void Order(const rollout::OrderLoad& order,
             std::function<void(std::optional<rollout::OrderResult>)> done);

  EndpointClient& m_endpoint;
  const VerifiedWeights m_weights;
  std::atomic<std::uint64_t> m_latest = 0;
  std::atomic<bool> m_stopped = false;
  mutable std::mutex m_mutex;
  // The version that was handed over last and that no order showed to be gone;
  // empty: none.
  std::string m_staged;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_ORDER_GIVER_H_
