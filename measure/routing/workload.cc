#include "measure/routing/workload.h"

#include <algorithm>
#include <cmath>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::measure {
namespace {

constexpr std::size_t kPrefixesPerWorkspace = 12;
constexpr std::uint32_t kShortestPrefixTokens = 500;
constexpr std::uint32_t kLongestPrefixTokens = 2'500;
constexpr double kMeanOwnTokens = 200;
constexpr double kMeanOutputTokens = 120;
constexpr std::uint32_t kMaximumOutputTokens = 600;
constexpr double kBurstSeconds = 4;  // Mean time at the same rate.
constexpr double kHighRate = 1.3;    // Of the mean rate.
constexpr double kLowRate = 0.7;

// Returns cumulative shares that fall as 1 / rank.
std::vector<double> SkewedSums(std::size_t count) {
  std::vector<double> sums;
  double sum = 0;
  for (std::size_t rank = 1; rank <= count; ++rank) {
    sum += 1.0 / static_cast<double>(rank);
    sums.push_back(sum);
  }
  for (double& value : sums) {
    value /= sum;
  }
  return sums;
}

std::size_t Draw(const std::vector<double>& sums, kernel::Random& random) {
  const auto found =
      std::upper_bound(sums.begin(), sums.end(), random.Uniform());
  return std::min<std::size_t>(found - sums.begin(), sums.size() - 1);
}

}  // namespace

Workload::Workload(std::uint32_t workspaces,
                   double shared,
                   double calls_per_second,
                   kernel::Random random)
    : m_shared(shared),
      m_calls_per_second(calls_per_second),
      m_random(random),
      m_workspace_sums(SkewedSums(workspaces)),
      m_prefix_sums(SkewedSums(kPrefixesPerWorkspace)) {}

Prompt Workload::NextPrompt() {
  Prompt prompt;
  prompt.workspace =
      static_cast<std::uint32_t>(Draw(m_workspace_sums, m_random));
  const std::size_t rank = Draw(m_prefix_sums, m_random);
  prompt.prefix = m_random.Chance(m_shared)
                      ? kernel::StableHash(std::to_string(prompt.workspace),
                                           std::to_string(rank))
                      : m_random.Next();
  prompt.prefix_tokens =
      kShortestPrefixTokens +
      prompt.prefix % (kLongestPrefixTokens - kShortestPrefixTokens);
  prompt.own_tokens =
      1 + static_cast<std::uint32_t>(Exponential(kMeanOwnTokens));
  prompt.output_tokens =
      std::min(1 + static_cast<std::uint32_t>(Exponential(kMeanOutputTokens)),
               kMaximumOutputTokens);
  return prompt;
}

double Workload::SecondsToNext(double now_seconds) {
  double time = now_seconds;
  while (true) {
    const double rate = m_calls_per_second * (m_burst ? kHighRate : kLowRate);
    const double next = time + Exponential(1 / rate);
    if (next <= m_change_seconds) {
      return next - now_seconds;
    }
    time = m_change_seconds;
    m_burst = !m_burst;
    m_change_seconds += Exponential(kBurstSeconds);
  }
}

double Workload::Exponential(double mean) {
  return -mean * std::log1p(-m_random.Uniform());
}

MeanPrompt MeanOfWorkload() {
  return {(kShortestPrefixTokens + kLongestPrefixTokens) / 2.0, kMeanOwnTokens,
          kMeanOutputTokens};
}

}  // namespace radishrudder::measure
