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

// Limits of a manifest. A chunk is sent in one message.
inline constexpr std::uint32_t kMaximumChunkBytes = 4U << 20U;
inline constexpr std::size_t kMaximumManifestBytes = 16U << 20U;
inline constexpr std::size_t kMaximumChunks = 1U << 17U;
inline constexpr std::size_t kMaximumFileNameBytes = 255;

// SHA-256 digest.
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
  std::string file;        // Path at the origin.
  std::uint64_t size = 0;  // Bytes.
  // Digest of the complete file. If the origin provides none, the file is
  // verified by the chunk digests alone.
  std::optional<Digest> file_digest{};
  std::vector<Chunk> chunks;  // Contiguous, in file order.
  std::string base;  // Manifest digest of an adapter's base model, or empty.
};

// Builds the manifest of a file with the content `bytes`, split into chunks of
// `chunk_bytes`, which is clamped to the range 1 to `kMaximumChunkBytes`.
Manifest DescribeFile(std::string file,
                      std::string_view bytes,
                      std::uint32_t chunk_bytes);
// Returns the canonical JSON text: compact, members in alphabetical order.
std::string ToText(const Manifest& manifest);
// Returns "sha256:..." of the canonical text.
std::string ManifestDigest(const Manifest& manifest);
// Parses canonical text with an optional trailing line feed. Inconsistent
// sizes, counts and offsets, and values beyond the limits above, are reported
// as findings with a JSON pointer; `source` names the text in them.
std::optional<Manifest> ParseManifest(std::string_view source,
                                      std::string_view text,
                                      kernel::Findings& findings);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_MANIFEST_H_
