#include "radishrudder/weights/chunk_store.h"

#include <cstring>
#include <set>
#include <utility>

namespace radishrudder::weights {

std::size_t ChunkStore::DigestHash::operator()(const Digest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

bool ChunkStore::Put(const Digest& digest, std::string bytes) {
  if (Sha256(bytes) != digest) {
    return false;
  }
  const std::size_t size = bytes.size();
  if (m_chunks.emplace(digest, std::move(bytes)).second) {
    m_bytes += size;
  }
  return true;
}

std::string_view ChunkStore::Find(const Digest& digest) const {
  const auto found = m_chunks.find(digest);
  return found == m_chunks.end() ? std::string_view() : found->second;
}

void ChunkStore::KeepOnly(std::span<const Manifest* const> manifests) {
  std::set<Digest> kept;
  for (const Manifest* manifest : manifests) {
    for (const Chunk& chunk : manifest->chunks) {
      kept.insert(chunk.digest);
    }
  }
  std::erase_if(m_chunks, [&](const auto& item) {
    if (kept.contains(item.first)) {
      return false;
    }
    m_bytes -= item.second.size();
    return true;
  });
}

std::uint64_t StagedBytes(std::span<const Manifest* const> manifests) {
  std::set<Digest> seen;
  std::uint64_t bytes = 0;
  for (const Manifest* manifest : manifests) {
    for (const Chunk& chunk : manifest->chunks) {
      bytes += seen.insert(chunk.digest).second ? chunk.size : 0;
    }
  }
  return bytes;
}

}  // namespace radishrudder::weights
