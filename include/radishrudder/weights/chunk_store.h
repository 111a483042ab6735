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

// Verified chunks by digest, shared by all versions on this instance.
class ChunkStore {
 public:
  // Stores the bytes if they match the digest; returns whether they do.
  bool Put(const Digest& digest, std::string bytes);
  bool Has(const Digest& digest) const { return m_chunks.contains(digest); }
  // Returns the chunk's bytes, or an empty view if it is not stored.
  std::string_view Find(const Digest& digest) const;
  // Removes all chunks that occur in none of `manifests`.
  void KeepOnly(std::span<const Manifest* const> manifests);
  std::uint64_t Bytes() const { return m_bytes; }

 private:
  struct DigestHash {
    std::size_t operator()(const Digest& digest) const;
  };

  std::unordered_map<Digest, std::string, DigestHash> m_chunks;
  std::uint64_t m_bytes = 0;
};

// Returns the total size in bytes of the distinct chunks of `manifests`.
std::uint64_t StagedBytes(std::span<const Manifest* const> manifests);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_CHUNK_STORE_H_
