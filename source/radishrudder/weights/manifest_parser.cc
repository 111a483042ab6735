#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {
namespace {

using Json = nlohmann::json;

constexpr int kMaximumDepth = 3;
// Further findings are discarded: a malicious text could cause millions.
constexpr std::size_t kMaximumFindings = 20;

constexpr std::string_view kDigestFormat =
    "\"sha256:\" and 64 lower-case hexadecimal digits";
constexpr std::array<std::string_view, 5> kManifestMembers = {
    "base", "chunks", "file", "size", "whole"};
constexpr std::array<std::string_view, 3> kChunkMembers = {"digest", "offset",
                                                           "size"};

bool IsFileNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '.' ||
         character == '_' || character == '-' || character == '/';
}

bool IsValidFileName(std::string_view name) {
  return !name.empty() && name.size() <= kMaximumFileNameBytes &&
         std::all_of(name.begin(), name.end(), IsFileNameCharacter) &&
         name.front() != '/' && name.find("..") == std::string_view::npos;
}

// Parses one manifest and reports its errors as findings.
class ManifestReader {
 public:
  ManifestReader(std::string_view source, kernel::Findings& findings)
      : m_source(source), m_findings(findings) {}

  std::optional<Manifest> Read(std::string_view text);

 private:
  void Report(std::string pointer, std::string text, std::string valid);
  Json ParseJson(std::string_view text);
  template <std::size_t Size>
  bool CheckMembers(const Json& object,
                    const std::string& pointer,
                    const std::array<std::string_view, Size>& names);
  std::uint64_t ReadNumber(const Json& object,
                           const std::string& pointer,
                           const char* name,
                           std::uint64_t maximum);
  std::string ReadString(const Json& object,
                         const std::string& pointer,
                         const char* name);
  Digest ReadDigest(const Json& object,
                    const std::string& pointer,
                    const char* name);
  void ReadFileMembers(const Json& root, Manifest& manifest);
  void ReadChunks(const Json& chunks, Manifest& manifest);
  void ReadChunk(const Json& item,
                 const std::string& pointer,
                 std::uint64_t expected_offset,
                 Manifest& manifest);

  std::string_view m_source;
  kernel::Findings& m_findings;
  std::size_t m_finding_count = 0;
};

void ManifestReader::Report(std::string pointer,
                            std::string text,
                            std::string valid) {
  if (++m_finding_count > kMaximumFindings) {
    return;
  }
  kernel::Place place;
  place.source = m_source;
  place.pointer = std::move(pointer);
  m_findings.Error(std::move(place), std::move(text), std::move(valid));
}

Json ManifestReader::ParseJson(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, Json::parse_event_t event,
                                       Json& parsed) {
    too_deep = too_deep || depth > kMaximumDepth;
    return !too_deep;
  };
  try {
    Json root = Json::parse(text, limit_depth);
    if (!too_deep) {
      return root;
    }
    Report("", "values are nested too deeply",
           "an object with an array of chunk objects");
  } catch (const Json::exception& error) {
    Report("", std::string("the text is not JSON: ") + error.what(),
           "the output of `radishrudder manifest`");
  }
  return Json();
}

template <std::size_t Size>
bool ManifestReader::CheckMembers(
    const Json& object,
    const std::string& pointer,
    const std::array<std::string_view, Size>& names) {
  if (!object.is_object()) {
    Report(pointer, "value is not an object", "an object");
    return false;
  }
  for (const auto& [name, value] : object.items()) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      std::string place = pointer;
      place.append("/").append(name);
      Report(std::move(place), "unknown member \"" + name + "\"",
             "no such member");
    }
  }
  return true;
}

std::uint64_t ManifestReader::ReadNumber(const Json& object,
                                         const std::string& pointer,
                                         const char* name,
                                         std::uint64_t maximum) {
  const auto found = object.find(name);
  if (found != object.end() && found->is_number_unsigned() &&
      found->get<std::uint64_t>() <= maximum) {
    return found->get<std::uint64_t>();
  }
  Report(pointer + "/" + name,
         found == object.end() ? "number is missing"
                               : "value is not a number in range",
         "a whole number from 0 to " + std::to_string(maximum));
  return 0;
}

std::string ManifestReader::ReadString(const Json& object,
                                       const std::string& pointer,
                                       const char* name) {
  const auto found = object.find(name);
  if (found != object.end() && found->is_string()) {
    return found->get<std::string>();
  }
  Report(pointer + "/" + name, "text is missing or not a string", "a string");
  return {};
}

