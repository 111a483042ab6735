#include "host.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace radishrudder::measure {
namespace {

using asio::ip::tcp;
using kernel::Time;

constexpr std::size_t kSmallMessageBytes = 4096;
constexpr std::uint64_t kSeedStep = 1000;

Time Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

Host::Host(World& world, std::uint32_t number, std::uint32_t hosts)
    : m_world(world),
      m_hosts(hosts),
      m_random(world.Options().seed * kSeedStep + number),
      m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_timer(m_context) {
  for (NodeIndex node = 0; node <= world.Origin(); ++node) {
    if (node % hosts == number) {
      AddNode(node);
    }
  }
}

void Host::AddNode(NodeIndex index) {
  const SpreadOptions& options = m_world.Options();
  const bool origin = index == m_world.Origin();
  const double rate = origin ? options.OriginRate() : options.InstanceRate();
  const double chunk = options.chunk_kib * 1024.0;
  const Time now = Now();
  Node node{nullptr, kernel::TokenBucket(rate, 1, now),
            kernel::TokenBucket(rate, chunk, now)};
  if (!origin) {
    const std::string region = std::to_string(m_world.RegionOf(index));
    weights::TransferSettings settings;
    settings.self = {m_world.NameOf(index), 1};
    settings.data_centre = "data-centre-" + region;
    settings.region = "region-" + region;
    settings.store_region = "region-0";
    settings.origin_bytes_per_second = options.OriginRate();
    settings.region_link_bytes_per_second = options.RegionRate();
    settings.instance_link_bytes_per_second = options.InstanceRate();
    settings.neighbours = options.neighbours;
    settings.selector = options.selector;
    settings.speed = options.speed;
    settings.relay_regions = options.relay;
    settings.push_duties = options.push;
    settings.maximum_requests_per_neighbour = options.requests;
    settings.inventory_interval =
        std::chrono::milliseconds(options.inventory_milliseconds);
    node.core = std::make_unique<weights::Transfer>(
        settings, kernel::Random(m_random.Next()), now);
  }
  m_nodes.emplace(index, std::move(node));
}

void Host::Connect(const std::vector<std::uint16_t>& ports) {
  for (const std::uint16_t port : ports) {
    auto outgoing = std::make_unique<Outgoing>(m_context);
    outgoing->socket.connect({asio::ip::address_v4::loopback(), port});
    outgoing->socket.set_option(tcp::no_delay(true));
    m_outgoing.push_back(std::move(outgoing));
  }
}

void Host::Start(Time start) {
  Accept();
  At(start, [this] {
    const auto peers = m_world.Peers();
    for (auto& [index, node] : m_nodes) {
      if (node.core) {
        node.core->OnPeers(Now(), peers);
        node.core->SetWantedVersions(Now(), {m_world.Digest()});
        Flush(index);
      }
    }
  });
  m_thread = std::thread([this] { m_context.run(); });
}

void Host::TellPeers() {
  asio::post(m_context, [this] {
    const auto peers = m_world.Peers();
    for (auto& [index, node] : m_nodes) {
      if (node.core && !m_world.IsDead(index)) {
        node.core->OnPeers(Now(), peers);
        Flush(index);
      }
    }
  });
}

void Host::Stop() {
  m_context.stop();
  m_thread.join();
  for (const auto& [index, node] : m_nodes) {
    if (node.core) {
      m_world.duplicate_bytes +=
          node.core->Progress(m_world.Digest()).duplicate_bytes;
    }
  }
}

void Host::Accept() {
  m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
    if (!error) {
      Read(std::make_shared<Incoming>(std::move(socket)));
      Accept();
    }
  });
}

