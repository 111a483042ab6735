#include "engine_weights.h"

#include <utility>

#include "radishrudder/kernel/findings.h"

namespace radishrudder::standin {

EngineWeights::Problem EngineWeights::PutManifest(const std::string& digest,
                                                  const std::string& text) {
  const std::string actual = weights::ToText(weights::Sha256(text));
  if (actual != digest) {
    return "the manifest has the digest " + actual + ", not " + digest;
  }
  kernel::Findings findings;
  auto manifest = weights::ParseManifest(digest, text, findings);
  if (!manifest) {
    return kernel::Format(findings);
  }
  if (!m_versions.contains(digest)) {
    const std::size_t count = manifest->chunks.size();
    m_versions[digest] = {std::move(*manifest),
                          std::vector<std::optional<std::string>>(count)};
  }
  return std::nullopt;
}

EngineWeights::Problem EngineWeights::PutChunk(const std::string& digest,
                                               std::uint64_t index,
                                               std::string bytes) {
  const auto found = m_versions.find(digest);
  if (found == m_versions.end()) {
    return "no manifest with the digest " + digest + " was given";
  }
  Version& version = found->second;
  if (index >= version.chunks.size()) {
    return "chunk " + std::to_string(index) + " does not exist; there are " +
           std::to_string(version.chunks.size());
  }
  if (weights::Sha256(bytes) != version.manifest.chunks[index].digest) {
    return "chunk " + std::to_string(index) + " has a wrong digest";
  }
  version.chunks[index] = std::move(bytes);
  return std::nullopt;
}

EngineWeights::Problem EngineWeights::Verify(const std::string& digest) const {
  const auto found = m_versions.find(digest);
  if (found == m_versions.end()) {
    return "no manifest with the digest " + digest + " was given";
  }
  std::string whole;
  for (std::size_t i = 0; i < found->second.chunks.size(); ++i) {
    const auto& chunk = found->second.chunks[i];
    if (!chunk) {
      return "chunk " + std::to_string(i) + " of " + digest + " is missing";
    }
    whole += *chunk;
  }
  if (weights::Sha256(whole) != found->second.manifest.file_digest) {
    return "the whole file of " + digest + " has a wrong digest";
  }
  return std::nullopt;
}

void EngineWeights::KeepOnly(const std::string& digest) {
  std::erase_if(m_versions,
                [&](const auto& version) { return version.first != digest; });
}

}  // namespace radishrudder::standin
