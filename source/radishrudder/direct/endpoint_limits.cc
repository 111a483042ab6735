#include "radishrudder/direct/endpoint_limits.h"

#include <algorithm>

namespace radishrudder::direct {
namespace {

// Number of endpoint runs that are remembered.
constexpr std::size_t kMaximumRuns = 512;
// A run that named no limit any more, or of which nothing was heard for long,
// is forgotten after this time.
constexpr std::chrono::seconds kEndedTime{30};
constexpr std::chrono::minutes kMaximumAge{10};
// Reports take time, and the sender's clock reading differs from the receiver's
// by that time. One that repeats what is known must be newer by this, or its
// date would creep forward as entries tell each other of it.
constexpr std::chrono::milliseconds kReportError{500};

}  // namespace

bool EndpointLimits::OnNamed(kernel::Time now,
                             const routing::EndpointRun& run,
                             std::optional<double> requests_per_second) {
  if (!requests_per_second && m_known.empty()) {
    return false;
  }
  return Update(Run(run.instance, run.incarnation), {requests_per_second, now},
                kernel::Duration::zero());
}

void EndpointLimits::Merge(kernel::Time now,
                           std::span<const EndpointLimit> limits) {
  for (const EndpointLimit& limit : limits) {
    if (now - limit.named_at < kMaximumAge) {
      Update(Run(limit.endpoint, limit.incarnation),
             {limit.requests_per_second, std::min(limit.named_at, now)},
             kReportError);
    }
  }
}

bool EndpointLimits::Update(Run run,
                            const Limit& limit,
                            kernel::Duration minimum_difference) {
  const auto found = m_known.find(run);
  if (found == m_known.end()) {
    if (!limit.requests_per_second || m_known.size() >= kMaximumRuns) {
      return false;
    }
    m_known.emplace(std::move(run), limit);
    ++m_revision;
    return true;
  }
  Limit& known = found->second;
  const bool differs = known.requests_per_second != limit.requests_per_second;
  if (limit.named_at < known.named_at + (differs ? kernel::Duration::zero()
                                                 : minimum_difference)) {
    return false;
  }
  known.requests_per_second = limit.requests_per_second;
  known.named_at = limit.named_at;
  m_revision += differs ? 1 : 0;
  return differs;
}

void EndpointLimits::OnTick(kernel::Time now) {
  std::erase_if(m_known, [now](const auto& item) {
    const kernel::Duration age = now - item.second.named_at;
    return age >= kMaximumAge ||
           (!item.second.requests_per_second && age >= kEndedTime);
  });
}

std::vector<EndpointLimit> EndpointLimits::Known() const {
  std::vector<EndpointLimit> limits;
  for (const auto& [run, limit] : m_known) {
    limits.push_back(
        {run.first, run.second, limit.requests_per_second, limit.named_at});
  }
  return limits;
}

}  // namespace radishrudder::direct
