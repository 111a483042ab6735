#include "radishrudder/weights/manifest.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

// `value` must not need escaping in JSON; file names and digests do not.
void AppendMember(std::string& text,
                  std::string_view name,
                  std::string_view value) {
  text.append("\"").append(name).append("\":\"").append(value).append("\"");
}

void AppendMember(std::string& text,
                  std::string_view name,
                  std::uint64_t value) {
  text.append("\"").append(name).append("\":").append(std::to_string(value));
}

void AppendChunk(std::string& text, const Chunk& chunk) {
  text += "{";
  AppendMember(text, "digest", ToText(chunk.digest));
  text += ",";
  AppendMember(text, "offset", chunk.offset);
  text += ",";
  AppendMember(text, "size", std::uint64_t{chunk.size});
  text += "}";
}

}  // namespace

Manifest DescribeFile(std::string file,
                      std::string_view bytes,
                      std::uint32_t chunk_bytes) {
  Manifest manifest;
  manifest.file = std::move(file);
  manifest.size = bytes.size();
  manifest.file_digest = Sha256(bytes);
  const std::uint32_t step =
      std::clamp(chunk_bytes, std::uint32_t{1}, kMaximumChunkBytes);
  for (std::uint64_t offset = 0; offset < bytes.size(); offset += step) {
    const std::string_view part = bytes.substr(offset, step);
    manifest.chunks.push_back(
        {Sha256(part), offset, static_cast<std::uint32_t>(part.size())});
  }
  return manifest;
}

std::string ToText(const Manifest& manifest) {
  constexpr std::size_t kBytesPerChunkText = 128;
  std::string text = "{";
  text.reserve((manifest.chunks.size() + 4) * kBytesPerChunkText);
  AppendMember(text, "base", manifest.base);
  text += ",\"chunks\":[";
  for (const Chunk& chunk : manifest.chunks) {
    if (&chunk != manifest.chunks.data()) {
      text += ",";
    }
    AppendChunk(text, chunk);
  }
  text += "],";
  AppendMember(text, "file", manifest.file);
  text += ",";
  AppendMember(text, "size", manifest.size);
  text += ",";
  AppendMember(
      text, "whole",
      manifest.file_digest ? ToText(*manifest.file_digest) : std::string());
  text += "}";
  return text;
}

std::string ManifestDigest(const Manifest& manifest) {
  return ToText(Sha256(ToText(manifest)));
}

}  // namespace radishrudder::weights
