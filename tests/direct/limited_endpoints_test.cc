// Several entries in front of endpoints some of which name the rate of requests
// that they take from all entries together, on a simulated clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <variant>

#include "radishrudder/direct/entry.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

// The users' rule: from this time after an endpoint first named its limit, it
// gets in no window more than the limit allows, times the factor, and some
// requests more. Those of an entry count from half a second after the entry
// learned of the limit.
constexpr milliseconds kSettlingTime{3000};
constexpr milliseconds kWindow{4000};
constexpr milliseconds kLearningTime{500};
constexpr double kFactor = 1.5;
constexpr double kAdditionalRequests = 5;

// Part of its limit that an endpoint gets when callers bring more.
constexpr double kMinimumUsedPart = 0.5;
// Time after the end of a limit at which all callers are served again.
constexpr milliseconds kRecoveryTime{3000};
// Part of what the other endpoints get that one gets after its limit.
constexpr double kMinimumPartAfterwards = 0.3;

constexpr milliseconds kStep{10};
constexpr milliseconds kLimitFrom{12000};
constexpr milliseconds kNewsDelay{250};
constexpr std::size_t kNewsFanOut = 4;
constexpr milliseconds kExchangeInterval{2000};
// Delay of a request, of its answer and of a report between entries.
constexpr milliseconds kDelay{10};
constexpr std::uint32_t kSlots = 16;

struct LimitLoad {
  const char* name;
  std::size_t entries;
  std::size_t endpoints;
  std::size_t limited;
  double requests_per_second;  // That a limited endpoint takes.
  double calls_per_second;     // That callers bring to all entries.
  milliseconds limit_until{40000};
  // An entry that knows nothing joins.
  std::optional<milliseconds> entry_joins{};
  // Less than the time after which a silent endpoint counts as unresponsive.
  milliseconds answer_time{300};
};

Configuration MakeConfiguration() {
  RouteRule route;
  route.name = "route";
  route.host = "shop.example";
  route.prefix = "/a/";
  route.kind = RouteKind::kIdempotent;
  route.maximum_attempts = 2;
  route.timeout = milliseconds(6000);
  route.services = {{"service", 1}};
  Configuration configuration;
  configuration.version = 1;
  configuration.routes = {route};
  configuration.services = {{.name = "service"}};
  return configuration;
}

class LimitedFleet {
 public:
  LimitedFleet(const LimitLoad& load, std::uint64_t seed)
      : m_load(load), m_random(seed) {
    for (std::size_t i = 0; i < load.endpoints; ++i) {
      ListedEndpoint endpoint;
      endpoint.id = "i-" + std::to_string(i);
      endpoint.service = "service";
      endpoint.address = endpoint.id;
      endpoint.slots = kSlots;
      endpoint.started = 1;
      m_listed.push_back(endpoint);
    }
    for (std::size_t i = 0; i < load.entries; ++i) {
      Join();
    }
  }

  void Run(milliseconds until) {
    while (Elapsed() < until) {
      Step();
    }
  }

