#include "member_network.h"

#include <utility>

namespace radishrudder::membership {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Duration kTimeStep = milliseconds(10);
constexpr kernel::Duration kListReadDuration = milliseconds(200);

}  // namespace

MemberNetwork::MemberNetwork(std::uint64_t seed,
                             int entries,
                             int agents,
                             int data_centres)
    : m_random(seed) {
  for (int i = 0; i < entries + agents; ++i) {
    Process process;
    const bool is_entry = i < entries;
    process.listed.instance = (is_entry ? "e" : "a") + std::to_string(i);
    process.listed.role = is_entry ? Role::kEntry : Role::kAgent;
    process.listed.service = is_entry ? "" : "draft";
    process.listed.address = "127.0.0.1:" + std::to_string(1000 + i);
    process.listed.data_centre = "dc" + std::to_string(i % data_centres);
    m_index[process.listed.instance] = m_processes.size();
    m_list.push_back(process.listed);
    m_processes.push_back(std::move(process));
  }
}

void MemberNetwork::Start() {
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    StartProcess(i, 100);
  }
}

void MemberNetwork::StartProcess(std::size_t index, std::uint64_t incarnation) {
  Process& process = m_processes[index];
  MembershipSettings settings;
  settings.self.key = {process.listed.instance, incarnation};
  settings.self.listed = process.listed;
  process.incarnation = incarnation;
  process.membership =
      std::make_unique<Membership>(settings, kernel::Random(m_random.Next()));
  process.membership->OnTick(m_now);
  HandleOutputs(index);
}

void MemberNetwork::RunFor(kernel::Duration duration) {
  const kernel::Time end = m_now + duration;
  while (m_now < end) {
    m_now += kTimeStep;
    Step();
  }
}

void MemberNetwork::MarkListedLeaving(std::size_t index) {
  m_list[index].leaving = true;
  ++m_list_revision;
}

void MemberNetwork::RemoveFromList(std::size_t index) {
  const std::string name = m_processes[index].listed.instance;
  std::erase_if(m_list, [&](const auto& l) { return l.instance == name; });
  ++m_list_revision;
}

void MemberNetwork::Step() {
  while (!m_queue.empty() && m_queue.top().at <= m_now) {
    Delivery delivery = m_queue.top();
    m_queue.pop();
    Deliver(std::move(delivery));
  }
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    Process& process = m_processes[i];
    const bool is_running =
        process.membership != nullptr && process.paused_until <= m_now;
    if (is_running && process.membership->NextTick() <= m_now) {
      process.membership->OnTick(m_now);
      HandleOutputs(i);
    }
  }
}

void MemberNetwork::Deliver(Delivery delivery) {
  Process& process = m_processes[delivery.to];
  if (process.membership == nullptr) {
    return;
  }
  if (process.paused_until > m_now) {
    delivery.at = process.paused_until;
    m_queue.push(std::move(delivery));
    return;
  }
  // Members never send a hello message. It marks the end of a list read here.
  if (delivery.message.has_hello()) {
    process.membership->OnInstanceList(m_now, ReadList());
  } else {
    process.membership->OnMessage(m_now, delivery.message);
  }
  HandleOutputs(delivery.to);
}

void MemberNetwork::HandleOutputs(std::size_t index) {
  Process& process = m_processes[index];
  for (MembershipOutput& output : process.membership->TakeOutputs()) {
    if (const auto* send = std::get_if<wire::Send>(&output)) {
      HandleSend(index, *send);
    } else if (std::holds_alternative<StartInstanceListRead>(output)) {
      ++process.reads;
      wire::Envelope message;
      message.mutable_hello();
      m_queue.push({m_now + kListReadDuration, ++m_last_order, index,
                    std::move(message)});
    } else {
      HandleChanged(process, std::get<MemberChanged>(output).instance);
    }
  }
}

void MemberNetwork::HandleSend(std::size_t from, const wire::Send& send) {
  bytes += send.message.ByteSizeLong();
  const wire::HeartbeatBatch& batch = send.message.heartbeat_batch();
  const bool is_update_message =
      batch.heartbeats_size() != 0 && batch.heartbeats(0).has_process();
  update_messages += is_update_message ? 1 : 0;
  const std::size_t to = m_index.at(send.to);
  if ((is_partitioned && is_partitioned(from, to)) || m_random.Chance(loss)) {
    return;
  }
  const milliseconds delay(1 + m_random.Below(jitter_milliseconds + 1));
  m_queue.push({m_now + delay, ++m_last_order, to, send.message});
}

void MemberNetwork::HandleChanged(Process& process,
                                  const std::string& instance) {
  const Member* member = process.membership->Find(instance);
  const bool is_suspected =
      member != nullptr && member->state == State::kSuspected;
  const Process& other = m_processes[m_index.at(instance)];
  const bool responds =
      other.membership != nullptr && other.paused_until <= m_now;
  process.false_suspicions += is_suspected && responds ? 1 : 0;
}

void MemberNetwork::Inject(std::size_t to, wire::Envelope message) {
  m_queue.push({m_now, ++m_last_order, to, std::move(message)});
}

InstanceListResult MemberNetwork::ReadList() const {
  if (list_down) {
    return {};
  }
  return {true, m_list_revision, m_list};
}

int MemberNetwork::CountSeenAs(std::size_t index, State state) const {
  int count = 0;
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    if (i == index || m_processes[i].membership == nullptr) {
      continue;
    }
    const Member* member =
        m_processes[i].membership->Find(m_processes[index].listed.instance);
    count += member != nullptr && member->state == state ? 1 : 0;
  }
  return count;
}

int MemberNetwork::FalseSuspicions() const {
  int suspicions = 0;
  for (const Process& process : m_processes) {
    suspicions += process.false_suspicions;
  }
  return suspicions;
}

}  // namespace radishrudder::membership
