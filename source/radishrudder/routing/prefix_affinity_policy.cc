#include <algorithm>

#include "radishrudder/kernel/hash.h"
#include "radishrudder/routing/candidate_draw.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/policy_anchors.h"

namespace radishrudder::routing {
namespace {

// A whole cached prompt is worth this much relative load, and as many times
// more as the mean relative load is above 1: behind queues, differences of
// load grow, while prefills that are saved shorten the queues.
constexpr double kCachedPromptWorth = 1;
// Part of a prompt that its first home counts as having cached.
constexpr double kFirstHomeCachedShare = 0.8;
// A candidate above this multiple of the mean load, plus one call, is out of
// bounds.
constexpr double kLoadBound = 2;

// Chooses by load less the worth of the cache among the two homes of the
// prefix and the best candidate that has a part of the prompt cached. The
// homes follow from the prefix and the names only, so that all entries place a
// new prefix on the same endpoints. Once a prefix is known to be cached
// somewhere, its first home counts as having it too, since other entries send
// it there; before, it may be a prompt that never comes again. A candidate
// above the load bound is neither a home nor chosen for its cache. Calls
// without a prefix go to the less loaded of two random candidates.
class PrefixAffinityPolicy : public Policy {
 public:
  std::size_t Choose(const CallView& call,
                     std::span<const Candidate> candidates,
                     kernel::Random& random) override {
    const double mean = MeanRelativeLoad(candidates);
    m_worth = kCachedPromptWorth * std::max(1.0, mean);
    const CandidatePair pair =
        call.prefix_hash == 0 ? DrawTwo(candidates.size(), random)
                              : HomesOf(call.prefix_hash, candidates, mean);
    const std::size_t cached = BestCached(candidates, mean, random);
    if (cached == candidates.size()) {
      return Better(candidates, pair.first, pair.second);
    }
    return Better(candidates, BetterHome(candidates, pair), cached);
  }

 private:
  double Cost(const Candidate& candidate) const {
    return RelativeLoad(candidate) - m_worth * candidate.cached_prefix_share;
  }

  std::size_t Better(std::span<const Candidate> candidates,
                     std::size_t first,
                     std::size_t second) const {
    return Cost(candidates[second]) < Cost(candidates[first]) ? second : first;
  }

  // Chooses between homes. The first one counts as having the prefix cached to
  // some part, for other entries send it there too.
  std::size_t BetterHome(std::span<const Candidate> candidates,
                         const CandidatePair& homes) const {
    const Candidate& first = candidates[homes.first];
    const double assumed =
        std::max(first.cached_prefix_share, kFirstHomeCachedShare);
    const double first_cost = RelativeLoad(first) - m_worth * assumed;
    return Cost(candidates[homes.second]) < first_cost ? homes.second
                                                       : homes.first;
  }

  // Returns the two candidates within the load bound that come first in the
  // rendezvous order of the prefix. At least the least loaded candidate is
  // within the bound.
  static CandidatePair HomesOf(std::uint64_t prefix,
                               std::span<const Candidate> candidates,
                               double mean) {
    CandidatePair homes{candidates.size(), candidates.size()};
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (!IsWithinBound(candidates[i], mean)) {
        continue;
      }
      const std::uint64_t weight = Weight(prefix, candidates[i].instance);
      if (homes.first == candidates.size() || weight > first_weight) {
        homes.second = homes.first;
        second_weight = first_weight;
        homes.first = i;
        first_weight = weight;
      } else if (homes.second == candidates.size() || weight > second_weight) {
        homes.second = i;
        second_weight = weight;
      }
    }
    if (homes.second == candidates.size()) {
      homes.second = homes.first;
    }
    return homes;
  }

  static std::uint64_t Weight(std::uint64_t prefix, const std::string& name) {
    return kernel::Random(prefix ^ kernel::StableHash(name)).Next();
  }

  // Returns the cheapest candidate that has a part of the prompt cached and
  // is within the load bound, or the number of candidates if there is none.
  std::size_t BestCached(std::span<const Candidate> candidates,
                         double mean,
                         kernel::Random& random) const {
    std::size_t best = candidates.size();
    std::size_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].cached_prefix_share <= 0 ||
          !IsWithinBound(candidates[i], mean)) {
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

  static bool IsWithinBound(const Candidate& candidate, double mean) {
    const double capacity = std::max(candidate.capacity, 1.0);
    return candidate.estimated_calls <= kLoadBound * mean * capacity + 1;
  }

  double m_worth = kCachedPromptWorth;  // For the call being routed.
};

const kernel::Registration<PolicyFactory> registration("prefix-affinity", [] {
  return std::make_unique<PrefixAffinityPolicy>();
});

}  // namespace

void AnchorPrefixAffinityPolicy() {}

}  // namespace radishrudder::routing
