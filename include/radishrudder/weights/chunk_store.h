#ifndef RADISHRUDDER_WEIGHTS_CHUNK_STORE_H_
#define RADISHRUDDER_WEIGHTS_CHUNK_STORE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {

// Verified chunks by their digest, shared by all versions held here.
class ChunkStore {
 public:
  // Keeps the bytes if they have that digest; returns whether they do.
  bool Put(const Digest& digest, std::string bytes);
  bool Has(const Digest& digest) const { return m_chunks.contains(digest); }
  // Returns the bytes, or an empty view.
  std::string_view Find(const Digest& digest) const;
  // Drops every chunk that is in none of `manifests`.
  void KeepOnly(std::span<const Manifest* const> manifests);
  std::uint64_t Bytes() const { return m_bytes; }

 private:
  struct DigestHash {
    std::size_t operator()(const Digest& digest) const;
  };

  std::unordered_map<Digest, std::string, DigestHash> m_chunks;
  std::uint64_t m_bytes = 0;
};

// Returns the bytes that the distinct chunks of some manifests take together.
std::uint64_t StagedBytes(std::span<const Manifest* const> manifests);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_CHUNK_STORE_H_
