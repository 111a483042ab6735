#ifndef RADISHRUDDER_STANDIN_ENGINE_WEIGHTS_H_
#define RADISHRUDDER_STANDIN_ENGINE_WEIGHTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/weights/manifest.h"

namespace radishrudder::standin {

// Copies of weights that were handed to an engine. Methods return what is
// wrong, or nothing.
class EngineWeights {
 public:
  using Problem = std::optional<std::string>;

  Problem PutManifest(const std::string& digest, const std::string& text);
  Problem PutChunk(const std::string& digest,
                   std::uint64_t index,
                   std::string bytes);
  // Checks that every chunk is there and the whole has its digest.
  Problem Verify(const std::string& digest) const;
  // Drops every version but this one.
  void KeepOnly(const std::string& digest);

 private:
  struct Version {
    weights::Manifest manifest;
    std::vector<std::optional<std::string>> chunks;
  };

  std::map<std::string, Version> m_versions;  // By manifest digest.
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_ENGINE_WEIGHTS_H_
