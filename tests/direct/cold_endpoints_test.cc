// Several entries in front of cold endpoints, on a simulated clock.
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

// The users' rule: in no second do more requests arrive at a cold endpoint than
// its rate, times the factor, and some requests more.
constexpr milliseconds kWindow{1000};
constexpr double kFactor = 1.5;
constexpr double kAdditionalRequests = 5;
// Part of the rate that is used when callers bring more.
constexpr double kMinimumUsedPart = 0.5;

constexpr milliseconds kStep{10};
constexpr milliseconds kColdStart{20000};
constexpr milliseconds kExchangeInterval{2000};
// Time after which entries that started together know each other.
constexpr milliseconds kAcquaintanceTime{8000};
// When entries have run for long and their first cold time is over.
constexpr milliseconds kEvent{40000};
constexpr milliseconds kEnd{62000};
// Delay of a request, of its answer and of a report between entries.
constexpr milliseconds kDelay{10};
constexpr milliseconds kAnswerTime{100};
constexpr std::uint32_t kSlots = 64;
constexpr std::size_t kEndpoints = 4;

enum class Event {
  kNone,
  kEntryRestarts,      // While the endpoints are cold.
  kColdByList,         // The first endpoint, by a change of its list entry.
  kColdByResponse,     // The first endpoint, by what it answers.
  kDataCentreReturns,  // All endpoints but the first, gone before.
  kBurst,              // As before, and nobody called meanwhile.
};

struct ColdLoad {
  std::string name{};
  std::size_t entries = 0;
  double rate = 0;  // Requests a second that a cold endpoint takes.
  Event event = Event::kNone;
};