Digest ManifestReader::ReadDigest(const Json& object,
                                  const std::string& pointer,
                                  const char* name) {
  const std::string text = ReadString(object, pointer, name);
  const std::optional<Digest> digest = ParseDigest(text);
  if (!digest) {
    Report(pointer + "/" + name, "\"" + text + "\" is not a digest",
           std::string(kDigestFormat));
  }
  return digest.value_or(Digest{});
}

void ManifestReader::ReadFileMembers(const Json& root, Manifest& manifest) {
  manifest.file = ReadString(root, "", "file");
  if (!IsValidFileName(manifest.file)) {
    Report("/file", "\"" + manifest.file + "\" is not a file name",
           "1 to 255 letters, digits and ._-/ without a leading / or ..");
  }
  constexpr std::uint64_t kMaximumFileBytes =
      std::uint64_t{kMaximumChunks} * kMaximumChunkBytes;
  manifest.size = ReadNumber(root, "", "size", kMaximumFileBytes);
  const Json file_digest = root.value("whole", Json());
  if (!file_digest.is_string() ||
      !file_digest.get_ref<const std::string&>().empty()) {
    manifest.file_digest = ReadDigest(root, "", "whole");
  }
  manifest.base = ReadString(root, "", "base");
  if (!manifest.base.empty() && !ParseDigest(manifest.base)) {
    Report("/base", "\"" + manifest.base + "\" is not a digest",
           std::string(kDigestFormat) + ", or empty");
  }
}

void ManifestReader::ReadChunk(const Json& item,
                               const std::string& pointer,
                               std::uint64_t expected_offset,
                               Manifest& manifest) {
  if (!CheckMembers(item, pointer, kChunkMembers)) {
    return;
  }
  Chunk chunk;
  chunk.digest = ReadDigest(item, pointer, "digest");
  chunk.offset = ReadNumber(item, pointer, "offset",
                            std::numeric_limits<std::uint64_t>::max());
  chunk.size = static_cast<std::uint32_t>(
      ReadNumber(item, pointer, "size", kMaximumChunkBytes));
  if (chunk.size == 0) {
    Report(pointer + "/size", "chunk is empty",
           "1 to " + std::to_string(kMaximumChunkBytes) + " bytes");
  }
  if (chunk.offset != expected_offset) {
    Report(
        pointer + "/offset",
        "offset " + std::to_string(chunk.offset) +
            " leaves a gap or an overlap",
        std::to_string(expected_offset) + ", where the chunk before it ends");
  }
  manifest.chunks.push_back(chunk);
}

void ManifestReader::ReadChunks(const Json& chunks, Manifest& manifest) {
  if (!chunks.is_array() || chunks.size() > kMaximumChunks) {
    Report("/chunks", "chunks are missing or too many",
           "an array of at most " + std::to_string(kMaximumChunks));
    return;
  }
  manifest.chunks.reserve(chunks.size());
  std::uint64_t end = 0;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    ReadChunk(chunks[i], "/chunks/" + std::to_string(i), end, manifest);
    if (manifest.chunks.size() != i + 1) {
      return;
    }
    end += manifest.chunks.back().size;
  }
  if (end != manifest.size) {
    Report("/size",
           "size " + std::to_string(manifest.size) +
               " is not the sum of the chunks",
           std::to_string(end));
  }
}

std::optional<Manifest> ManifestReader::Read(std::string_view text) {
  if (text.ends_with('\n')) {
    text.remove_suffix(1);
  }
  if (text.size() > kMaximumManifestBytes) {
    Report("", "the text has " + std::to_string(text.size()) + " bytes",
           "at most " + std::to_string(kMaximumManifestBytes));
    return std::nullopt;
  }
  const Json root = ParseJson(text);
  if (m_finding_count != 0 || !CheckMembers(root, "", kManifestMembers)) {
    return std::nullopt;
  }
  Manifest manifest;
  ReadFileMembers(root, manifest);
  ReadChunks(root.value("chunks", Json()), manifest);
  if (m_finding_count == 0 && ToText(manifest) != text) {
    Report("", "the text is not in canonical form",
           "compact JSON with each member once, in alphabetical order");
  }
  if (m_finding_count != 0) {
    return std::nullopt;
  }
  return manifest;
}

}  // namespace

std::optional<Manifest> ParseManifest(std::string_view source,
                                      std::string_view text,
                                      kernel::Findings& findings) {
  return ManifestReader(source, findings).Read(text);
}

}  // namespace radishrudder::weights