  // The largest number of requests in a window that count for the rule.
  double MostInAWindow(const std::string& endpoint) const {
    const auto named = m_first_named.find(endpoint);
    if (named == m_first_named.end()) {
      return 0;
    }
    std::deque<kernel::Time> window;
    std::size_t most = 0;
    for (const Arrival& arrival : m_arrivals) {
      if (arrival.endpoint != endpoint ||
          arrival.at < named->second + kSettlingTime ||
          arrival.at - m_start > m_load.limit_until || !Knew(arrival)) {
        continue;
      }
      window.push_back(arrival.at);
      while (window.front() + kWindow <= arrival.at) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return static_cast<double>(most);
  }
  std::size_t Arrivals(const std::string& endpoint,
                       milliseconds from,
                       milliseconds to) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_arrivals, [&](const Arrival& arrival) {
          return arrival.endpoint == endpoint && arrival.at - m_start >= from &&
                 arrival.at - m_start < to;
        }));
  }
  // Callers that were refused from that time on.
  std::size_t RefusedFrom(milliseconds from) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        m_refusals, [&](kernel::Time at) { return at - m_start >= from; }));
  }

 private:
  struct Work {
    std::size_t entry = 0;
    CallId call = 0;
    std::string endpoint{};
    kernel::Time answered_at{};
  };
  struct Arrival {
    std::string endpoint{};
    std::size_t entry = 0;
    kernel::Time at{};
  };
  struct Report {
    std::size_t to = 0;
    kernel::Time sent_at{};
    std::vector<EndpointLimit> limits{};
    std::vector<routing::Demand> demands{};
  };

  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(m_now - m_start);
  }

  bool Knew(const Arrival& arrival) const {
    const auto told = m_told.find({arrival.entry, arrival.endpoint});
    return told != m_told.end() && told->second + kLearningTime <= arrival.at;
  }

  std::optional<double> LimitOf(const std::string& endpoint) const {
    for (std::size_t i = 0; i < m_load.limited; ++i) {
      if (m_listed[i].id == endpoint && Elapsed() >= kLimitFrom &&
          Elapsed() < m_load.limit_until) {
        return m_load.requests_per_second;
      }
    }
    return std::nullopt;
  }

  void Join() {
    EntrySettings settings{.name = "entry-" + std::to_string(m_entries.size())};
    m_entries.push_back(
        std::make_unique<Entry>(settings, kernel::Random(m_random.Next())));
    m_entries.back()->OnConfiguration(m_now, MakeConfiguration());
    m_entries.back()->OnEndpoints(m_now, m_listed);
    m_revisions.push_back(0);
    m_next_news.push_back(m_now);
  }

  void Step() {
    m_now += kStep;
    if (m_load.entry_joins && Elapsed() == *m_load.entry_joins) {
      Join();
    }
    m_due += m_load.calls_per_second *
             std::chrono::duration<double>(kStep).count() * 2 *
             m_random.Uniform();
    for (; m_due >= 1; m_due -= 1) {
      Offer(m_random.Below(m_entries.size()));
    }
    AnswerWork();
    Exchange();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      m_entries[i]->OnConfigurationConfirmed(m_now.time_since_epoch());
      m_entries[i]->OnTick(m_now);
      CarryOut(i);
    }
  }

  void Exchange() {
    while (!m_reports.empty() && m_reports.front().sent_at + kDelay <= m_now) {
      const Report report = std::move(m_reports.front());
      m_reports.pop_front();
      // Ages are relative: the receiver dates them later by the delay.
      std::vector<EndpointLimit> limits = report.limits;
      for (EndpointLimit& limit : limits) {
        limit.named_at += m_now - report.sent_at;
      }
      m_entries[report.to]->OnEndpointLimits(m_now, limits);
      m_entries[report.to]->OnDemands(m_now, report.demands);
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      const std::uint64_t revision = m_entries[i]->EndpointLimitsRevision();
      if (revision != m_revisions[i] && m_now >= m_next_news[i]) {
        m_revisions[i] = revision;
        m_next_news[i] = m_now + kNewsDelay;
        Tell(i, kNewsFanOut);
      }
    }
    if (m_now >= m_next_exchange) {
      m_next_exchange = m_now + kExchangeInterval;
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Tell(i, 1);
      }
    }
  }

  // An entry and some random others, each a different one, send each other
  // what they know, as `peers` does.
  void Tell(std::size_t entry, std::size_t count) {
    std::set<std::size_t> others;
    while (others.size() < std::min(count, m_entries.size() - 1)) {
      const std::size_t other = m_random.Below(m_entries.size());
      if (other != entry) {
        others.insert(other);
      }
    }
    for (const std::size_t other : others) {
      for (const auto& [from, to] :
           {std::pair(entry, other), std::pair(other, entry)}) {
        m_reports.push_back({to, m_now, m_entries[from]->KnownEndpointLimits(),
                             m_entries[from]->Demands(m_now)});
      }
    }
  }

  void Offer(std::size_t entry) {
    CallerRequest request;
    request.method = "GET";
    request.target = request.path = "/a/b";
    request.host = "shop.example";
    request.attempt_id = "id-" + std::to_string(++m_last_call);
    request.time_left = milliseconds(6000);
    request.received_at = m_now;
    m_entries[entry]->OnRequest(m_now, m_now.time_since_epoch(), m_last_call,
                                std::make_shared<const CallerRequest>(request));
    CarryOut(entry);
  }

  void CarryOut(std::size_t entry) {
    for (const Output& output : m_entries[entry]->TakeOutputs()) {
      if (const auto* send = std::get_if<SendAttempt>(&output)) {
        m_entries[entry]->OnSending(m_now, send->call);
        m_arrivals.push_back({send->endpoint_id, entry, m_now + kDelay});
        m_work.push_back({entry, send->call, send->endpoint_id,
                          m_now + kDelay + m_load.answer_time});
      } else if (const auto* reply = std::get_if<SendResponse>(&output)) {
        if (reply->status == 503) {
          m_refusals.push_back(m_now);
        }
      }
    }
  }

  void AnswerWork() {
    while (!m_work.empty() && m_work.front().answered_at <= m_now) {
      const Work work = std::move(m_work.front());
      m_work.pop_front();
      EndpointResponse head;
      head.status = 200;
      head.attempt_id = "id-" + std::to_string(work.call);
      head.has_signature = true;
      head.requests_per_second = LimitOf(work.endpoint);
      if (head.requests_per_second) {
        m_first_named.emplace(work.endpoint, m_now);
        m_told.emplace(std::pair(work.entry, work.endpoint), m_now);
      }
      m_entries[work.entry]->OnResponseHead(m_now, work.call, head);
      m_entries[work.entry]->OnResponseEnd(m_now, work.call);
      CarryOut(work.entry);
    }
  }

  LimitLoad m_load;
  kernel::Random m_random;
  kernel::Time m_start{std::chrono::hours(1)};
  kernel::Time m_now = m_start;
  std::vector<ListedEndpoint> m_listed;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::uint64_t> m_revisions;  // That were told, by entry.
  std::vector<kernel::Time> m_next_news;   // By entry.
  kernel::Time m_next_exchange{};
  std::deque<Report> m_reports;
  std::deque<Work> m_work;  // In the order of the answers.
  std::vector<Arrival> m_arrivals;
  std::map<std::string, kernel::Time> m_first_named;  // By endpoint.
  std::map<std::pair<std::size_t, std::string>, kernel::Time> m_told;
  double m_due = 0;
  std::vector<kernel::Time> m_refusals;
  CallId m_last_call = 0;
};

