#include "radishrudder/daemon/order_giver.h"

#include <utility>

#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {

OrderGiver::OrderGiver(EndpointClient& endpoint, VerifiedWeights weights)
    : m_endpoint(endpoint), m_weights(std::move(weights)) {}

void OrderGiver::Give(
    const rollout::OrderLoad& order,
    std::function<void(const rollout::Fence&, rollout::OrderResult)> report) {
  const std::optional<weights::Manifest> manifest =
      m_weights.manifest(order.manifest_digest);
  if (!manifest) {
    report(order.fence, rollout::OrderResult::kFailed);
    return;
  }
  logging::Log(logging::kOrderSent,
               {{"version", order.manifest_digest},
                {"revision", std::to_string(order.fence.revision)},
                {"order", std::to_string(order.fence.order)}});
  m_latest = order.fence.order;
  LoadOrder load;
  load.order = order;
  load.manifest = *manifest;
  load.chunk = [this, digest = order.manifest_digest](std::uint32_t index) {
    return m_weights.chunk(digest, index);
  };
  load.still_wanted = [this, number = order.fence.order] {
    return m_latest == number && !m_stopped;
  };
  m_endpoint.Load(std::move(load),
                  [report = std::move(report), fence = order.fence](
                      rollout::OrderResult result) { report(fence, result); });
}

void OrderGiver::Stop() {
  m_stopped = true;
}

}  // namespace radishrudder::daemon