void Host::Read(const std::shared_ptr<Incoming>& incoming) {
  const auto on_body = [this, incoming](std::error_code error, std::size_t) {
    if (!error) {
      OnFrame(incoming->head, std::move(incoming->body));
      Read(incoming);
    }
  };
  const auto on_head = [incoming, on_body](std::error_code error, std::size_t) {
    if (!error) {
      incoming->body.resize(incoming->head.size);
      asio::async_read(incoming->socket, asio::buffer(incoming->body), on_body);
    }
  };
  asio::async_read(incoming->socket,
                   asio::buffer(&incoming->head, sizeof(FrameHead)), on_head);
}

void Host::OnFrame(const FrameHead& head, std::string body) {
  const Time now = Now();
  kernel::TokenBucket& link = m_nodes.at(head.to).download;
  link.Take(now, static_cast<double>(body.size()));
  if (body.size() < kSmallMessageBytes) {
    Deliver(head, body);
    return;
  }
  At(now + link.TimeUntil(now, 0),
     [this, head, body = std::move(body)] { Deliver(head, body); });
}

void Host::Deliver(const FrameHead& head, const std::string& body) {
  wire::Envelope message;
  if (m_world.IsDead(head.to) || !message.ParseFromString(body)) {
    return;
  }
  if (head.to == m_world.Origin()) {
    ServeAsOrigin(head.from, message);
  } else if (head.from == m_world.Origin()) {
    TakeFromOrigin(head.to, message);
  } else {
    m_nodes.at(head.to).core->OnMessage(Now(), message);
    Flush(head.to);
  }
}

void Host::ServeAsOrigin(NodeIndex from, const wire::Envelope& message) {
  wire::Envelope answer;
  if (message.has_manifest_request()) {
    answer.mutable_manifest_data()->set_content(
        weights::ToText(m_world.Manifest()));
  } else {
    const std::uint32_t index = message.chunk_request().index();
    answer.mutable_chunk_data()->set_index(index);
    answer.mutable_chunk_data()->set_data(std::string(m_world.ChunkOf(index)));
    m_world.origin_bytes += m_world.ChunkOf(index).size();
  }
  Send(m_world.Origin(), from, std::move(answer));
}

void Host::TakeFromOrigin(NodeIndex to, const wire::Envelope& message) {
  weights::Transfer& core = *m_nodes.at(to).core;
  if (message.has_manifest_data()) {
    core.OnManifestFetched(Now(), m_world.Digest(), weights::Source::kOrigin,
                           message.manifest_data().content());
  } else {
    core.OnChunkFetched(Now(), m_world.Digest(), message.chunk_data().index(),
                        weights::Source::kOrigin, message.chunk_data().data());
  }
  Flush(to);
}

void Host::Send(NodeIndex from, NodeIndex to, wire::Envelope message) {
  if (message.has_chunk_data()) {
    ++m_world.chunk_messages;
    if (m_random.Chance(m_world.Options().corrupt_percent / 100)) {
      std::string& data = *message.mutable_chunk_data()->mutable_data();
      data.front() = static_cast<char>(data.front() ^ 1);
    }
  }
  std::string body = message.SerializeAsString();
  if (!message.has_chunk_data()) {
    ++m_world.control_messages;
    m_world.control_bytes += body.size();
  }
  const Time now = Now();
  kernel::TokenBucket& upload = m_nodes.at(from).upload;
  upload.Take(now, static_cast<double>(body.size()));
  Time departure = now + upload.TimeUntil(now, 0);
  const std::uint32_t from_region = m_world.RegionOf(from);
  const std::uint32_t to_region = m_world.RegionOf(to);
  if (from_region != to_region) {
    departure = std::max(
        departure,
        m_world.CrossRegions(now, from_region, to_region, body.size()));
  }
  if (body.size() < kSmallMessageBytes) {
    Write(from, to, body);
    return;
  }
  At(departure, [this, from, to, body = std::move(body)] {
    if (!m_world.IsDead(from)) {
      Write(from, to, body);
    }
  });
}

