#include "replica_network.h"

#include <algorithm>
#include <utility>

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Duration kTimeStep = milliseconds(10);
constexpr std::uint64_t kMaximumDelayMilliseconds = 20;
// A watch of the fake service ends after this time, whether a document changed
// or not.
constexpr kernel::Duration kWatchDuration = milliseconds(100);

}  // namespace

void FakeService::Publish(std::string service, std::string content) {
  ++m_revision;
  PublishedDocument document{service, m_revision, false, std::move(content)};
  m_history[std::move(service)].push_back(std::move(document));
}

void FakeService::Delete(const std::string& service) {
  ++m_revision;
  m_history[service].push_back({service, m_revision, true, ""});
}

void FakeService::DeleteWithHistory(const std::string& service) {
  ++m_revision;
  m_history.erase(service);
}

DocumentReadResult FakeService::Read(std::uint64_t after) const {
  if (down) {
    return {};
  }
  DocumentReadResult result;
  result.succeeded = true;
  result.revision =
      readable_revision_limit == 0 ? m_revision : readable_revision_limit;
  for (const auto& [service, versions] : m_history) {
    const auto newest = std::find_if(
        versions.rbegin(), versions.rend(), [&](const auto& version) {
          return version.revision <= result.revision;
        });
    if (newest != versions.rend() && newest->revision > after) {
      result.documents.push_back(*newest);
    }
  }
  return result;
}

ReplicaNetwork::ReplicaNetwork(std::uint64_t seed,
                               int processes,
                               int data_centres)
    : m_random(seed) {
  for (int i = 0; i < processes; ++i) {
    Process process;
    process.instance = "p" + std::to_string(i);
    process.data_centre = "dc" + std::to_string(i % data_centres);
    m_index[process.instance] = m_processes.size();
    m_processes.push_back(std::move(process));
  }
}

std::vector<ReplicaPeer> ReplicaNetwork::PeersOf(std::size_t index) const {
  std::vector<ReplicaPeer> peers;
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    if (i != index) {
      peers.push_back({m_processes[i].instance, m_processes[i].data_centre});
    }
  }
  return peers;
}

void ReplicaNetwork::StartProcess(std::size_t index) {
  Process& process = m_processes[index];
  ReplicaSettings settings;
  settings.self = {process.instance, m_random.Next()};
  settings.data_centre = process.data_centre;
  process.replica = std::make_unique<DocumentReplica>(
      settings, kernel::Random(m_random.Next()));
  process.in_force.clear();
  process.reading = false;
  process.replica->OnPeers(m_now, PeersOf(index));
  HandleOutputs(index);
}

void ReplicaNetwork::Start() {
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    StartProcess(i);
  }
}

void ReplicaNetwork::RunFor(kernel::Duration duration) {
  const kernel::Time end = m_now + duration;
  while (m_now < end) {
    m_now += kTimeStep;
    Step();
  }
}

void ReplicaNetwork::Step() {
  while (!m_queue.empty() && m_queue.top().at <= m_now) {
    Delivery delivery = m_queue.top();
    m_queue.pop();
    Deliver(std::move(delivery));
  }
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    Process& process = m_processes[i];
    const bool is_running =
        process.replica != nullptr && process.paused_until <= m_now;
    if (is_running && process.replica->NextTick() <= m_now) {
      process.replica->OnTick(m_now);
      HandleOutputs(i);
    }
  }
}

void ReplicaNetwork::Deliver(Delivery delivery) {
  Process& process = m_processes[delivery.to];
  if (process.replica == nullptr) {
    return;
  }
  if (process.paused_until > m_now) {
    delivery.at = process.paused_until;
    m_queue.push(std::move(delivery));
    return;
  }
  // Replicas never send a hello message. It marks the end of a read here, with
  // the parameter `after` of the read as its address.
  if (delivery.message.has_hello()) {
    process.reading = false;
    const bool reachable =
        !is_service_unreachable || !is_service_unreachable(delivery.to);
    const std::uint64_t after = std::stoull(delivery.message.hello().address());
    process.replica->OnRead(
        m_now, reachable ? m_service.Read(after) : DocumentReadResult{});
  } else {
    process.replica->OnMessage(m_now, delivery.message);
  }
  HandleOutputs(delivery.to);
}

void ReplicaNetwork::HandleOutputs(std::size_t index) {
  Process& process = m_processes[index];
  for (ReplicaOutput& output : process.replica->TakeOutputs()) {
    if (const auto* send = std::get_if<wire::Send>(&output)) {
      HandleSend(index, *send);
    } else if (const auto* read = std::get_if<StartDocumentRead>(&output)) {
      ++process.reads;
      process.reading = true;
      wire::Envelope message;
      message.mutable_hello()->set_address(std::to_string(read->after));
      const kernel::Duration wait =
          read->wait.count() == 0 ? milliseconds(5) : kWatchDuration;
      m_queue.push({m_now + wait, ++m_last_order, index, std::move(message)});
    } else {
      HandleAccepted(process, std::get<DocumentAccepted>(output).document);
    }
  }
}

void ReplicaNetwork::HandleSend(std::size_t from, const wire::Send& send) {
  const std::size_t to = m_index.at(send.to);
  all_bytes += send.message.ByteSizeLong();
  if (send.message.has_document_update()) {
    update_bytes += send.message.ByteSizeLong();
  }
  if ((is_partitioned && is_partitioned(from, to)) || m_random.Chance(loss)) {
    return;
  }
  const milliseconds delay(1 + m_random.Below(kMaximumDelayMilliseconds));
  m_queue.push({m_now + delay, ++m_last_order, to, send.message});
}

void ReplicaNetwork::HandleAccepted(Process& process,
                                    const PublishedDocument& document) {
  std::uint64_t& in_force = process.in_force[document.service];
  if (document.revision <= in_force) {
    ++m_regressions;
  }
  in_force = document.revision;
  if (on_accepted) {
    on_accepted(document);
  }
}

int ReplicaNetwork::CountInForce(const std::string& service,
                                 std::uint64_t revision) const {
  return static_cast<int>(std::count_if(
      m_processes.begin(), m_processes.end(), [&](const Process& process) {
        const auto found = process.in_force.find(service);
        return found != process.in_force.end() && found->second == revision;
      }));
}

int ReplicaNetwork::TotalReads() const {
  int reads = 0;
  for (const Process& process : m_processes) {
    reads += process.reads;
  }
  return reads;
}

}  // namespace radishrudder::dissemination
