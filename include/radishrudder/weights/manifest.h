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
  std::string file;           // Name at the origin.
  std::uint64_t size = 0;     // Bytes.
  Digest whole{};             // Digest of the whole file.
  std::vector<Chunk> chunks;  // In order, without gaps.
  std::string base;  // Manifest digest of the base, for an adapter, or empty.
};

// Cuts `bytes` into chunks of `chunk_bytes` and describes them.
Manifest Describe(std::string file,
                  std::string_view bytes,
                  std::uint32_t chunk_bytes);
// Returns the canonical JSON text.
std::string ToText(const Manifest& manifest);
// Returns "sha256:..." of the canonical text.
std::string IdentityOf(const Manifest& manifest);
// Parses with bounds on sizes and counts; lies about them are findings.
std::optional<Manifest> ParseManifest(std::string_view source,
                                      std::string_view text,
                                      kernel::Findings& findings);

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_MANIFEST_H_
