#ifndef RADISHRUDDER_PEERS_LOAD_REPORTS_H_
#define RADISHRUDDER_PEERS_LOAD_REPORTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/peers/load_datagram.h"

namespace radishrudder::peers {

// Sends a datagram to "IP:PORT".
struct SendLoadDatagram {
  std::string address{};
  std::string bytes{};
};
// Requests the load of the local endpoint. The result is due as `OnReading`.
struct ReadLoad {};

using LoadPublisherOutput = std::variant<SendLoadDatagram, ReadLoad>;

struct LoadPublisherSettings {
  // Unix milliseconds at the agent's start, so that the numbers of a restarted
  // agent are higher than those before: it sends less than one report in 1 ms.
  std::uint64_t first_sequence = 1;
  std::chrono::milliseconds interval{150};
  std::chrono::milliseconds change_interval{40};  // After a change of state.
  std::chrono::milliseconds subscription_lifetime{3000};
  std::size_t maximum_subscribers = 64;
};

// Agent: reads the load of the local endpoint while there are subscribers and
// reports it to them. State machine without sockets, threads or clocks.
class LoadPublisher {
 public:
  struct Counters {
    std::uint64_t subscriptions = 0;  // Received.
    std::uint64_t malformed = 0;      // Datagrams that are no subscription.
    std::uint64_t sent = 0;           // Reports.
  };

  explicit LoadPublisher(LoadPublisherSettings settings)
      : m_settings(settings), m_sequence(settings.first_sequence) {}

  // `sender`: "IP:PORT".
  void OnDatagram(kernel::Time now,
                  std::string_view sender,
                  std::string_view bytes);
  // The result of the latest `ReadLoad`; nothing: the endpoint gave none.
  // `takes_no_new_calls` is set here if a load order is not complete.
  void OnReading(kernel::Time now, std::optional<EndpointLoad> load);
  // A load order is on its way to the endpoint.
  void OnOrderSent(kernel::Time now);
  // The endpoint accepted or refused it. Without a response, it may have
  // accepted it.
  void OnOrderResult(kernel::Time now, bool refused);
  void OnTick(kernel::Time now);
  // `Time::max()` while there are no subscribers.
  kernel::Time NextTick() const;
  std::vector<LoadPublisherOutput> TakeOutputs();

  std::size_t Subscribers() const { return m_subscribers.size(); }
  const Counters& Count() const { return m_counters; }

 private:
  enum class Order { kNone, kSent, kAccepted };

  void Evict();
  void RemoveExpired(kernel::Time now);
  void UpdateOrder(const EndpointLoad& load);
  void ScheduleAfterChange(kernel::Time now);
  void Send(kernel::Time now);

  LoadPublisherSettings m_settings;
  std::uint64_t m_sequence;
  std::map<std::string, kernel::Time, std::less<>> m_subscribers;  // Latest.
  std::optional<kernel::Time> m_reading_since;  // A reading is in progress.
  kernel::Time m_next_reading{};
  std::optional<EndpointLoad> m_load;
  Order m_order = Order::kNone;
  kernel::Time m_order_accepted_at{};
  std::vector<LoadPublisherOutput> m_outputs;
  Counters m_counters;
};

// An endpoint of which an entry wants reports.
struct ReportedAgent {
  std::string endpoint{};           // Id.
  std::string address{};            // Of its agent, "IP:PORT".
  std::uint64_t started_at_ms = 0;  // Of the endpoint's run.
};

// A report that was accepted.
struct ReceivedLoad {
  std::string endpoint{};
  EndpointLoad load{};
  kernel::Time received_at{};
  kernel::Time measured_at{};
};

struct LoadSubscriberSettings {
  std::chrono::milliseconds interval{1000};         // Between subscriptions.
  std::chrono::milliseconds report_lifetime{1000};  // Of a fresh report.
  // After this time without an accepted report, a lower sequence number is
  // accepted as that of an agent that restarted with its clock set back. No
  // datagram is in transit for so long.
  std::chrono::milliseconds sequence_lifetime{3000};
  // Subscriptions at one tick, so that a new list of 940 endpoints does not
  // delay calls.
  std::size_t subscriptions_per_tick = 64;
};

// Entry: subscribes to agents and keeps the latest report of each endpoint.
// State machine without sockets, threads or clocks.
class LoadSubscriber {
 public:
  struct Counters {
    std::uint64_t subscriptions = 0;  // Sent.
    std::uint64_t accepted = 0;
    // Dropped:
    std::uint64_t malformed = 0;       // No report.
    std::uint64_t unknown_sender = 0;  // Not the agent of a listed endpoint.
    std::uint64_t other_run = 0;       // Not the listed start time.
    std::uint64_t out_of_order = 0;    // Repeated or reordered.
  };

  explicit LoadSubscriber(LoadSubscriberSettings settings)
      : m_settings(settings) {}

  // Replaces the endpoints. Reports of those that stay are kept.
  void SetAgents(kernel::Time now, std::span<const ReportedAgent> agents);
  // Returns the report if it is accepted. `sender`: "IP:PORT".
  std::optional<ReceivedLoad> OnDatagram(kernel::Time now,
                                         std::string_view sender,
                                         std::string_view bytes);
  void OnTick(kernel::Time now);
  // `Time::max()` while there are no agents.
  kernel::Time NextTick() const;
  std::vector<SendLoadDatagram> TakeOutputs();

  // Null without a report of the listed run.
  const ReceivedLoad* Latest(std::string_view endpoint) const;
  // Endpoints whose latest report was received within its lifetime.
  std::size_t FreshReports(kernel::Time now) const;
  const Counters& Count() const { return m_counters; }

 private:
  struct Endpoint {
    std::uint64_t started_at_ms = 0;
    std::optional<ReceivedLoad> latest{};
  };
  // The runs before and after a restart may be listed at the same address.
  struct Agent {
    kernel::Time next_subscription{};
    std::optional<kernel::Time> accepted_at{};
    std::uint64_t sequence = 0;
    std::map<std::string, Endpoint, std::less<>> endpoints{};  // By id.
  };

  bool IsInOrder(kernel::Time now,
                 const Agent& agent,
                 std::uint64_t sequence) const;

  LoadSubscriberSettings m_settings;
  std::map<std::string, Agent, std::less<>> m_agents;  // By address.
  std::vector<SendLoadDatagram> m_outputs;
  Counters m_counters;
};

}  // namespace radishrudder::peers

#endif  // RADISHRUDDER_PEERS_LOAD_REPORTS_H_
