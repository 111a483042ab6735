#include "tests/weights/transfer_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLatency(5);

void Corrupt(std::string& bytes) {
  bytes.front() = static_cast<char>(bytes.front() ^ 1);
}

}  // namespace

std::string TransferFleet::Publish(std::string file,
                                   const std::string& bytes,
                                   std::uint32_t chunk_bytes) {
  Manifest manifest = DescribeFile(std::move(file), bytes, chunk_bytes);
  std::string digest = ManifestDigest(manifest);
  m_published[digest] = {std::move(manifest), bytes};
  return digest;
}

std::string TransferFleet::PublishWithWrongFileDigest(
    std::string file,
    const std::string& bytes) {
  constexpr std::uint32_t kChunkBytes = 1024;
  Manifest manifest = DescribeFile(std::move(file), bytes, kChunkBytes);
  manifest.file_digest = Sha256("other bytes");
  std::string digest = ManifestDigest(manifest);
  m_published[digest] = {std::move(manifest), bytes};
  return digest;
}

void TransferFleet::Add(const std::string& instance) {
  TransferSettings instance_settings = settings;
  instance_settings.self = {instance, 1};
  instance_settings.region = instance.substr(0, instance.find('-'));
  instance_settings.data_centre = instance_settings.region;
  instance_settings.store_region = "r1";
  m_nodes[instance].core = std::make_unique<Transfer>(
      instance_settings, kernel::Random(m_random.Next()), m_now);
}

void TransferFleet::DistributePeers(const std::string& only) {
  std::vector<TransferPeer> peers;
  for (const auto& [name, node] : m_nodes) {
    const std::string region = name.substr(0, name.find('-'));
    peers.push_back({name, region, region, !m_dead.contains(name)});
  }
  for (const auto& [name, node] : m_nodes) {
    if (only.empty() || name == only) {
      node.core->OnPeers(m_now, peers);
      Flush(name);
    }
  }
}

void TransferFleet::SetWantedVersions(const std::string& instance,
                                      std::vector<std::string> digests) {
  Core(instance).SetWantedVersions(m_now, std::move(digests));
  Flush(instance);
}

void TransferFleet::WantEverywhere(const std::vector<std::string>& digests) {
  for (const auto& [name, node] : m_nodes) {
    SetWantedVersions(name, digests);
  }
}

void TransferFleet::Pause(const std::string& instance,
                          kernel::Duration length) {
  m_nodes.at(instance).paused_until = m_now + length;
}

void TransferFleet::At(kernel::Duration delay,
                       const std::string& instance,
                       Action action) {
  m_events.emplace(m_now + delay, Event{instance, std::move(action)});
}

void TransferFleet::Flush(const std::string& instance) {
  for (TransferOutput& output : Core(instance).TakeOutputs()) {
    std::visit([&](auto& item) { Handle(instance, std::move(item)); }, output);
  }
}

void TransferFleet::Handle(const std::string& instance, wire::Send output) {
  if (output.message.has_chunk_data()) {
    ++m_sent_chunks[instance];
    if (corrupted(instance)) {
      Corrupt(*output.message.mutable_chunk_data()->mutable_data());
    }
  }
  const bool never_sent = output.message.has_chunk_data() && withheld(instance);
  if (never_sent || !m_nodes.contains(output.to) || lost(instance, output.to)) {
    return;
  }
  At(kLatency, output.to, [this, message = output.message](Transfer& core) {
    core.OnMessage(m_now, message);
  });
}

void TransferFleet::Handle(const std::string& instance,
                           const FetchManifest& output) {
  const auto found = m_published.find(output.manifest_digest);
  const bool answered =
      found != m_published.end() && served(instance, output.source);
  std::string text = answered ? ToText(found->second.manifest) : "";
  At(kLatency, instance,
     [this, output, text = std::move(text)](Transfer& core) {
       core.OnManifestFetched(m_now, output.manifest_digest, output.source,
                              text);
     });
}