class ColdFleet {
 public:
  ColdFleet(const ColdLoad& load, std::uint64_t seed)
      : m_load(load), m_random(seed) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      ListedEndpoint endpoint;
      endpoint.id = "i-" + std::to_string(i);
      endpoint.service = "service";
      endpoint.address = endpoint.id;
      endpoint.data_centre = i == 0 ? "a" : "b";
      endpoint.slots = kSlots;
      endpoint.started = 1;
      endpoint.revision = 1;
      m_listed.push_back(endpoint);
    }
    for (std::size_t i = 0; i < load.entries; ++i) {
      m_entries.push_back(MakeEntry(i));
      MarkCold(i, 0, kEndpoints, kColdStart);
    }
  }

  void Run(milliseconds until) {
    while (Elapsed() < until) {
      Step();
    }
  }

  // The largest number of arrivals in a window of requests that were sent while
  // the endpoint was cold for their entry.
  std::size_t MostInAWindow(std::size_t endpoint) const {
    std::deque<kernel::Time> window;
    std::size_t most = 0;
    for (const Arrival& arrival : m_arrivals) {
      if (arrival.endpoint != endpoint || !arrival.cold) {
        continue;
      }
      window.push_back(arrival.at);
      while (window.front() + kWindow <= arrival.at) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }
  // Arrivals a second.
  double Rate(std::size_t endpoint, milliseconds from, milliseconds to) const {
    return static_cast<double>(
               std::ranges::count_if(m_arrivals,
                                     [&](const Arrival& arrival) {
                                       return arrival.endpoint == endpoint &&
                                              arrival.at - m_start >= from &&
                                              arrival.at - m_start < to;
                                     })) /
           std::chrono::duration<double>(to - from).count();
  }
  std::size_t ColdNotes() const { return m_cold_notes; }

 private:
  struct Work {
    std::size_t entry = 0;
    CallId call = 0;
    std::size_t endpoint = 0;
    kernel::Time answered_at{};
    std::size_t process = 0;  // Of the entry.
  };
  struct Arrival {
    std::size_t endpoint = 0;
    kernel::Time at{};
    bool cold = false;
  };
  struct Report {
    std::size_t to = 0;
    kernel::Time sent_at{};
    std::vector<routing::Demand> demands{};
  };

  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(m_now - m_start);
  }

  std::unique_ptr<Entry> MakeEntry(std::size_t i) {
    EntrySettings settings{.name = "entry-" + std::to_string(i)};
    auto entry =
        std::make_unique<Entry>(settings, kernel::Random(m_random.Next()));
    // The list may be read before the configuration.
    if (m_random.Chance(0.5)) {
      entry->OnEndpoints(m_now, m_listed);
      entry->OnConfiguration(m_now, MakeConfiguration());
    } else {
      entry->OnConfiguration(m_now, MakeConfiguration());
      entry->OnEndpoints(m_now, m_listed);
    }
    return entry;
  }

  Configuration MakeConfiguration() const {
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
    configuration.services = {{.name = "service",
                               .cold_start = kColdStart,
                               .cold_requests_per_second = m_load.rate}};
    return configuration;
  }

  void MarkCold(std::size_t entry,
                std::size_t first,
                std::size_t end,
                milliseconds duration) {
    for (std::size_t i = first; i < end; ++i) {
      kernel::Time& until = m_cold_until[{entry, i}];
      until = std::max(until, m_now + duration);
    }
  }

  void Step() {
    m_now += kStep;
    if (Elapsed() % milliseconds(1000) == milliseconds(0)) {
      // The store repeats the list.
      ListToAll();
    }
    Happen();
    Offer();
    AnswerWork();
    Exchange();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      m_entries[i]->OnConfigurationConfirmed(m_now.time_since_epoch());
      m_entries[i]->OnTick(m_now);
      CarryOut(i);
    }
  }

  void ListToAll() {
    std::vector<ListedEndpoint> listed = m_listed;
    if (IsDataCentreGone()) {
      listed.resize(1);
    }
    for (const auto& entry : m_entries) {
      entry->OnEndpoints(m_now, listed);
    }
  }
  bool IsDataCentreGone() const {
    return (m_load.event == Event::kDataCentreReturns ||
            m_load.event == Event::kBurst) &&
           Elapsed() >= kEvent - milliseconds(5000) && Elapsed() < kEvent;
  }

  void Happen() {
    if (m_load.event == Event::kEntryRestarts &&
        (Elapsed() == milliseconds(10000) ||
         Elapsed() == milliseconds(13000))) {
      m_entries[0] = MakeEntry(0);
      ++m_process;
      MarkCold(0, 0, kEndpoints, kColdStart);
    }
    if (Elapsed() != kEvent) {
      return;
    }
    if (m_load.event == Event::kColdByList) {
      m_listed[0].cold_time = kColdStart;
      ++m_listed[0].revision;
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        MarkCold(i, 0, 1, kColdStart);
      }
      ListToAll();
    } else if (m_load.event == Event::kDataCentreReturns ||
               m_load.event == Event::kBurst) {
      for (std::size_t i = 1; i < kEndpoints; ++i) {
        ++m_listed[i].started;
        ++m_listed[i].revision;
      }
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        MarkCold(i, 1, kEndpoints, kColdStart);
      }
      ListToAll();
    }
  }

  // Callers bring to each entry twice what all endpoints take when cold.
  void Offer() {
    const milliseconds quiet_from =
        m_load.event == Event::kBurst ? kEvent - milliseconds(8000) : kEnd;
    if (Elapsed() >= quiet_from && Elapsed() < kEvent + milliseconds(2000)) {
      return;
    }
    const double rate = m_load.rate > 0 ? m_load.rate : 8;
    m_due += 2 * rate * kEndpoints *
             std::chrono::duration<double>(kStep).count() * 2 *
             m_random.Uniform();
    // Each entry has callers that come back.
    m_due += static_cast<double>(m_entries.size()) * 5 *
             std::chrono::duration<double>(kStep).count();
    for (; m_due >= 1; m_due -= 1) {
      OfferTo(m_random.Below(m_entries.size()));
    }
  }

  void OfferTo(std::size_t entry) {
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
        const auto endpoint =
            static_cast<std::size_t>(std::stoul(send->endpoint_id.substr(2)));
        const auto cold = m_cold_until.find({entry, endpoint});
        m_arrivals.push_back(
            {endpoint, m_now + kDelay,
             cold != m_cold_until.end() && m_now < cold->second});
        m_work.push_back({entry, send->call, endpoint,
                          m_now + kDelay + kAnswerTime, Process(entry)});
      } else if (std::holds_alternative<EndpointCold>(output)) {
        ++m_cold_notes;
      }
    }
  }
  std::size_t Process(std::size_t entry) const {
    return entry == 0 ? m_process : 0;
  }

  void AnswerWork() {
    while (!m_work.empty() && m_work.front().answered_at <= m_now) {
      const Work work = m_work.front();
      m_work.pop_front();
      if (work.process != Process(work.entry)) {
        continue;
      }
      EndpointResponse head;
      head.status = 200;
      head.attempt_id = "id-" + std::to_string(work.call);
      head.has_signature = true;
      if (m_load.event == Event::kColdByResponse && work.endpoint == 0 &&
          Elapsed() >= kEvent && Elapsed() < kEvent + kColdStart) {
        head.cold_time = kEvent + kColdStart - Elapsed();
        // From the first such answer on the requests of all entries count,
        // whether or not they have heard of it.
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
          MarkCold(i, 0, 1, *head.cold_time);
        }
      }
      m_entries[work.entry]->OnResponseHead(m_now, work.call, head);
      m_entries[work.entry]->OnResponseEnd(m_now, work.call);
      CarryOut(work.entry);
    }
  }

  // Each entry and a random other one send each other what they know.
  void Exchange() {
    while (!m_reports.empty() && m_reports.front().sent_at + kDelay <= m_now) {
      const Report report = std::move(m_reports.front());
      m_reports.pop_front();
      m_entries[report.to]->OnDemands(m_now, report.demands);
    }
    if (m_now < m_next_exchange) {
      return;
    }
    m_next_exchange = m_now + kExchangeInterval;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      const std::size_t other =
          (i + 1 + m_random.Below(m_entries.size() - 1)) % m_entries.size();
      m_reports.push_back({other, m_now, m_entries[i]->Demands(m_now)});
      m_reports.push_back({i, m_now, m_entries[other]->Demands(m_now)});
    }
  }

  ColdLoad m_load;
  kernel::Random m_random;
  kernel::Time m_start{std::chrono::hours(1)};
  kernel::Time m_now = m_start;
  kernel::Time m_next_exchange = m_start + kExchangeInterval;
  std::vector<ListedEndpoint> m_listed;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::size_t m_process = 0;  // Restarts of the first entry.
  std::deque<Report> m_reports;
  std::deque<Work> m_work;  // In the order of the answers.
  std::vector<Arrival> m_arrivals;
  // Until when an entry knows that an endpoint is cold.
  std::map<std::pair<std::size_t, std::size_t>, kernel::Time> m_cold_until;
  double m_due = 0;
  std::size_t m_cold_notes = 0;
  CallId m_last_call = 0;
};

