#include "radishrudder/daemon/order_giver.h"

#include <utility>

#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {

OrderGiver::OrderGiver(EndpointClient& endpoint, VerifiedWeights weights)
    : m_endpoint(endpoint), m_weights(std::move(weights)) {}

void OrderGiver::Stage(const std::string& digest, std::function<void()> done) {
  HandOver(digest, [done = std::move(done)](bool) { done(); });
}

void OrderGiver::HandOver(const std::string& digest,
                          std::function<void(bool)> done) {
  const std::optional<weights::Manifest> manifest = m_weights.manifest(digest);
  if (!manifest) {
    done(false);
    return;
  }
  VersionAtHand version;
  version.manifest = *manifest;
  version.chunk = [this, digest](std::uint32_t index) {
    return m_weights.chunk(digest, index);
  };
  m_endpoint.Stage(std::move(version),
                   [this, digest, done = std::move(done)](bool staged) {
                     if (staged) {
                       SetStaged(digest);
                     }
                     done(staged);
                   });
}

void OrderGiver::Give(const rollout::OrderLoad& order, Report report) {
  m_latest = order.fence.order;
  if (!IsStaged(order.manifest_digest)) {
    HandOverAndOrder(order, std::move(report));
    return;
  }
  Order(order, [this, order, report = std::move(report)](auto result) {
    if (result == rollout::OrderResult::kFailed) {
      SetStaged("");
      HandOverAndOrder(order, report);
    } else {
      report(order.fence, result.value_or(rollout::OrderResult::kFailed));
    }
  });
}

void OrderGiver::HandOverAndOrder(const rollout::OrderLoad& order,
                                  Report report) {
  HandOver(order.manifest_digest, [this, order,
                                   report = std::move(report)](bool staged) {
    if (!staged) {
      report(order.fence, rollout::OrderResult::kFailed);
      return;
    }
    Order(order, [order, report](auto result) {
      report(order.fence, result.value_or(rollout::OrderResult::kFailed));
    });
  });
}

void OrderGiver::Order(
    const rollout::OrderLoad& order,
    std::function<void(std::optional<rollout::OrderResult>)> done) {
  logging::Log(logging::kOrderSent,
               {{"version", order.manifest_digest},
                {"revision", std::to_string(order.fence.revision)},
                {"order", std::to_string(order.fence.order)}});
  const auto still_wanted = [this, number = order.fence.order,
                             not_after = order.not_after] {
    return m_latest == number && !m_stopped &&
           std::chrono::steady_clock::now() <= not_after;
  };
  m_endpoint.Load(order, still_wanted, std::move(done));
}

bool OrderGiver::IsStaged(const std::string& digest) const {
  const std::lock_guard lock(m_mutex);
  return m_staged == digest;
}

void OrderGiver::SetStaged(const std::string& digest) {
  const std::lock_guard lock(m_mutex);
  m_staged = digest;
}

void OrderGiver::Stop() {
  m_stopped = true;
}

}  // namespace radishrudder::daemon
