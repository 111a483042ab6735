#include "radishrudder/peers/load_reports.h"

#include <algorithm>
#include <utility>

namespace radishrudder::peers {
namespace {

// Whether subscribers should hear of the difference soon. The load itself
// changes all the time.
bool IsChangeOfState(const std::optional<EndpointLoad>& before,
                     const EndpointLoad& after) {
  return !before || before->started_at_ms != after.started_at_ms ||
         before->takes_no_new_calls != after.takes_no_new_calls ||
         before->model != after.model || before->version != after.version;
}

std::chrono::milliseconds AgeOf(kernel::Time now, kernel::Time since) {
  return std::chrono::ceil<std::chrono::milliseconds>(now - since);
}

}  // namespace

void LoadPublisher::OnDatagram(kernel::Time now,
                               std::string_view sender,
                               std::string_view bytes) {
  const auto datagram = DecodeLoadDatagram(bytes);
  if (!datagram || !std::holds_alternative<LoadSubscription>(*datagram)) {
    ++m_counters.malformed;
    return;
  }
  ++m_counters.subscriptions;
  RemoveExpired(now);
  if (m_subscribers.empty()) {
    m_next_reading = now;
  }
  m_subscribers.insert_or_assign(std::string(sender), now);
  Evict();
}

// Removes the subscriber that has been silent for longest.
void LoadPublisher::Evict() {
  if (m_subscribers.size() <= m_settings.maximum_subscribers) {
    return;
  }
  m_subscribers.erase(std::min_element(
      m_subscribers.begin(), m_subscribers.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

void LoadPublisher::RemoveExpired(kernel::Time now) {
  std::erase_if(m_subscribers, [this, now](const auto& subscriber) {
    return now - subscriber.second >= m_settings.subscription_lifetime;
  });
}

void LoadPublisher::OnReading(kernel::Time now,
                              std::optional<EndpointLoad> load) {
  if (!m_reading_since) {
    return;
  }
  if (load) {
    UpdateOrder(*load);
    load->takes_no_new_calls =
        load->takes_no_new_calls || m_order != Order::kNone;
    if (IsChangeOfState(m_load, *load)) {
      ScheduleAfterChange(now);
    }
    m_load = std::move(load);
    Send(now);
  }
  m_reading_since.reset();
}

// An accepted order is complete when the endpoint is no longer busy. A reading
// that was requested before the order was accepted does not tell.
void LoadPublisher::UpdateOrder(const EndpointLoad& load) {
  if (m_order == Order::kAccepted && !load.takes_no_new_calls &&
      *m_reading_since >= m_order_accepted_at) {
    m_order = Order::kNone;
  }
}

void LoadPublisher::OnOrderSent(kernel::Time now) {
  m_order = Order::kSent;
  ScheduleAfterChange(now);
}

void LoadPublisher::OnOrderResult(kernel::Time now, bool refused) {
  m_order = refused ? Order::kNone : Order::kAccepted;
  m_order_accepted_at = now;
  ScheduleAfterChange(now);
}

void LoadPublisher::ScheduleAfterChange(kernel::Time now) {
  m_next_reading =
      std::min<kernel::Time>(m_next_reading, now + m_settings.change_interval);
}

void LoadPublisher::Send(kernel::Time now) {
  RemoveExpired(now);
  if (m_subscribers.empty()) {
    return;
  }
  const std::string bytes =
      Encode(LoadReportDatagram{.load = *m_load,
                                .sequence = m_sequence++,
                                .age = AgeOf(now, *m_reading_since)});
  for (const auto& [address, subscribed_at] : m_subscribers) {
    m_outputs.emplace_back(SendLoadDatagram{address, bytes});
    ++m_counters.sent;
  }
}

void LoadPublisher::OnTick(kernel::Time now) {
  RemoveExpired(now);
  if (m_subscribers.empty() || m_reading_since || now < m_next_reading) {
    return;
  }
  m_reading_since = now;
  m_next_reading = now + m_settings.interval;
  m_outputs.emplace_back(ReadLoad{});
}

kernel::Time LoadPublisher::NextTick() const {
  return m_subscribers.empty() || m_reading_since ? kernel::Time::max()
                                                  : m_next_reading;
}

std::vector<LoadPublisherOutput> LoadPublisher::TakeOutputs() {
  return std::exchange(m_outputs, {});
}

void LoadSubscriber::SetAgents(kernel::Time now,
                               std::span<const ReportedAgent> agents) {
  std::map<std::string, Agent, std::less<>> previous =
      std::exchange(m_agents, {});
  for (const ReportedAgent& item : agents) {
    const auto known = previous.find(item.address);
    const auto [place, inserted] =
        m_agents.try_emplace(item.address, Agent{.next_subscription = now});
    Agent& agent = place->second;
    Endpoint endpoint{.started_at_ms = item.started_at_ms};
    if (known != previous.end()) {
      agent.next_subscription = known->second.next_subscription;
      agent.accepted_at = known->second.accepted_at;
      agent.sequence = known->second.sequence;
      const auto before = known->second.endpoints.find(item.endpoint);
      if (before != known->second.endpoints.end() &&
          before->second.started_at_ms == item.started_at_ms) {
        endpoint.latest = before->second.latest;
      }
    }
    agent.endpoints.insert_or_assign(item.endpoint, std::move(endpoint));
  }
}

std::optional<ReceivedLoad> LoadSubscriber::OnDatagram(kernel::Time now,
                                                       std::string_view sender,
                                                       std::string_view bytes) {
  const auto found = m_agents.find(sender);
  if (found == m_agents.end()) {
    ++m_counters.unknown_sender;
    return std::nullopt;
  }
  const auto datagram = DecodeLoadDatagram(bytes);
  const auto* report =
      datagram ? std::get_if<LoadReportDatagram>(&*datagram) : nullptr;
  if (report == nullptr) {
    ++m_counters.malformed;
    return std::nullopt;
  }
  Agent& agent = found->second;
  const auto endpoint = std::find_if(
      agent.endpoints.begin(), agent.endpoints.end(), [&](const auto& item) {
        return item.second.started_at_ms != 0 &&
               item.second.started_at_ms == report->load.started_at_ms;
      });
  if (endpoint == agent.endpoints.end()) {
    ++m_counters.other_run;
    return std::nullopt;
  }
  if (!IsInOrder(now, agent, report->sequence)) {
    ++m_counters.out_of_order;
    return std::nullopt;
  }
  ++m_counters.accepted;
  agent.accepted_at = now;
  agent.sequence = report->sequence;
  endpoint->second.latest = ReceivedLoad{.endpoint = endpoint->first,
                                         .load = report->load,
                                         .received_at = now,
                                         .measured_at = now - report->age};
  return endpoint->second.latest;
}

bool LoadSubscriber::IsInOrder(kernel::Time now,
                               const Agent& agent,
                               std::uint64_t sequence) const {
  if (!agent.accepted_at || sequence > agent.sequence) {
    return true;
  }
  return sequence < agent.sequence &&
         now - *agent.accepted_at >= m_settings.sequence_lifetime;
}

void LoadSubscriber::OnTick(kernel::Time now) {
  std::size_t sent = 0;
  for (auto& [address, agent] : m_agents) {
    if (now < agent.next_subscription) {
      continue;
    }
    if (sent == m_settings.subscriptions_per_tick) {
      return;
    }
    ++sent;
    ++m_counters.subscriptions;
    agent.next_subscription = now + m_settings.interval;
    m_outputs.push_back({address, Encode(LoadSubscription{})});
  }
}

kernel::Time LoadSubscriber::NextTick() const {
  kernel::Time next = kernel::Time::max();
  for (const auto& [address, agent] : m_agents) {
    next = std::min(next, agent.next_subscription);
  }
  return next;
}

std::vector<SendLoadDatagram> LoadSubscriber::TakeOutputs() {
  return std::exchange(m_outputs, {});
}

const ReceivedLoad* LoadSubscriber::Latest(std::string_view endpoint) const {
  for (const auto& [address, agent] : m_agents) {
    const auto found = agent.endpoints.find(endpoint);
    if (found != agent.endpoints.end() && found->second.latest) {
      return &*found->second.latest;
    }
  }
  return nullptr;
}

std::size_t LoadSubscriber::FreshReports(kernel::Time now) const {
  std::size_t fresh = 0;
  for (const auto& [address, agent] : m_agents) {
    fresh += static_cast<std::size_t>(std::count_if(
        agent.endpoints.begin(), agent.endpoints.end(), [&](const auto& item) {
          const auto& latest = item.second.latest;
          return latest &&
                 now - latest->received_at < m_settings.report_lifetime;
        }));
  }
  return fresh;
}

}  // namespace radishrudder::peers