class ColdFleetTest : public testing::TestWithParam<ColdLoad> {};

// Guards against an endpoint that crashes because entries together send it
// several times what it takes, and against one whose rate is left unused.
TEST_P(ColdFleetTest, KeepsTheRateOfColdEndpointsAndUsesIt) {
  const ColdLoad& load = GetParam();
  const double allowed = load.rate * kFactor + kAdditionalRequests;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    ColdFleet fleet(load, seed);
    fleet.Run(load.event == Event::kNone || load.event == Event::kEntryRestarts
                  ? kColdStart + milliseconds(2000)
                  : kEnd);
    // All endpoints are cold at first; later the first one is, or the others.
    const bool first_only = load.event == Event::kColdByList ||
                            load.event == Event::kColdByResponse;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      EXPECT_LE(static_cast<double>(fleet.MostInAWindow(i)), allowed)
          << "i-" << i << ", seed " << seed;
      EXPECT_GE(fleet.Rate(i, kAcquaintanceTime, kColdStart),
                load.rate * kMinimumUsedPart)
          << "i-" << i << ", seed " << seed;
      if (load.event != Event::kNone && load.event != Event::kEntryRestarts &&
          first_only == (i == 0)) {
        EXPECT_GE(
            fleet.Rate(i, kEvent + milliseconds(4000), kEvent + kColdStart),
            load.rate * kMinimumUsedPart)
            << "i-" << i << ", cold again, seed " << seed;
      }
    }
  }
}

std::vector<ColdLoad> Loads() {
  std::vector<ColdLoad> loads;
  const std::pair<const char*, Event> events[] = {
      {"Start", Event::kNone},
      {"EntryRestarts", Event::kEntryRestarts},
      {"ColdByList", Event::kColdByList},
      {"ColdByResponse", Event::kColdByResponse},
      {"DataCentreReturns", Event::kDataCentreReturns},
      {"Burst", Event::kBurst}};
  for (const std::size_t entries : {3U, 12U, 16U, 24U}) {
    for (const double rate : {4.0, 8.0, 26.0}) {
      for (const auto& [name, event] : events) {
        loads.push_back({name + std::string("Entries") +
                             std::to_string(entries) + "Rate" +
                             std::to_string(static_cast<int>(rate)),
                         entries, rate, event});
      }
    }
  }
  return loads;
}

INSTANTIATE_TEST_SUITE_P(All,
                         ColdFleetTest,
                         testing::ValuesIn(Loads()),
                         [](const auto& test) { return test.param.name; });

// Guards against a service without a rate being served otherwise than before.
TEST(ColdEndpointsTest, NothingIsColdWithoutARate) {
  ColdFleet fleet({"NoRate", 3, 0, Event::kColdByResponse}, 1);
  fleet.Run(kEnd);
  EXPECT_EQ(fleet.ColdNotes(), 0U);
  // Callers bring 79 calls a second.
  double served = 0;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    served += fleet.Rate(i, milliseconds(0), kEnd);
  }
  EXPECT_GE(served, 75);
}

}  // namespace
}  // namespace radishrudder::direct
