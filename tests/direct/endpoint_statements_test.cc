// Random series of what endpoints say of themselves in their answers, among
// restarts of endpoints and entries and suspensions of entries, on a simulated
// clock. The users' rules are checked at the endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/direct/entry.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

// The users' rules.
constexpr milliseconds kArrivalTime{500};
constexpr std::size_t kMaximumArrivalsInAPause = 2;
constexpr milliseconds kDrainTime{2000};
constexpr milliseconds kSettlingTime{3000};
constexpr milliseconds kWindow{4000};
constexpr double kFactor = 1.5;
constexpr double kAdditionalRequests = 5;

constexpr milliseconds kStep{10};
constexpr milliseconds kDuration{60000};
constexpr milliseconds kFirstEvent{6000};
constexpr milliseconds kDelay{10};
constexpr milliseconds kMaximumConnectTime{250};
constexpr milliseconds kListLag{400};
constexpr milliseconds kNewsDelay{250};
constexpr milliseconds kExchangeInterval{2000};
constexpr std::size_t kNewsFanOut = 4;
constexpr std::uint64_t kSeedsInCi = 20;

Configuration MakeConfiguration() {
  RouteRule route;
  route.name = "route";
  route.host = "shop.example";
  route.prefix = "/a/";
  route.kind = RouteKind::kIdempotent;
  route.maximum_attempts = 3;
  route.timeout = milliseconds(6000);
  route.services = {{"service", 1}};
  Configuration configuration;
  configuration.version = 1;
  configuration.routes = {route};
  configuration.services = {{.name = "service"}};
  return configuration;
}