void TransferFleet::Handle(const std::string& instance,
                           const FetchChunk& output) {
  std::string bytes;
  kernel::Duration delay = 2 * kLatency;
  if (served(instance, output.source)) {
    bytes = m_published.at(output.manifest_digest)
                .bytes.substr(output.offset, output.size);
    m_served_bytes[{output.source, output.manifest_digest}] += output.size;
    if (corrupted("origin")) {
      Corrupt(bytes);
    }
    if (origin_link_bytes_per_second > 0 && output.source == Source::kOrigin) {
      m_origin_link_free = std::max(m_origin_link_free, m_now) +
                           std::chrono::duration_cast<kernel::Duration>(
                               std::chrono::duration<double>(
                                   output.size / origin_link_bytes_per_second));
      delay += m_origin_link_free - m_now;
    }
  }
  At(delay, instance, [this, output, bytes = std::move(bytes)](Transfer& core) {
    core.OnChunkFetched(m_now, output.manifest_digest, output.index,
                        output.source, bytes);
  });
}

void TransferFleet::Handle(const std::string& instance,
                           const VersionComplete& output) {
  EXPECT_TRUE(
      m_nodes.at(instance).complete.insert(output.manifest_digest).second)
      << instance << " reported a version twice";
  const Transfer& core = Core(instance);
  const Published& published = m_published.at(output.manifest_digest);
  std::string bytes;
  for (std::uint32_t i = 0; i < published.manifest.chunks.size(); ++i) {
    bytes += core.ChunkBytes(output.manifest_digest, i);
  }
  EXPECT_TRUE(bytes == published.bytes) << instance << " has wrong bytes";
}

void TransferFleet::Handle(const std::string& instance,
                           const ChunkRejected& output) {
  ++m_rejections[output.sender];
}

std::optional<kernel::Time> TransferFleet::NextTime() const {
  std::optional<kernel::Time> next;
  const auto consider = [&](kernel::Time time) {
    next = next ? std::min(*next, time) : time;
  };
  if (!m_events.empty()) {
    consider(m_events.begin()->first);
  }
  for (const auto& [name, node] : m_nodes) {
    if (!m_dead.contains(name)) {
      consider(std::max(node.core->NextTick(), node.paused_until));
    }
  }
  return next;
}

void TransferFleet::Step(kernel::Time time) {
  m_now = std::max(m_now, time);
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    const Event event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    const Node& node = m_nodes.at(event.instance);
    if (m_dead.contains(event.instance)) {
      continue;
    }
    if (node.paused_until > m_now) {
      m_events.emplace(node.paused_until, event);
      continue;
    }
    event.action(*node.core);
    Flush(event.instance);
  }
  for (const auto& [name, node] : m_nodes) {
    if (!m_dead.contains(name) && node.paused_until <= m_now &&
        node.core->NextTick() <= m_now) {
      node.core->OnTick(m_now);
      Flush(name);
    }
  }
}

bool TransferFleet::Run(kernel::Duration limit,
                        const std::function<bool()>& done) {
  const kernel::Time end = m_now + limit;
  while (!done()) {
    const std::optional<kernel::Time> next = NextTime();
    if (!next || *next > end) {
      m_now = end;
      return done();
    }
    Step(*next);
  }
  return true;
}

bool TransferFleet::RunToCompletion(kernel::Duration limit,
                                    const std::string& digest) {
  return Run(limit, [this, &digest] {
    return CompleteCount(digest) == m_nodes.size() - m_dead.size();
  });
}

std::size_t TransferFleet::CompleteCount(const std::string& digest) const {
  return static_cast<std::size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
        return !m_dead.contains(item.first) &&
               item.second.complete.contains(digest);
      }));
}

double TransferFleet::Copies(Source source, const std::string& digest) const {
  const auto found = m_served_bytes.find({source, digest});
  const auto size = static_cast<double>(m_published.at(digest).bytes.size());
  return found == m_served_bytes.end()
             ? 0
             : static_cast<double>(found->second) / size;
}

std::uint64_t TransferFleet::Rejections(const std::string& sender) const {
  const auto found = m_rejections.find(sender);
  return found == m_rejections.end() ? 0 : found->second;
}

std::uint64_t TransferFleet::Sent(const std::string& from) const {
  const auto found = m_sent_chunks.find(from);
  return found == m_sent_chunks.end() ? 0 : found->second;
}

}  // namespace radishrudder::weights
