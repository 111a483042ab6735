#include "radishrudder/direct/endpoint_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::direct {
namespace {

// A run that named no limit any more, or of which nothing was heard for long,
// is forgotten after this time.
constexpr std::chrono::seconds kEndedTime{30};
constexpr std::chrono::minutes kMaximumAge{10};
// Reports take time, and the sender's clock reading differs from the receiver's
// by that time. One that repeats what is known must be newer by this, or its
// date would creep forward as entries tell each other of it.
constexpr std::chrono::milliseconds kReportError{500};
// Part of a limit that entries use, since their views of each other differ.
constexpr double kUsedPart = 0.9;
// A lower limit counts as this one, in requests a second: an endpoint that gets
// none cannot say that its limit has ended.
constexpr double kMinimumLimit = 0.1;
// What an entry may send at once, as requests of this time at its rate.
constexpr double kBurstSeconds = 0.5;
// Part of the time between its requests in which an entry that does not know
// the others may send one: many entries that start together and get callers at
// the same moment must not all send one at once.
constexpr double kIntervalPart = 0.125;
// A limit that no answer has confirmed for this time may have ended without
// this entry's knowing: it tries the endpoint with a small share.
constexpr std::chrono::seconds kConfirmationTime{10};
// Callers of an entry without a share may return after this time; another entry
// may serve them.
constexpr std::chrono::seconds kNoShareDelay{1};
// An entry that was not heard of for this long has left.
constexpr std::chrono::seconds kEntryLifetime{60};
constexpr std::size_t kMaximumEntries = 512;

kernel::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

bool EndpointLimits::OnNamed(kernel::Time now,
                             const routing::EndpointRun& run,
                             std::optional<double> requests_per_second) {
  if (!requests_per_second && m_known.empty()) {
    return false;
  }
  return Update(now, Run(run.instance, run.incarnation),
                {requests_per_second, now}, kernel::Duration::zero());
}

void EndpointLimits::OnEntry(kernel::Time now, std::string_view name) {
  if (name == m_entry) {
    return;
  }
  const auto found = m_entries.find(name);
  if (found != m_entries.end()) {
    found->second = now;
  } else if (m_entries.size() < kMaximumEntries) {
    m_entries.emplace(std::string(name), now);
    for (auto& [run, limit] : m_known) {
      limit.own_rank += ComesBefore(run, name) ? 1 : 0;
    }
  }
}

kernel::Time EndpointLimits::AvailableAt(
    kernel::Time now,
    const routing::EndpointRun& run) const {
  const Limit* limit = Find(run);
  if (limit == nullptr || !limit->requests_per_second) {
    return {};
  }
  const double rate = OwnRate(now, *limit);
  if (rate == 0) {
    return now + kNoShareDelay;
  }
  if (!m_acquainted) {
    return std::max(limit->next_request, now + TimeToInterval(now, run, rate));
  }
  const double burst = std::max(1.0, rate * kBurstSeconds);
  return limit->next_request - FromSeconds((burst - 1) / rate);
}

void EndpointLimits::OnSelected(kernel::Time now,
                                const routing::EndpointRun& run) {
  const auto found = m_known.find(run);
  if (found == m_known.end() || !found->second.requests_per_second) {
    return;
  }
  Limit& limit = found->second;
  const double rate = OwnRate(now, limit);
  if (rate > 0) {
    // An interval is followed by the next after the whole time.
    const double seconds = (m_acquainted ? 1 : 1 - kIntervalPart) / rate;
    limit.next_request =
        std::max(limit.next_request, now) + FromSeconds(seconds);
  }
}

EndpointLimits::Shares EndpointLimits::SharesOf(const Limit& limit) const {
  const double total = std::max(*limit.requests_per_second, kMinimumLimit);
  Shares shares{.entries = std::max(m_entries.size() + 1, m_entry_count),
                .own_rank = limit.own_rank,
                .requests_per_second = total * kUsedPart};
  shares.count = m_acquainted
                     ? std::min(shares.entries,
                                static_cast<std::size_t>(std::floor(
                                    total * m_division.shares_per_request)) +
                                    m_division.minimum_shares)
                     : shares.entries;
  return shares;
}

bool EndpointLimits::ComesBefore(const Run& run, std::string_view entry) const {
  return kernel::StableHash(run.first, entry) >
         kernel::StableHash(run.first, m_entry);
}

std::size_t EndpointLimits::RankOf(const Run& run) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_entries,
      [&](const auto& entry) { return ComesBefore(run, entry.first); }));
}

double EndpointLimits::OwnRate(kernel::Time now, const Limit& limit) const {
  const Shares shares = SharesOf(limit);
  if (shares.own_rank < shares.count) {
    return shares.requests_per_second / static_cast<double>(shares.count);
  }
  return now - limit.named_at < kConfirmationTime
             ? 0
             : shares.requests_per_second / static_cast<double>(shares.entries);
}

kernel::Duration EndpointLimits::TimeToInterval(kernel::Time now,
                                                const routing::EndpointRun& run,
                                                double rate) const {
  const double period = 1 / rate;
  const double phase =
      static_cast<double>(kernel::StableHash(run.instance, m_entry)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double position =
      std::fmod(std::chrono::duration<double>(now.time_since_epoch()).count() +
                    phase * period,
                period);
  return position < period * kIntervalPart ? kernel::Duration::zero()
                                           : FromSeconds(period - position);
}

const EndpointLimits::Limit* EndpointLimits::Find(
    const routing::EndpointRun& run) const {
  if (m_known.empty()) {
    return nullptr;
  }
  const auto found = m_known.find(run);
  return found != m_known.end() ? &found->second : nullptr;
}

void EndpointLimits::Merge(kernel::Time now,
                           std::span<const EndpointLimit> limits) {
  for (const EndpointLimit& limit : limits) {
    if (now - limit.named_at < kMaximumAge) {
      Update(now, Run(limit.endpoint, limit.incarnation),
             {limit.requests_per_second, std::min(limit.named_at, now)},
             kReportError);
    }
  }
}

bool EndpointLimits::Update(kernel::Time now,
                            Run run,
                            Limit limit,
                            kernel::Duration minimum_difference) {
  const auto found = m_known.find(run);
  if (found == m_known.end() && (!limit.requests_per_second ||
                                 m_known.size() >= m_division.maximum_runs)) {
    return false;
  }
  const bool is_new =
      found == m_known.end() ||
      found->second.requests_per_second != limit.requests_per_second;
  if (found != m_known.end()) {
    const Limit& known = found->second;
    if (limit.named_at < known.named_at + (is_new ? kernel::Duration::zero()
                                                  : minimum_difference)) {
      return false;
    }
    limit.next_request = known.next_request;
    limit.own_rank = known.own_rank;
  } else {
    limit.own_rank = RankOf(run);
  }
  if (is_new && limit.requests_per_second) {
    // All entries learn of it at about the same time; their requests alternate,
    // so that the end of the limit is noticed soon as well.
    const Shares shares = SharesOf(limit);
    limit.next_request =
        std::max(limit.next_request,
                 now + FromSeconds(static_cast<double>(shares.own_rank) /
                                   shares.requests_per_second));
  }
  m_known.insert_or_assign(std::move(run), limit);
  m_revision += is_new ? 1 : 0;
  return is_new;
}

void EndpointLimits::OnTick(kernel::Time now) {
  std::erase_if(m_entries, [this, now](const auto& entry) {
    if (now - entry.second < kEntryLifetime) {
      return false;
    }
    for (auto& [run, limit] : m_known) {
      limit.own_rank -= ComesBefore(run, entry.first) ? 1 : 0;
    }
    return true;
  });
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
