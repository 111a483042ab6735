#include "slopes.h"

#include <malloc.h>

#include <ctime>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "radishrudder/weights/chunk_bitmap.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::measure {
namespace {

using weights::Transfer;

constexpr std::uint32_t kSmallChunkBytes = 1024;
constexpr std::uint32_t kLargeChunkBytes = 1U << 20U;
constexpr std::uint32_t kRegions = 3;

double ThreadMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double AllocatedBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

template <typename Work>
double MicrosecondsOf(Work work) {
  const double before = ThreadMicroseconds();
  work();
  return ThreadMicroseconds() - before;
}

std::vector<weights::TransferPeer> MakePeers(std::uint32_t count) {
  std::vector<weights::TransferPeer> peers;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string place = std::to_string(i % kRegions);
    peers.push_back({"instance-" + std::to_string(i), "data-centre-" + place,
                     "region-" + place, true});
  }
  return peers;
}

// A core that wants one version of `chunks` chunks and has its manifest.
class Probe {
 public:
  Probe(const SlopeShape& shape, std::uint32_t chunk_bytes);

  // Builds the core; all input was built before.
  void Start();
  kernel::Time Now() { return m_now += std::chrono::milliseconds(1); }
  void ChangePeers();
  // Hears of all chunks from the `number`th other instance of the region.
  void HearInventory(std::uint32_t number);
  void HearChunk(std::uint32_t index);
  std::size_t InventoryBytes() const { return MakeInventory(0).ByteSizeLong(); }

 private:
  wire::Envelope MakeInventory(std::uint32_t number) const;

  SlopeShape m_shape;
  std::string m_bytes;
  weights::Manifest m_manifest;
  std::string m_digest;
  std::vector<weights::TransferPeer> m_peers;
  kernel::Time m_now{std::chrono::hours(1)};
  std::unique_ptr<Transfer> m_core;
};

weights::TransferSettings MakeSettings(const SlopeShape& shape) {
  weights::TransferSettings settings;
  settings.self = {"instance-0", 1};
  settings.data_centre = "data-centre-0";
  settings.region = "region-0";
  settings.store_region = "region-0";
  settings.neighbours = shape.neighbours;
  return settings;
}

Probe::Probe(const SlopeShape& shape, std::uint32_t chunk_bytes)
    : m_shape(shape),
      m_bytes(static_cast<std::size_t>(shape.chunks) * chunk_bytes, 'x'),
      m_peers(MakePeers(shape.peers)) {
  for (std::uint32_t i = 0; i < shape.chunks; ++i) {
    const std::string mark = std::to_string(i);
    m_bytes.replace(static_cast<std::size_t>(i) * chunk_bytes, mark.size(),
                    mark);
  }
  m_manifest = weights::DescribeFile("model.bin", m_bytes, chunk_bytes);
  m_digest = weights::ManifestDigest(m_manifest);
}

void Probe::Start() {
  m_core = std::make_unique<Transfer>(MakeSettings(m_shape), kernel::Random(1),
                                      m_now);
  m_core->OnPeers(Now(), m_peers);
  m_core->SetWantedVersions(Now(), {m_digest});
  m_core->OnManifestFetched(Now(), m_digest, weights::Source::kOrigin,
                            weights::ToText(m_manifest));
  m_core->TakeOutputs();
}

void Probe::ChangePeers() {
  m_peers.back().alive = !m_peers.back().alive;
  m_core->OnPeers(Now(), m_peers);
  m_core->TakeOutputs();
}

wire::Envelope Probe::MakeInventory(std::uint32_t number) const {
  weights::ChunkBitmap present(m_shape.chunks);
  for (std::uint32_t i = 0; i < m_shape.chunks; ++i) {
    present.Set(i);
  }
  wire::Envelope message;
  message.mutable_from()->set_instance("instance-" +
                                       std::to_string((number + 1) * kRegions));
  wire::ChunkInventory& inventory = *message.mutable_chunk_inventory();
  inventory.set_manifest_digest(m_digest);
  inventory.set_present(present.ToBytes());
  inventory.set_chunk_count(m_shape.chunks);
  return message;
}

void Probe::HearInventory(std::uint32_t number) {
  m_core->OnMessage(Now(), MakeInventory(number));
  m_core->TakeOutputs();
}

void Probe::HearChunk(std::uint32_t index) {
  const weights::Chunk& chunk = m_manifest.chunks[index];
  wire::Envelope message;
  message.mutable_from()->set_instance("instance-" + std::to_string(kRegions));
  message.mutable_chunk_data()->set_manifest_digest(m_digest);
  message.mutable_chunk_data()->set_index(index);
  message.mutable_chunk_data()->set_data(
      m_bytes.substr(chunk.offset, chunk.size));
  m_core->OnMessage(Now(), message);
  m_core->TakeOutputs();
}

double ChunkMicroseconds(const SlopeShape& shape, std::uint32_t chunk_bytes) {
  Probe probe(shape, chunk_bytes);
  probe.Start();
  for (std::uint32_t i = 0; i < shape.neighbours; ++i) {
    probe.HearInventory(i);
  }
  const double time = MicrosecondsOf([&] {
    for (std::uint32_t i = 0; i < shape.chunks; ++i) {
      probe.HearChunk(i);
    }
  });
  return time / shape.chunks;
}

}  // namespace

SlopeFigures MeasureSlopes(const SlopeShape& shape) {
  constexpr std::uint32_t kRounds = 20;
  constexpr std::uint32_t kLargeChunks = 32;
  SlopeFigures figures;
  {
    Probe probe(shape, kSmallChunkBytes);
    const double before = AllocatedBytes();
    probe.Start();
    for (std::uint32_t i = 0; i < shape.neighbours; ++i) {
      probe.HearInventory(i);
    }
    figures.state_bytes = AllocatedBytes() - before;
    figures.inventory_bytes = probe.InventoryBytes();
    figures.peers_changed_us = MicrosecondsOf([&] {
                                 for (std::uint32_t i = 0; i < kRounds; ++i) {
                                   probe.ChangePeers();
                                 }
                               }) /
                               kRounds;
    figures.inventory_us = MicrosecondsOf([&] {
                             for (std::uint32_t i = 0; i < kRounds; ++i) {
                               probe.HearInventory(i % shape.neighbours);
                             }
                           }) /
                           kRounds;
  }
  figures.chunk_us = ChunkMicroseconds(shape, kSmallChunkBytes);
  SlopeShape few = shape;
  few.chunks = kLargeChunks;
  figures.chunk_us_per_mebibyte = ChunkMicroseconds(few, kLargeChunkBytes) -
                                  ChunkMicroseconds(few, kSmallChunkBytes);
  return figures;
}

void PrintSlopes() {
  constexpr SlopeShape kShapes[] = {
      {600, 1024, 6},  {2400, 1024, 6},  {600, 4096, 6},
      {2400, 4096, 6}, {2400, 4096, 12},
  };
  for (const SlopeShape& shape : kShapes) {
    const SlopeFigures figures = MeasureSlopes(shape);
    nlohmann::json line;
    line["peers"] = shape.peers;
    line["chunks"] = shape.chunks;
    line["neighbours"] = shape.neighbours;
    line["state_bytes"] = figures.state_bytes;
    line["peers_changed_us"] = figures.peers_changed_us;
    line["inventory_us"] = figures.inventory_us;
    line["inventory_bytes"] = figures.inventory_bytes;
    line["chunk_us"] = figures.chunk_us;
    line["chunk_us_per_mebibyte"] = figures.chunk_us_per_mebibyte;
    std::cout << line.dump() << "\n";
  }
}

}  // namespace radishrudder::measure