class StatementFleet {
 public:
  explicit StatementFleet(std::uint64_t seed) : m_random(seed) {
    m_endpoints.resize(3 + m_random.Below(5));
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
      Endpoint& endpoint = m_endpoints[i];
      endpoint.listed.id = "i-" + std::to_string(i);
      endpoint.listed.service = "service";
      endpoint.listed.address = endpoint.listed.id;
      endpoint.listed.slots = 8;
      endpoint.listed.started = ++m_last_start;
    }
    m_entries.resize(2 + m_random.Below(6));
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      StartEntry(i);
    }
    m_calls_per_second = 20.0 + static_cast<double>(m_random.Below(100));
  }

  void Run() {
    kernel::Time next_event = m_start + kFirstEvent;
    while (m_now - m_start < kDuration) {
      m_now += kStep;
      if (m_now >= next_event) {
        next_event = m_now + Between(300, 4000);
        HappenSomething();
      }
      while (!m_agenda.empty() && m_agenda.begin()->first <= m_now) {
        const auto action = std::move(m_agenda.begin()->second);
        m_agenda.erase(m_agenda.begin());
        action();
      }
      m_due += m_calls_per_second *
               std::chrono::duration<double>(kStep).count() * 2 *
               m_random.Uniform();
      for (; m_due >= 1; m_due -= 1) {
        Offer(m_random.Below(m_entries.size()));
      }
      Exchange();
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_now >= m_entries[i].suspended_until) {
          m_entries[i].core->OnConfigurationConfirmed(m_now.time_since_epoch());
          m_entries[i].core->OnTick(m_now);
          CarryOut(i);
        }
      }
    }
  }

  // Each breach of a rule, in words.
  std::vector<std::string> Breaches() const {
    std::vector<std::string> breaches;
    for (const Statement& pause : m_pauses) {
      const auto arrivals =
          std::ranges::count_if(m_arrivals, [&](const Arrival& arrival) {
            return arrival.run == pause.run && arrival.entry == pause.entry &&
                   arrival.at > pause.at + kArrivalTime &&
                   arrival.at < pause.at + pause.duration;
          });
      if (static_cast<std::size_t>(arrivals) > kMaximumArrivalsInAPause &&
          !IsExcused(pause.entry, pause.at, pause.at + pause.duration)) {
        breaches.push_back(std::to_string(arrivals) + " calls in a pause");
      }
    }
    for (const Statement& leaving : m_leavings) {
      for (const Arrival& arrival : m_arrivals) {
        if (arrival.run == leaving.run && arrival.entry == leaving.entry &&
            arrival.offered_at > leaving.at + kDrainTime &&
            !IsExcused(leaving.entry, leaving.at, arrival.at)) {
          breaches.push_back("a call at an endpoint that leaves");
        }
      }
    }
    for (const Limit& limit : m_limits) {
      AddLimitBreach(limit, breaches);
    }
    return breaches;
  }
  std::size_t Statements() const {
    return m_pauses.size() + m_leavings.size() + m_told.size();
  }
  std::size_t Answered() const { return m_answered; }

 private:
  struct Endpoint {
    ListedEndpoint listed;
    std::optional<kernel::Time> down_until{};
    kernel::Time asks_for_pauses_until{};
    milliseconds pause{0};
    kernel::Time limited_until{};
    double limit = 0;
    bool leaving = false;
  };
  struct EntryProcess {
    std::unique_ptr<Entry> core{};
    std::uint64_t start = 0;  // Calls of an earlier start are gone.
    kernel::Time suspended_until{};
    std::uint64_t told_revision = 0;
    kernel::Time next_news{};
  };
  // Something that a run said to an entry, when the entry was told.
  struct Statement {
    std::uint64_t run = 0;
    std::size_t entry = 0;
    kernel::Time at{};
    milliseconds duration{0};
  };
  struct Limit {
    std::uint64_t run = 0;
    double requests_per_second = 0;
    kernel::Time named_at{};
    kernel::Time until{};
  };
  struct Arrival {
    std::uint64_t run = 0;
    std::size_t entry = 0;
    kernel::Time at{};
    kernel::Time offered_at{};
  };

  milliseconds Between(std::int64_t least, std::int64_t most) {
    return milliseconds(least + static_cast<std::int64_t>(m_random.Below(
                                    static_cast<std::uint64_t>(most - least))));
  }
  void Later(kernel::Duration delay, std::function<void()> action) {
    m_agenda.emplace(m_now + delay, std::move(action));
  }

  bool IsExcused(std::size_t entry,
                 kernel::Time from,
                 kernel::Time until) const {
    return std::ranges::any_of(m_disturbances, [&](const auto& disturbance) {
      return disturbance.first == entry && disturbance.second >= from &&
             disturbance.second <= until;
    });
  }

  void AddLimitBreach(const Limit& limit,
                      std::vector<std::string>& breaches) const {
    std::deque<kernel::Time> window;
    for (const Arrival& arrival : m_arrivals) {
      const auto told = m_told.find({limit.run, arrival.entry});
      if (arrival.run != limit.run ||
          arrival.at < limit.named_at + kSettlingTime ||
          arrival.at >= limit.until || told == m_told.end() ||
          arrival.at < told->second + kArrivalTime ||
          IsExcused(arrival.entry, limit.named_at, arrival.at)) {
        continue;
      }
      window.push_back(arrival.at);
      while (window.front() + kWindow <= arrival.at) {
        window.pop_front();
      }
      const double allowed =
          kFactor * limit.requests_per_second *
              std::chrono::duration<double>(kWindow).count() +
          kAdditionalRequests;
      if (static_cast<double>(window.size()) > allowed) {
        breaches.push_back(std::to_string(window.size()) + " calls for " +
                           std::to_string(allowed) + " at a limit of " +
                           std::to_string(limit.requests_per_second));
        return;
      }
    }
  }

  void StartEntry(std::size_t index) {
    EntryProcess& entry = m_entries[index];
    entry = {};
    entry.start = ++m_last_start;
    entry.core = std::make_unique<Entry>(
        EntrySettings{.name = "entry-" + std::to_string(index)},
        kernel::Random(m_random.Next()));
    entry.core->OnConfiguration(m_now, MakeConfiguration());
    entry.core->OnEntryCount(m_entries.size());
    List(index);
  }

  void List(std::size_t entry) {
    std::vector<ListedEndpoint> listed;
    for (const Endpoint& endpoint : m_endpoints) {
      if (!endpoint.down_until) {
        listed.push_back(endpoint.listed);
      }
    }
    m_entries[entry].core->OnEndpoints(m_now, std::move(listed));
    CarryOut(entry);
  }
  void ListAllLater() {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      Later(Between(kListLag.count() / 2, kListLag.count() * 3 / 2),
            [this, i] { List(i); });
    }
  }

  void HappenSomething() {
    Endpoint& endpoint = m_endpoints[m_random.Below(m_endpoints.size())];
    const std::size_t entry = m_random.Below(m_entries.size());
    switch (m_random.Below(6)) {
      case 0:
        endpoint.asks_for_pauses_until = m_now + Between(500, 6000);
        endpoint.pause = Between(100, 9000);
        break;
      case 1:
        if (m_now >= endpoint.limited_until) {
          endpoint.limited_until = m_now + Between(6000, 20000);
          endpoint.limit = 0.2 + 8 * m_random.Uniform();
          m_limits.push_back({endpoint.listed.started, endpoint.limit, m_now,
                              endpoint.limited_until});
        }
        break;
      case 2:
        if (!endpoint.down_until) {
          endpoint.leaving = true;
          // It serves on for some time, and the list says so late or never.
          Later(Between(3000, 6000), [this, &endpoint] { Stop(endpoint); });
        }
        break;
      case 3:
        Stop(endpoint);
        break;
      case 4:
        m_disturbances.emplace_back(entry, m_now);
        StartEntry(entry);
        break;
      default:
        m_entries[entry].suspended_until = m_now + Between(200, 3000);
        m_disturbances.emplace_back(entry, m_now);
        m_disturbances.emplace_back(entry, m_entries[entry].suspended_until);
        break;
    }
  }

  void Stop(Endpoint& endpoint) {
    if (endpoint.down_until) {
      return;
    }
    for (Limit& limit : m_limits) {
      if (limit.run == endpoint.listed.started) {
        limit.until = std::min(limit.until, m_now);
      }
    }
    endpoint.down_until = m_now + Between(300, 3000);
    ListAllLater();
    Later(*endpoint.down_until - m_now, [this, &endpoint] {
      const ListedEndpoint listed = endpoint.listed;
      endpoint = {};
      endpoint.listed = listed;
      endpoint.listed.started = ++m_last_start;
      ListAllLater();
    });
  }

  void Exchange() {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      EntryProcess& entry = m_entries[i];
      const std::uint64_t revision = entry.core->EndpointLimitsRevision();
      if (revision != entry.told_revision && m_now >= entry.next_news) {
        entry.told_revision = revision;
        entry.next_news = m_now + kNewsDelay;
        for (std::size_t peer = 0; peer < kNewsFanOut; ++peer) {
          Tell(i);
        }
      }
    }
    if (m_now >= m_next_exchange) {
      m_next_exchange = m_now + kExchangeInterval;
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Tell(i);
      }
    }
  }
  void Tell(std::size_t first) {
    const std::size_t second =
        (first + 1 + m_random.Below(m_entries.size() - 1)) % m_entries.size();
    for (const auto& [from, to] :
         {std::pair(first, second), std::pair(second, first)}) {
      if (m_now < m_entries[from].suspended_until) {
        continue;
      }
      Later(kDelay, [this, to = to, sent_at = m_now,
                     limits = m_entries[from].core->KnownEndpointLimits(),
                     demands = m_entries[from].core->Demands(m_now)]() mutable {
        if (m_now >= m_entries[to].suspended_until) {
          for (EndpointLimit& limit : limits) {
            limit.named_at += m_now - sent_at;
          }
          m_entries[to].core->OnEndpointLimits(m_now, limits);
          m_entries[to].core->OnDemands(m_now, demands);
        }
      });
    }
  }

  void Offer(std::size_t index) {
    EntryProcess& entry = m_entries[index];
    if (m_now < entry.suspended_until) {
      return;
    }
    CallerRequest request;
    request.method = "GET";
    request.target = request.path = "/a/b";
    request.host = "shop.example";
    request.attempt_id = "id-" + std::to_string(++m_last_call);
    request.time_left = milliseconds(6000);
    request.received_at = m_now;
    m_offered_at[m_last_call] = m_now;
    entry.core->OnRequest(m_now, m_now.time_since_epoch(), m_last_call,
                          std::make_shared<const CallerRequest>(request));
    CarryOut(index);
  }

  // Runs an action of an entry's call once the entry is not suspended, unless
  // the entry has been restarted.
  void AtEntry(std::size_t index,
               std::uint64_t start,
               const std::function<void(Entry&)>& action) {
    EntryProcess& entry = m_entries[index];
    if (entry.start != start) {
      return;
    }
    if (m_now < entry.suspended_until) {
      Later(entry.suspended_until - m_now,
            [=, this] { AtEntry(index, start, action); });
      return;
    }
    action(*entry.core);
    CarryOut(index);
  }

  void CarryOut(std::size_t index) {
    EntryProcess& entry = m_entries[index];
    for (auto outputs = entry.core->TakeOutputs(); !outputs.empty();
         outputs = entry.core->TakeOutputs()) {
      for (const Output& output : outputs) {
        if (const auto* send = std::get_if<SendAttempt>(&output)) {
          Connect(index, *send);
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&output)) {
          ++m_attempts[{entry.start, cancel->call}];
        } else if (const auto* reply = std::get_if<SendResponse>(&output)) {
          m_answered += reply->status == 200 ? 1 : 0;
        }
      }
    }
  }

  void Connect(std::size_t index, const SendAttempt& send) {
    const std::uint64_t start = m_entries[index].start;
    const std::uint64_t attempt = ++m_attempts[{start, send.call}];
    const auto endpoint =
        static_cast<std::size_t>(std::stoul(send.endpoint_id.substr(2)));
    const milliseconds time = m_random.Below(4) == 0
                                  ? Between(10, kMaximumConnectTime.count())
                                  : milliseconds(0);
    Later(time, [=, this, call = send.call] {
      AtEntry(index, start, [=, this](Entry& core) {
        if (m_attempts[{start, call}] != attempt) {
          return;
        }
        if (m_endpoints[endpoint].down_until) {
          core.OnAttemptFailed(m_now, call, AttemptFailure::kNotSent);
          return;
        }
        core.OnSending(m_now, call);
        CarryOut(index);
        if (m_attempts[{start, call}] == attempt) {
          Later(kDelay,
                [=, this] { Arrive(index, start, call, attempt, endpoint); });
        }
      });
    });
  }

  void Arrive(std::size_t index,
              std::uint64_t start,
              CallId call,
              std::uint64_t attempt,
              std::size_t number) {
    const Endpoint& endpoint = m_endpoints[number];
    const std::uint64_t run = endpoint.listed.started;
    m_arrivals.push_back({run, index, m_now, m_offered_at[call]});
    EndpointResponse response;
    response.status = 200;
    response.attempt_id = "id-" + std::to_string(call);
    response.has_signature = true;
    response.leaving = endpoint.leaving;
    if (m_now < endpoint.limited_until) {
      response.requests_per_second = endpoint.limit;
    }
    milliseconds work = Between(20, 300);
    if (m_now < endpoint.asks_for_pauses_until) {
      response.status = 503;
      response.not_executed = true;
      response.requested_pause = endpoint.pause;
      work = milliseconds(1);
    }
    const bool down = endpoint.down_until.has_value();
    Later(work + kDelay, [=, this] {
      AtEntry(index, start, [=, this](Entry& core) {
        if (m_attempts[{start, call}] != attempt) {
          return;
        }
        if (down || m_endpoints[number].listed.started != run) {
          core.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
          return;
        }
        Note(index, run, response);
        if (core.OnResponseHead(m_now, call, response) ==
            ResponseVerdict::kAccept) {
          core.OnResponseEnd(m_now, call);
        }
      });
    });
  }

  void Note(std::size_t entry,
            std::uint64_t run,
            const EndpointResponse& response) {
    if (response.requested_pause) {
      m_pauses.push_back({run, entry, m_now, *response.requested_pause});
    }
    if (response.leaving) {
      m_leavings.push_back({run, entry, m_now});
    }
    if (response.requests_per_second) {
      m_told.emplace(std::pair(run, entry), m_now);
    }
  }

  kernel::Random m_random;
  kernel::Time m_start{std::chrono::hours(1)};
  kernel::Time m_now = m_start;
  std::vector<Endpoint> m_endpoints;
  std::vector<EntryProcess> m_entries;
  std::multimap<kernel::Time, std::function<void()>> m_agenda;
  std::uint64_t m_last_start = 0;
  double m_calls_per_second = 0;
  double m_due = 0;
  kernel::Time m_next_exchange{};
  CallId m_last_call = 0;
  std::map<CallId, kernel::Time> m_offered_at;
  // By start of the entry and call: changes with each attempt and its end.
  std::map<std::pair<std::uint64_t, CallId>, std::uint64_t> m_attempts;
  std::vector<Arrival> m_arrivals;
  std::vector<Statement> m_pauses;
  std::vector<Statement> m_leavings;
  std::vector<Limit> m_limits;
  // By run and entry: when the entry was first told of a limit.
  std::map<std::pair<std::uint64_t, std::size_t>, kernel::Time> m_told;
  // Restarts and suspensions of entries.
  std::vector<std::pair<std::size_t, kernel::Time>> m_disturbances;
  std::size_t m_answered = 0;
};

// Guards against calls that an endpoint did not want, by any order of pauses,
// limits, departures and new starts of endpoints, restarts and suspensions of
// entries. RADISHRUDDER_SEEDS sets the number of seeds of a longer run.
TEST(EndpointStatementsTest, RulesHoldInRandomSeries) {
  const char* text = std::getenv("RADISHRUDDER_SEEDS");
  const std::uint64_t seeds = text != nullptr ? std::stoull(text) : kSeedsInCi;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    StatementFleet fleet(seed);
    fleet.Run();
    EXPECT_GT(fleet.Statements(), 0U) << "seed " << seed;
    EXPECT_GT(fleet.Answered(), 0U) << "seed " << seed;
    const std::vector<std::string> breaches = fleet.Breaches();
    EXPECT_TRUE(breaches.empty()) << "seed " << seed << ": " << breaches.size()
                                  << ", first " << breaches.front();
  }
}

}  // namespace
}  // namespace radishrudder::direct
