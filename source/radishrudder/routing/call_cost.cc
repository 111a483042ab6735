#include "radishrudder/routing/call_cost.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <string>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::routing {
namespace {

constexpr double kMaximumTokens = 1e7;
constexpr double kHighShare = 0.9;
constexpr std::size_t kMaximumKeys = 512;
// Smallest values of the scales, which span a factor of 65,536: of a length
// relative to what was stated, of a length in tokens and of a duration.
constexpr double kSmallestRatio = 1.0 / 256;
constexpr double kSmallestLength = 1;
constexpr double kSmallestSeconds = 1.0 / 1'024;
// Weight of the wider key's figures before a key has calls of its own. It falls
// in proportion to 1 / (1 + calls / kWiderWeight), so that false figures of one
// workspace hardly count for one with a history.
constexpr double kWiderWeight = 8;
// Limit of the ratios, and of their inverse, that wider keys learn: a workspace
// whose estimates are false by more than that is no guide to others.
constexpr double kMaximumSharedRatio = 8;

enum class Unit { kEstimate, kMaximum, kToken };

double Stated(double tokens) {
  return tokens >= 1 && tokens <= kMaximumTokens ? tokens : 0;
}

Unit UnitOf(const CallFeatures& features) {
  if (Stated(features.answer_estimate) > 0) {
    return Unit::kEstimate;
  }
  return Stated(features.maximum_answer_tokens) > 0 ? Unit::kMaximum
                                                    : Unit::kToken;
}

double TokensOf(Unit unit, const CallFeatures& features) {
  switch (unit) {
    case Unit::kEstimate:
      return features.answer_estimate;
    case Unit::kMaximum:
      return features.maximum_answer_tokens;
    case Unit::kToken:
      break;
  }
  return 1;
}

// What is assumed before any call has ended. Estimates are correct at the
// median; the other two are assumptions that the first calls replace.
const LogDistribution& Assumed(Unit unit) {
  static const LogDistribution estimate =
      LogDistribution::LogNormal(kSmallestRatio, 1, 1);
  static const LogDistribution maximum =
      LogDistribution::LogNormal(kSmallestRatio, 0.4, 1);
  static const LogDistribution token =
      LogDistribution::LogNormal(kSmallestLength, 150, 1.5);
  switch (unit) {
    case Unit::kEstimate:
      return estimate;
    case Unit::kMaximum:
      return maximum;
    case Unit::kToken:
      break;
  }
  return token;
}

// Keys of a call from the widest to the narrowest.
std::array<std::uint64_t, 3> KeysOf(Unit unit, const CallFeatures& features) {
  const std::string prefix = std::to_string(static_cast<int>(unit));
  const std::uint64_t all = kernel::StableHash(prefix, "");
  const std::uint64_t route = kernel::StableHash(prefix + "r", features.route);
  const std::uint64_t workspace = kernel::StableHash(
      prefix + "w" + std::to_string(route), features.workspace);
  return {all, route, workspace};
}

}  // namespace

const LogDistribution* KeyedDistributions::Find(std::uint64_t key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? nullptr : &found->second.distribution;
}

void KeyedDistributions::Add(std::uint64_t key, double value) {
  if (!m_items.contains(key) && m_items.size() >= m_maximum_keys) {
    m_items.erase(std::ranges::min_element(
        m_items, {}, [](const auto& item) { return item.second.learned_at; }));
  }
  Item& item =
      m_items.try_emplace(key, Item{LogDistribution(m_minimum)}).first->second;
  item.distribution.Add(value);
  item.learned_at = ++m_values;
}

CallCosts::CallCosts()
    : m_ratios(kMaximumKeys, kSmallestRatio),
      m_lengths(kMaximumKeys, kSmallestLength),
      m_errors(kSmallestRatio) {}

CallCosts::Basis CallCosts::BasisOf(const CallFeatures& features) const {
  const Unit unit = UnitOf(features);
  const KeyedDistributions& known = unit == Unit::kToken ? m_lengths : m_ratios;
  Basis basis{Assumed(unit), TokensOf(unit, features)};
  for (const std::uint64_t key : KeysOf(unit, features)) {
    if (const LogDistribution* learned = known.Find(key)) {
      LogDistribution narrower = *learned;
      narrower.Blend(basis.distribution,
                     kWiderWeight / (1 + learned->Weight() / kWiderWeight));
      basis.distribution = narrower;
    }
  }
  return basis;
}

CallCost CallCosts::Estimate(const CallFeatures& features) const {
  const Basis basis = BasisOf(features);
  const double stated_maximum = Stated(features.maximum_answer_tokens);
  const double limit = stated_maximum > 0 ? stated_maximum : kMaximumTokens;
  const double mean = basis.distribution.Mean(limit / basis.unit) * basis.unit;
  const double high = basis.distribution.Quantile(kHighShare) * basis.unit;
  CallCost cost;
  cost.prompt_tokens = std::max(1.0, Stated(features.prompt_tokens));
  cost.answer_tokens = std::clamp(mean, 1.0, limit);
  cost.answer_tokens_high = std::clamp(high, cost.answer_tokens, limit);
  return cost;
}

void CallCosts::OnEnded(const CallFeatures& features,
                        double answer_tokens,
                        bool complete) {
  if (!(answer_tokens >= 1 && answer_tokens <= kMaximumTokens)) {
    return;
  }
  const double estimated = Estimate(features).answer_tokens;
  if (complete) {
    const double error = std::abs(estimated - answer_tokens) / answer_tokens;
    m_errors.Add(std::max(error, kSmallestRatio));
  } else if (answer_tokens <= estimated) {
    return;
  }
  const Unit unit = UnitOf(features);
  KeyedDistributions& known = unit == Unit::kToken ? m_lengths : m_ratios;
  const double value = answer_tokens / TokensOf(unit, features);
  const double shared =
      unit == Unit::kToken
          ? value
          : std::clamp(value, 1 / kMaximumSharedRatio, kMaximumSharedRatio);
  const auto keys = KeysOf(unit, features);
  known.Add(keys[0], shared);
  known.Add(keys[1], shared);
  known.Add(keys[2], value);
}

CallTimes::CallTimes() : m_times(kMaximumKeys, kSmallestSeconds) {}

TimeCost CallTimes::Estimate(std::string_view route) const {
  const LogDistribution* times = m_times.Find(kernel::StableHash("", route));
  if (times == nullptr) {
    return {};
  }
  return {times->Mean(std::numeric_limits<double>::infinity()),
          times->Quantile(kHighShare)};
}

void CallTimes::OnEnded(std::string_view route, double seconds) {
  if (seconds > 0 && std::isfinite(seconds)) {
    m_times.Add(kernel::StableHash("", route), seconds);
  }
}

}  // namespace radishrudder::routing
