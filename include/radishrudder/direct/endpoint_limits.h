#ifndef RADISHRUDDER_DIRECT_ENDPOINT_LIMITS_H_
#define RADISHRUDDER_DIRECT_ENDPOINT_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/routing/endpoint.h"

namespace radishrudder::direct {

// The rate of requests that an endpoint run takes from all entries together, as
// of its answer at `named_at`. Nothing: it named none.
struct EndpointLimit {
  std::string endpoint{};
  std::uint64_t incarnation = 0;
  std::optional<double> requests_per_second{};
  kernel::Time named_at{};
};

// How limits are divided among entries.
struct LimitDivision {
  // Number of entries that share a limit: so many for each request a second,
  // and some more. Each of them may send one request at any time, so that all
  // of these together must be bearable as well.
  double shares_per_request = 2;
  std::size_t minimum_shares = 2;
  // Number of endpoint runs that are remembered.
  std::size_t maximum_runs = 512;
};

// The limits that endpoints named to this entry or to another one, and this
// entry's part of them. Entries agree on the parts without a message for each
// request: a limit is divided evenly among as many entries as it has room for,
// which a hash of the endpoint and the names of the entries selects. State
// machine without clocks.
class EndpointLimits {
 public:
  explicit EndpointLimits(std::string entry, LimitDivision division = {})
      : m_entry(std::move(entry)), m_division(division) {}

  // Another entry was heard of.
  void OnEntry(kernel::Time now, std::string_view name);
  // At least this many entries exist, this one included.
  void OnEntryCount(std::size_t count) { m_entry_count = count; }

  // Whether this entry has had time to hear of the others. Until then it can't
  // tell who has a share: it takes one of as many as there are entries, at
  // times that a hash spreads over the entries.
  void OnAcquainted(bool acquainted) { m_acquainted = acquainted; }

  // An answer of the run named a limit, or none. Returns whether that is new.
  bool OnNamed(kernel::Time now,
               const routing::EndpointRun& run,
               std::optional<double> requests_per_second);
  // What another entry knows. The latest answer of a run holds.
  void Merge(kernel::Time now, std::span<const EndpointLimit> limits);
  void OnTick(kernel::Time now);

  bool IsEmpty() const { return m_known.empty(); }
  // When this entry may send the run a request; not after `now` if it may at
  // once.
  kernel::Time AvailableAt(kernel::Time now,
                           const routing::EndpointRun& run) const;
  // A call was assigned to the run.
  void OnSelected(kernel::Time now, const routing::EndpointRun& run);

  // What this entry knows, for others.
  std::vector<EndpointLimit> Known() const;
  // Increases when a limit is new, changes or ends.
  std::uint64_t Revision() const { return m_revision; }

 private:
  using Run = std::pair<std::string, std::uint64_t>;
  // Finds runs by views of their names.
  struct RunOrder {
    using is_transparent = void;
    static std::pair<std::string_view, std::uint64_t> View(const Run& run) {
      return {run.first, run.second};
    }
    static std::pair<std::string_view, std::uint64_t> View(
        const routing::EndpointRun& run) {
      return {run.instance, run.incarnation};
    }
    bool operator()(const auto& first, const auto& second) const {
      return View(first) < View(second);
    }
  };
  struct Limit {
    std::optional<double> requests_per_second{};
    kernel::Time named_at{};
    // When the next request is due if requests are evenly spaced.
    kernel::Time next_request{};
    // Number of known entries that come before this one for a share. Counted
    // when runs and entries become known: choosing an endpoint must be cheap.
    std::size_t own_rank = 0;
  };

  // Who shares a limit.
  struct Shares {
    std::size_t entries = 0;   // All that are known.
    std::size_t count = 0;     // Those that share it.
    std::size_t own_rank = 0;  // This entry has a share if it is below `count`.
    double requests_per_second = 0;  // Of all shares.
  };

  const Limit* Find(const routing::EndpointRun& run) const;
  Shares SharesOf(const Limit& limit) const;
  // Requests that this entry may send the run each second; 0: none.
  double OwnRate(kernel::Time now, const Limit& limit) const;
  // Time until this entry's next interval for a run while it does not know the
  // others; zero: in the interval.
  kernel::Duration TimeToInterval(kernel::Time now,
                                  const routing::EndpointRun& run,
                                  double rate) const;
  bool ComesBefore(const Run& run, std::string_view entry) const;
  std::size_t RankOf(const Run& run) const;
  bool Update(kernel::Time now,
              Run run,
              Limit limit,
              kernel::Duration minimum_difference);

  std::string m_entry;
  LimitDivision m_division;
  bool m_acquainted = true;
  // Other entries, and when each was last heard of.
  std::map<std::string, kernel::Time, std::less<>> m_entries;
  std::size_t m_entry_count = 1;
  std::map<Run, Limit, RunOrder> m_known;
  std::uint64_t m_revision = 0;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENDPOINT_LIMITS_H_
