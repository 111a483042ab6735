#include "measure/routing/workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::measure {
namespace {

constexpr std::size_t kPrefixesPerWorkspace = 12;
constexpr std::uint32_t kShortestPrefixTokens = 500;
constexpr std::uint32_t kLongestPrefixTokens = 2'500;
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
                   CallSizes sizes,
                   kernel::Random random)
    : m_sizes(sizes),
      m_shared(shared),
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
  if (m_sizes.prefixes) {
    prompt.prefix_tokens =
        kShortestPrefixTokens +
        prompt.prefix % (kLongestPrefixTokens - kShortestPrefixTokens);
  }
  prompt.own_tokens =
      1 + static_cast<std::uint32_t>(Exponential(m_sizes.mean_own_tokens));
  AddOutput(prompt);
  return prompt;
}

void Workload::AddOutput(Prompt& prompt) {
  const double spread = m_sizes.output_spread;
  // The mean of a log-normal ratio with median 1 is exp(spread^2 / 2).
  const double drawn =
      Exponential(m_sizes.mean_output_tokens * std::exp(-spread * spread / 2));
  double output = drawn;
  if (spread > 0) {
    prompt.output_estimate = 1 + std::floor(drawn);
    output = drawn * std::exp(spread * Normal());
  }
  prompt.output_tokens = 1 + static_cast<std::uint32_t>(std::min(
                                 output, m_sizes.maximum_output_tokens - 1.0));
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

double Workload::Normal() {
  constexpr double kTurn = 2 * std::numbers::pi;
  return std::sqrt(-2 * std::log1p(-m_random.Uniform())) *
         std::cos(kTurn * m_random.Uniform());
}

MeanPrompt MeanOfWorkload(const CallSizes& sizes) {
  const double prefix =
      sizes.prefixes ? (kShortestPrefixTokens + kLongestPrefixTokens) / 2.0 : 0;
  if (sizes.output_spread == 0) {
    return {prefix, sizes.mean_own_tokens, sizes.mean_output_tokens};
  }
  // The maximum cuts the tail of the lengths, so the mean is taken of a sample.
  constexpr int kSamples = 50'000;
  Workload sample(1, 0, 1, sizes, kernel::Random(1));
  double output = 0;
  for (int i = 0; i < kSamples; ++i) {
    output += sample.NextPrompt().output_tokens;
  }
  return {prefix, sizes.mean_own_tokens, output / kSamples};
}

}  // namespace radishrudder::measure
