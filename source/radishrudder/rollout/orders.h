#ifndef RADISHRUDDER_SOURCE_ROLLOUT_ORDERS_H_
#define RADISHRUDDER_SOURCE_ROLLOUT_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {

// The orders of one agent to its endpoint: their fences, the one in progress,
// and the wait after one that failed.
class Orders {
 public:
  Orders(std::uint64_t incarnation,
         kernel::Duration timeout,
         kernel::Random random)
      : m_incarnation(incarnation), m_timeout(timeout), m_random(random) {}

  // Returns whether an order may be given now.
  bool MayOrder(kernel::Time now) const;
  OrderLoad Give(kernel::Time now,
                 std::uint64_t revision,
                 std::string_view manifest_digest);
  // Returns whether `fence` is that of the order in progress; ends it if so.
  bool End(kernel::Time now, const Fence& fence, OrderResult result);
  // Ends an order that was not answered in time; returns whether it did.
  bool EndOverdue(kernel::Time now);
  // The endpoint does not run what was ordered: waits longer each time.
  void Fail(kernel::Time now);
  // The endpoint runs what was ordered.
  void Succeed();
  // A new revision lifts a refusal.
  void Retry() { m_refused = false; }
  // A restart of the endpoint lifts a refusal and ends what it was doing.
  void OnEndpointRestart();
  // A later run of the agent gives the orders now.
  void Stop() { m_stopped = true; }

  // True while an order that was not answered may still change what the
  // endpoint runs from `running` to something else.
  bool IsUncertain(std::string_view running) const {
    return m_uncertain && running != m_digest;
  }
  bool IsRefused() const { return m_refused; }
  bool IsStopped() const { return m_stopped; }
  const std::string& Digest() const { return m_digest; }
  kernel::Time NotBefore() const { return m_not_before; }
  kernel::Time Deadline() const { return m_deadline; }
  std::uint32_t Failures() const { return m_failures; }

 private:
  std::uint64_t m_incarnation;
  kernel::Duration m_timeout;
  kernel::Random m_random;
  std::optional<Fence> m_current;
  std::string m_digest;
  std::uint64_t m_order = 0;
  std::uint32_t m_failures = 0;
  kernel::Time m_not_before{};
  kernel::Time m_deadline = kernel::Time::max();
  bool m_uncertain = false;
  bool m_refused = false;
  bool m_stopped = false;
};

}  // namespace radishrudder::rollout

#endif  // RADISHRUDDER_SOURCE_ROLLOUT_ORDERS_H_
