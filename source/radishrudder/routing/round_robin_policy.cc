#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// Chooses the candidates in turn. The first one is drawn at random, so that
// entries started at the same time do not choose the same candidates at the
// same time.
class RoundRobinPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    if (!m_started) {
      m_next = random.Below(candidates.size());
      m_started = true;
    }
    return m_next++ % candidates.size();
  }

 private:
  bool m_started = false;
  std::size_t m_next = 0;
};

const kernel::Registration<PolicyFactory> registration("round-robin", [] {
  return std::make_unique<RoundRobinPolicy>();
});

}  // namespace

void AnchorRoundRobinPolicy() {}

}  // namespace radishrudder::routing
