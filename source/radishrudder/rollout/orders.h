#ifndef RADISHRUDDER_SOURCE_ROLLOUT_ORDERS_H_
#define RADISHRUDDER_SOURCE_ROLLOUT_ORDERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// The load orders of one agent to its endpoint: their fences, the order in
// progress, and the backoff after failed orders.
class Orders {
 public:
  Orders(std::uint64_t incarnation,
         kernel::Duration timeout,
         kernel::Random random)
      : m_incarnation(incarnation), m_timeout(timeout), m_random(random) {}

  // Returns whether an order may be issued now.
  bool CanIssue(kernel::Time now) const;
  // `running` is the version that the endpoint runs as last reported.
  OrderLoad Issue(kernel::Time now,
                  std::uint64_t revision,
                  std::string_view manifest_digest,
                  std::string_view running);
  // Ends the order in progress if it has this fence. Returns whether it did.
  bool Finish(kernel::Time now, const Fence& fence, OrderResult result);
  // Ends the order in progress if its deadline has passed. Returns whether it
  // did.
  bool ExpireOverdue(kernel::Time now);
  // The endpoint reported the version that it runs. An order whose effect is
  // visible counts as answered.
  void ObserveRunning(std::string_view running);
  // The endpoint does not run the ordered version. Orders are suspended for a
  // backoff that grows exponentially with jitter.
  void RecordFailure(kernel::Time now);
  // The endpoint runs the ordered version.
  void RecordSuccess();
  // A new document revision allows orders again after a refusal.
  void ClearRefusal() { m_is_refused = false; }
  // A restart of the endpoint allows orders again after a refusal and aborts
  // any order that it was executing, but not one that may have reached its new
  // process.
  void OnEndpointRestart();
  // A later run of the agent issues the orders from now on.
  void Stop() { m_is_stopped = true; }

  // True while an unanswered order may still make the endpoint replace
  // `running` by another version.
  bool IsUncertain(std::string_view running) const;
  bool IsRefused() const { return m_is_refused; }
  bool IsStopped() const { return m_is_stopped; }
  const std::string& OrderedDigest() const { return m_ordered_digest; }
  kernel::Time NotBefore() const { return m_not_before; }
  kernel::Time Deadline() const { return m_deadline; }
  std::uint32_t ConsecutiveFailures() const { return m_consecutive_failures; }

 private:
  std::uint64_t m_incarnation;
  kernel::Duration m_timeout;
  kernel::Random m_random;
  std::optional<Fence> m_order_in_progress;
  std::string m_ordered_digest;
  std::uint64_t m_order_number = 0;
  std::uint32_t m_consecutive_failures = 0;
  kernel::Time m_not_before{};
  kernel::Time m_deadline = kernel::Time::max();
  // Versions of unanswered orders that the endpoint may still execute. Only a
  // later order that was executed rules that out: one that failed may not have
  // reached the endpoint, or have been refused for another reason.
  std::set<std::string, std::less<>> m_unanswered_digests;
  // Nothing but the last order makes the endpoint run the version of that
  // order.
  bool m_is_effect_visible = false;
  // The endpoint has reported since the last order ended, so that this order
  // reached no later process.
  bool m_is_reported_since = false;
  bool m_is_refused = false;
  bool m_is_stopped = false;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_SOURCE_ROLLOUT_ORDERS_H_
