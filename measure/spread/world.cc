#include "world.h"

#include <algorithm>

#include "radishrudder/kernel/random.h"

namespace radishrudder::measure {
namespace {

std::string MakeBytes(std::size_t size, std::uint64_t seed) {
  kernel::Random random(seed);
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random.Next());
  }
  return bytes;
}

constexpr std::uint32_t kKibibyte = 1024;

}  // namespace

World::World(SpreadOptions options)
    : m_options(std::move(options)),
      m_bytes(MakeBytes(static_cast<std::size_t>(m_options.FileBytes()),
                        m_options.seed)),
      m_manifest(weights::DescribeFile("model.bin",
                                       m_bytes,
                                       m_options.chunk_kib * kKibibyte)),
      m_digest(weights::ManifestDigest(m_manifest)),
      m_dead(m_options.instances + 1),
      m_done(m_options.instances + 1),
      m_present(m_options.instances + 1) {
  for (NodeIndex node = 0; node <= m_options.instances; ++node) {
    m_names[NameOf(node)] = node;
  }
}

std::string_view World::ChunkOf(std::uint32_t index) const {
  const weights::Chunk& chunk = m_manifest.chunks[index];
  return std::string_view(m_bytes).substr(chunk.offset, chunk.size);
}

std::uint32_t World::RegionOf(NodeIndex node) const {
  return node == Origin() ? 0 : node % m_options.data_centres;
}

std::string World::NameOf(NodeIndex node) const {
  return node == Origin() ? "origin" : "instance-" + std::to_string(node);
}

NodeIndex World::Find(std::string_view name) const {
  return m_names.find(name)->second;
}

std::vector<weights::TransferPeer> World::Peers() const {
  std::vector<weights::TransferPeer> peers;
  for (NodeIndex node = 0; node < m_options.instances; ++node) {
    const std::string region = std::to_string(RegionOf(node));
    peers.push_back({NameOf(node), "data-centre-" + region, "region-" + region,
                     !IsDead(node)});
  }
  return peers;
}

kernel::Time World::CrossRegions(kernel::Time now,
                                 std::uint32_t from,
                                 std::uint32_t to,
                                 std::size_t bytes) {
  const std::lock_guard lock(m_mutex);
  m_bytes_into[to] += bytes;
  kernel::TokenBucket& link =
      m_links.try_emplace({from, to}, m_options.RegionRate(), 1.0, now)
          .first->second;
  link.Take(now, static_cast<double>(bytes));
  return now + link.TimeUntil(now, 0);
}

void World::KillSome() {
  kernel::Random random(m_options.seed + 1);
  const auto count = static_cast<std::uint32_t>(m_options.instances *
                                                m_options.kill_percent / 100);
  while (m_killed < count) {
    const auto node = static_cast<NodeIndex>(random.Below(m_options.instances));
    if (m_dead[node].exchange(true)) {
      continue;
    }
    ++m_killed;
    if (m_done[node]) {
      --m_complete;
    }
  }
}

std::vector<double> World::Progress() const {
  std::vector<double> sums(m_options.data_centres, 0);
  std::vector<std::uint32_t> counts(m_options.data_centres, 0);
  for (NodeIndex node = 0; node < m_options.instances; ++node) {
    if (!IsDead(node)) {
      sums[RegionOf(node)] += m_present[node];
      ++counts[RegionOf(node)];
    }
  }
  for (std::size_t i = 0; i < sums.size(); ++i) {
    sums[i] /= static_cast<double>(counts[i] * m_manifest.chunks.size());
  }
  return sums;
}

void World::OnComplete(kernel::Time now, NodeIndex node, bool right) {
  wrong_loads += right ? 0 : 1;
  const std::lock_guard lock(m_mutex);
  m_done[node] = true;
  ++m_complete;
  m_last_complete = std::max(m_last_complete, now);
}

kernel::Time World::LastComplete() const {
  const std::lock_guard lock(m_mutex);
  return m_last_complete;
}

double World::MaximumRegionCopies() const {
  const std::lock_guard lock(m_mutex);
  std::uint64_t most = 0;
  for (const auto& [region, bytes] : m_bytes_into) {
    most = std::max(most, bytes);
  }
  return static_cast<double>(most) / m_options.FileBytes();
}

}  // namespace radishrudder::measure