void Host::Write(NodeIndex from, NodeIndex to, const std::string& body) {
  const FrameHead head{static_cast<std::uint32_t>(body.size()), from, to};
  std::string frame(sizeof(FrameHead), '\0');
  std::memcpy(frame.data(), &head, sizeof(FrameHead));
  frame += body;
  Outgoing& outgoing = *m_outgoing[to % m_hosts];
  outgoing.frames.push_back(std::move(frame));
  if (outgoing.frames.size() == 1) {
    WriteNext(outgoing);
  }
}

void Host::WriteNext(Outgoing& outgoing) {
  asio::async_write(outgoing.socket, asio::buffer(outgoing.frames.front()),
                    [this, &outgoing](std::error_code error, std::size_t) {
                      outgoing.frames.pop_front();
                      if (!error && !outgoing.frames.empty()) {
                        WriteNext(outgoing);
                      }
                    });
}

void Host::Flush(NodeIndex index) {
  for (weights::TransferOutput& output :
       m_nodes.at(index).core->TakeOutputs()) {
    Handle(index, output);
  }
  m_world.OnProgress(
      index, m_nodes.at(index).core->Progress(m_world.Digest()).chunks_present);
  ScheduleTick(index);
}

void Host::Handle(NodeIndex index, weights::TransferOutput& output) {
  if (auto* send = std::get_if<wire::Send>(&output)) {
    Send(index, m_world.Find(send->to), std::move(send->message));
  } else if (std::holds_alternative<weights::FetchManifest>(output)) {
    wire::Envelope message;
    message.mutable_manifest_request();
    Send(index, m_world.Origin(), std::move(message));
  } else if (const auto* fetch = std::get_if<weights::FetchChunk>(&output)) {
    wire::Envelope message;
    message.mutable_chunk_request()->set_index(fetch->index);
    Send(index, m_world.Origin(), std::move(message));
  } else if (std::holds_alternative<weights::VersionComplete>(output)) {
    CheckComplete(index);
  }
}

void Host::CheckComplete(NodeIndex index) {
  const Time now = Now();
  const weights::Transfer& core = *m_nodes.at(index).core;
  bool right = true;
  for (std::uint32_t i = 0; i < m_world.Manifest().chunks.size(); ++i) {
    right = right && core.ChunkBytes(m_world.Digest(), i) == m_world.ChunkOf(i);
  }
  m_world.OnComplete(now, index, right);
}

void Host::ScheduleTick(NodeIndex index) {
  Node& node = m_nodes.at(index);
  const Time next = node.core->NextTick();
  if (node.tick != Time() && node.tick <= next) {
    return;
  }
  node.tick = next;
  At(next, [this, index, next] {
    Node& node = m_nodes.at(index);
    if (node.tick != next) {
      return;  // An earlier tick took its place.
    }
    node.tick = Time();
    if (!m_world.IsDead(index)) {
      node.core->OnTick(Now());
      Flush(index);
    }
  });
}

void Host::At(Time time, std::function<void()> action) {
  const bool first = m_events.empty() || time < m_events.begin()->first;
  m_events.emplace(time, std::move(action));
  if (first) {
    ArmTimer();
  }
}

void Host::CountLateness(Time due) {
  constexpr std::chrono::microseconds kLate(20'000);
  const auto late =
      std::chrono::duration_cast<std::chrono::microseconds>(Now() - due);
  ++m_world.events;
  m_world.late_microseconds += static_cast<std::uint64_t>(late.count());
  m_world.late_events += late > kLate ? 1 : 0;
}

void Host::ArmTimer() {
  m_timer.expires_at(m_events.begin()->first);
  m_timer.async_wait([this](std::error_code error) {
    if (error) {
      return;
    }
    while (!m_events.empty() && m_events.begin()->first <= Now()) {
      CountLateness(m_events.begin()->first);
      const auto action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
    }
    if (!m_events.empty()) {
      ArmTimer();
    }
  });
}

}  // namespace radishrudder::measure
