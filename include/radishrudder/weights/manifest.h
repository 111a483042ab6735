#ifndef RADISHRUDDER_WEIGHTS_MANIFEST_H_
#define RADISHRUDDER_WEIGHTS_MANIFEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/findings.h"

namespace radishrudder::weights {

inline constexpr std::size_t kDigestBytes = 32;

// Bounds of a manifest. A chunk travels in one message of the transport.
inline constexpr std::uint32_t kMaximumChunkBytes = 4U << 20U;
inline constexpr std::size_t kMaximumManifestBytes = 16U << 20U;
inline constexpr std::size_t kMaximumChunks = 1U << 17U;
inline constexpr std::size_t kMaximumFileNameBytes = 255;

// SHA-256 of some bytes.
using Digest = std::array<std::uint8_t, kDigestBytes>;

Digest Sha256(std::string_view bytes);
// Formats as "sha256:" and 64 lower-case hex digits.
std::string ToText(const Digest& digest);
std::optional<Digest> ParseDigest(std::string_view text);

struct Chunk {
  Digest digest{};
  std::uint64_t offset = 0;  // Bytes from the start of the file.
  std::uint32_t size = 0;    // Bytes.
};

// Description of one version of a model's weights. Its identity is the digest
// of its canonical text.
struct Manifest {
  std::string file;        // Name at the origin.
  std::uint64_t size = 0;  // Bytes.
  // Digest of the whole file; absent where the origin names none, and the
  // digests of all chunks stand for it.
  std::optional<Digest> whole{};
  std::vector<Chunk> chunks;  // In order, without gaps.
  std::string base;  // Manifest digest of the base, for an adapter, or empty.
};

// Cuts `bytes` into chunks of `chunk_bytes`, which is brought into the range
// 1 to `kMaximumChunkBytes`, and describes them.
Manifest Describe(std::string file,
                  std::string_view bytes,
                  std::uint32_t chunk_bytes);
// Returns the canonical JSON text: compact, members in alphabetical order.
std::string ToText(const Manifest& manifest);
// Returns "sha256:..." of the canonical text.
std::string IdentityOf(const Manifest& manifest);
// Parses canonical text, which one line feed may end. Sizes, counts and offsets
// that contradict each other or exceed the bounds above are findings with a
// JSON pointer; `source` names the text in them.
std::optional<Manifest> ParseManifest(std::string_view source,
                                      std::string_view text,
                                      kernel::Findings& findings);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_MANIFEST_H_