class LimitedEndpointsTest : public testing::TestWithParam<LimitLoad> {};

// Guards against an endpoint in need getting several times the requests that it
// said it takes: each entry ignores the limit, or uses all of it for itself.
TEST_P(LimitedEndpointsTest, GetNoMoreThanTheyTakeFromAllEntriesTogether) {
  const LimitLoad& load = GetParam();
  const double allowed = kFactor * load.requests_per_second *
                             std::chrono::duration<double>(kWindow).count() +
                         kAdditionalRequests;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LimitedFleet fleet(load, seed);
    fleet.Run(milliseconds(50000));
    for (std::size_t i = 0; i < load.limited; ++i) {
      const std::string endpoint = "i-" + std::to_string(i);
      EXPECT_LE(fleet.MostInAWindow(endpoint), allowed)
          << endpoint << ", seed " << seed;
      // What it takes is used, and it is used as the others after that.
      const double full =
          load.calls_per_second / static_cast<double>(load.endpoints);
      const auto rate = [&](milliseconds from, milliseconds to) {
        return static_cast<double>(fleet.Arrivals(endpoint, from, to)) /
               std::chrono::duration<double>(to - from).count();
      };
      EXPECT_GE(rate(milliseconds(20000), milliseconds(40000)),
                std::min(load.requests_per_second, full) * kMinimumUsedPart)
          << endpoint << ", seed " << seed;
      EXPECT_GE(rate(load.limit_until + milliseconds(5000),
                     load.limit_until + milliseconds(10000)),
                full * kMinimumPartAfterwards)
          << endpoint << ", seed " << seed;
    }
    EXPECT_EQ(fleet.RefusedFrom(load.limit_until + kRecoveryTime), 0U)
        << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LimitedEndpointsTest,
    testing::Values(
        LimitLoad{"TwoOfNineteen", 4, 19, 2, 1, 95},
        LimitLoad{"AllOfThree", 4, 3, 3, 1, 30},
        LimitLoad{"TheOnlyOne", 4, 1, 1, 1, 8},
        LimitLoad{"LessThanOneASecond", 4, 19, 2, 0.3, 95},
        LimitLoad{"TwentyASecond", 4, 3, 1, 20, 120},
        LimitLoad{"ManyEntries", 14, 58, 3, 1, 290},
        LimitLoad{"MoreEntriesThanTheLimitHasShares", 22, 30, 3, 0.5, 150},
        LimitLoad{"AnEntryJoins", 4, 19, 2, 1, 95, milliseconds(40000),
                  milliseconds(20000)},
        LimitLoad{"QuickAnswers", 4, 3, 1, 2, 60, milliseconds(40000),
                  std::nullopt, milliseconds(60)}),
    [](const auto& test) { return std::string(test.param.name); });

}  // namespace
}  // namespace radishrudder::direct
