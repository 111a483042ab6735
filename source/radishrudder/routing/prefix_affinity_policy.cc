#include <algorithm>

#include "radishrudder/kernel/hash.h"
#include "radishrudder/routing/candidate_draw.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// Relative load by which a completely cached prompt lowers the cost of a
// candidate. It is multiplied by the mean relative load where that is above 1:
// with queues, load differences between endpoints grow, and each prefill that
// the cache saves shortens the queues.
constexpr double kCachedPromptDiscount = 1;
// Fraction of a prompt that its first preferred candidate is assumed to have
// cached.
constexpr double kAssumedCachedShare = 0.8;
// A candidate is overloaded if its calls exceed this multiple of the mean
// relative load by more than one call.
constexpr double kMaximumLoadRatio = 2;

// Chooses the candidate with the lowest cost, which is the relative load minus
// a discount for the cached part of the prompt. It compares the two preferred
// candidates of the prefix and the best candidate that has a part of the prompt
// cached. The preferred candidates are found by rendezvous hashing of the
// prefix and the instance names alone, so that all entries place a new prefix
// on the same endpoints. Once a prefix is known to be cached anywhere, its
// first preferred candidate is assumed to have it too, since other entries send
// it there. Before that this is not assumed, because the prompt may never be
// repeated. An overloaded candidate is neither preferred nor chosen for its
// cache. Calls without a prefix go to the less loaded of two random candidates.
class PrefixAffinityPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    const double mean = MeanRelativeLoad(candidates);
    m_cached_discount = kCachedPromptDiscount * std::max(1.0, mean);
    const CandidatePair pair =
        call.prefix_hash == 0
            ? DrawTwo(candidates.size(), random)
            : PreferredFor(call.prefix_hash, candidates, mean);
    const std::size_t cached = BestCached(candidates, mean, random);
    if (cached == candidates.size()) {
      return LowerCost(candidates, pair.first, pair.second);
    }
    return LowerCost(candidates, BetterPreferred(candidates, pair), cached);
  }

 private:
  double Cost(const Candidate& candidate) const {
    return RelativeLoad(candidate) -
           m_cached_discount * candidate.cached_prefix_share;
  }

  std::size_t LowerCost(std::span<const Candidate> candidates,
                        std::size_t first,
                        std::size_t second) const {
    return Cost(candidates[second]) < Cost(candidates[first]) ? second : first;
  }

  // Returns the preferred candidate with the lower cost. The first one is
  // assumed to have a part of the prompt cached, because other entries send the
  // prefix there too.
  std::size_t BetterPreferred(std::span<const Candidate> candidates,
                              const CandidatePair& preferred) const {
    const Candidate& first = candidates[preferred.first];
    const double assumed =
        std::max(first.cached_prefix_share, kAssumedCachedShare);
    const double first_cost = RelativeLoad(first) - m_cached_discount * assumed;
    return Cost(candidates[preferred.second]) < first_cost ? preferred.second
                                                           : preferred.first;
  }

  // Returns the two candidates with the highest rendezvous weights for the
  // prefix among those that are not overloaded; the same one twice if there is
  // only one. The least loaded candidate is never overloaded.
  static CandidatePair PreferredFor(std::uint64_t prefix,
                                    std::span<const Candidate> candidates,
                                    double mean) {
    CandidatePair preferred{candidates.size(), candidates.size()};
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (!IsWithinLoadLimit(candidates[i], mean)) {
        continue;
      }
      const std::uint64_t weight =
          RendezvousWeight(prefix, candidates[i].instance);
      if (preferred.first == candidates.size() || weight > first_weight) {
        preferred.second = preferred.first;
        second_weight = first_weight;
        preferred.first = i;
        first_weight = weight;
      } else if (preferred.second == candidates.size() ||
                 weight > second_weight) {
        preferred.second = i;
        second_weight = weight;
      }
    }
    if (preferred.second == candidates.size()) {
      preferred.second = preferred.first;
    }
    return preferred;
  }

  static std::uint64_t RendezvousWeight(std::uint64_t prefix,
                                        const std::string& name) {
    return kernel::Random(prefix ^ kernel::StableHash(name)).Next();
  }

  // Returns the candidate with the lowest cost among those that have a part of
  // the prompt cached and are not overloaded, or the number of candidates if
  // there is none.
  std::size_t BestCached(std::span<const Candidate> candidates,
                         double mean,
                         kernel::Random& random) const {
    std::size_t best = candidates.size();
    std::size_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].cached_prefix_share <= 0 ||
          !IsWithinLoadLimit(candidates[i], mean)) {
        continue;
      }
      if (best == candidates.size() ||
          Cost(candidates[i]) < Cost(candidates[best])) {
        best = i;
        ties = 1;
      } else if (Cost(candidates[i]) == Cost(candidates[best]) &&
                 random.Below(++ties) == 0) {
        best = i;
      }
    }
    return best;
  }

  static bool IsWithinLoadLimit(const Candidate& candidate, double mean) {
    const double capacity = std::max(candidate.capacity, 1.0);
    return candidate.estimated_calls <= kMaximumLoadRatio * mean * capacity + 1;
  }

  // Cost discount of a completely cached prompt, for the call being routed.
  double m_cached_discount = kCachedPromptDiscount;
};

const kernel::Registration<PolicyFactory> registration("prefix-affinity", [] {
  return std::make_unique<PrefixAffinityPolicy>();
});

}  // namespace

void AnchorPrefixAffinityPolicy() {}

}  // namespace radishrudder::routing
