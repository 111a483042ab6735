#include "fleet.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace radishrudder::measure {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Duration kStep = milliseconds(20);
constexpr std::uint64_t kDelayMilliseconds = 10;
constexpr std::size_t kDocumentBytes = 1500;
constexpr std::uint32_t kCapacity = 64;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNanoseconds = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanoseconds;
}

}  // namespace

Fleet::Fleet(std::uint64_t seed,
             std::size_t entries,
             std::size_t agents,
             std::size_t data_centres,
             std::size_t services)
    : m_random(seed), m_services(services) {
  m_entry_cost.processes = entries;
  m_agent_cost.processes = agents;
  for (std::size_t i = 0; i < services; ++i) {
    PublishNext();
  }
  for (std::size_t i = 0; i < entries + agents; ++i) {
    membership::ListedInstance listed;
    const bool is_entry = i < entries;
    listed.instance = (is_entry ? "entry-" : "runner-") + std::to_string(i);
    listed.role =
        is_entry ? membership::Role::kEntry : membership::Role::kAgent;
    listed.service = is_entry ? "" : "service-" + std::to_string(i % services);
    listed.address = "10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250) + ":7000";
    listed.data_centre = "zone-" + std::to_string(i % data_centres);
    m_index[listed.instance] = i;
    m_list.push_back(std::move(listed));
  }
  m_processes.resize(m_list.size());
  for (std::size_t i = 0; i < m_list.size(); ++i) {
    Process& process = m_processes[i];
    process.listed = m_list[i];
    const wire::ProcessKey key{m_list[i].instance, m_random.Next()};
    membership::MembershipSettings membership_settings;
    membership_settings.self = {key, m_list[i]};
    process.membership = std::make_unique<membership::Membership>(
        membership_settings, kernel::Random(m_random.Next()));
    dissemination::ReplicaSettings settings;
    settings.self = key;
    settings.data_centre = m_list[i].data_centre;
    process.documents = std::make_unique<dissemination::DocumentReplica>(
        settings, kernel::Random(m_random.Next()));
    process.membership->SetReady("sha256:" + std::string(64, 'a'), 1, 1);
  }
}

void Fleet::PublishNext() {
  ++m_revision;
  const std::string service =
      "service-" + std::to_string(m_revision % m_services);
  std::erase_if(m_published,
                [&](const auto& other) { return other.service == service; });
  m_published.push_back(
      {service, m_revision, false, std::string(kDocumentBytes, 'x')});
}

void Fleet::ChangeLoads() {
  for (Process& process : m_processes) {
    const auto running = static_cast<std::uint32_t>(m_random.Below(kCapacity));
    process.membership->SetLoad({running, 0, kCapacity});
  }
}

Cost& Fleet::CostOf(std::size_t index) {
  return m_processes[index].listed.role == membership::Role::kEntry
             ? m_entry_cost
             : m_agent_cost;
}

template <typename Call>
void Fleet::Timed(std::size_t index, Call call) {
  if (!m_counts) {
    call();
    return;
  }
  const double before = ProcessorSeconds();
  call();
  CostOf(index).seconds += ProcessorSeconds() - before;
}

void Fleet::Run(kernel::Duration duration, bool counts) {
  m_counts = counts;
  const kernel::Time end = m_now + duration;
  while (m_now < end) {
    m_now += kStep;
    Step();
  }
}

void Fleet::Step() {
  while (!m_queue.empty() && m_queue.top().at <= m_now) {
    const Delivery delivery = m_queue.top();
    m_queue.pop();
    Deliver(delivery);
  }
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    EndReads(i);
    TickOne(i);
  }
}

void Fleet::EndReads(std::size_t index) {
  Process& process = m_processes[index];
  if (process.list_read <= m_now) {
    process.list_read = kernel::Time::max();
    membership::InstanceListResult read{true, 1, m_list};
    Timed(index,
          [&] { process.membership->OnInstanceList(m_now, std::move(read)); });
    process.peers_changed = true;
    Collect(index);
  }
  const bool changed = m_revision > process.read_after;
  const kernel::Time limit =
      changed ? process.document_read : process.document_read_limit;
  if (limit <= m_now) {
    process.document_read = kernel::Time::max();
    process.document_read_limit = kernel::Time::max();
    dissemination::DocumentReadResult result =
        ReadDocuments(process.read_after);
    Timed(index, [&] { process.documents->OnRead(m_now, std::move(result)); });
    Collect(index);
  }
}

dissemination::DocumentReadResult Fleet::ReadDocuments(
    std::uint64_t after) const {
  dissemination::DocumentReadResult result{true, m_revision, {}};
  for (const auto& document : m_published) {
    if (document.revision > after) {
      result.documents.push_back(document);
    }
  }
  return result;
}

void Fleet::TickOne(std::size_t index) {
  Process& process = m_processes[index];
  if (process.membership->NextTick() <= m_now) {
    Timed(index, [&] { process.membership->OnTick(m_now); });
    Collect(index);
  }
  if (process.peers_changed) {
    process.peers_changed = false;
    UpdatePeers(process);
    Collect(index);
  }
  if (process.documents->NextTick() <= m_now) {
    Timed(index, [&] { process.documents->OnTick(m_now); });
    Collect(index);
  }
}

void Fleet::UpdatePeers(Process& process) {
  std::vector<dissemination::ReplicaPeer> peers;
  for (const membership::Member* member : process.membership->All()) {
    peers.push_back({member->listed.instance, member->listed.data_centre});
  }
  process.documents->OnPeers(m_now, std::move(peers));
}

void Fleet::Deliver(const Delivery& delivery) {
  Process& process = m_processes[delivery.to];
  if (m_counts) {
    CostOf(delivery.to).bytes_received += delivery.bytes.size();
  }
  Timed(delivery.to, [&] {
    wire::Envelope message;
    message.ParseFromString(delivery.bytes);
    if (message.has_heartbeat() || message.has_heartbeat_batch()) {
      process.membership->OnMessage(m_now, message);
    } else {
      process.documents->OnMessage(m_now, message);
    }
  });
  Collect(delivery.to);
}

void Fleet::Collect(std::size_t index) {
  Process& process = m_processes[index];
  for (auto& output : process.membership->TakeOutputs()) {
    if (const auto* send = std::get_if<wire::Send>(&output)) {
      Send(index, *send);
    } else if (std::holds_alternative<membership::StartInstanceListRead>(
                   output)) {
      process.list_read = m_now + milliseconds(5);
    }
  }
  for (auto& output : process.documents->TakeOutputs()) {
    if (const auto* send = std::get_if<wire::Send>(&output)) {
      Send(index, *send);
    } else if (const auto* read =
                   std::get_if<dissemination::StartDocumentRead>(&output)) {
      process.read_after = read->after;
      process.document_read = m_now + milliseconds(5);
      process.document_read_limit = m_now + milliseconds(5) + read->wait;
    }
  }
}

void Fleet::Send(std::size_t from, const wire::Send& send) {
  std::string bytes;
  Timed(from, [&] { send.message.SerializeToString(&bytes); });
  if (m_counts) {
    Cost& cost = CostOf(from);
    cost.bytes_sent += bytes.size();
    ++cost.messages;
  }
  const milliseconds delay(1 + m_random.Below(kDelayMilliseconds));
  m_queue.push({m_now + delay, m_index.at(send.to), std::move(bytes)});
}

}  // namespace radishrudder::measure
