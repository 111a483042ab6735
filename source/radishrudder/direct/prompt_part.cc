#include "radishrudder/direct/prompt_part.h"

#include "radishrudder/weights/manifest.h"

namespace radishrudder::direct {
namespace {

constexpr std::size_t kMaximumIdBytes = 64;
constexpr std::string_view kPrefix = "part:";
constexpr std::size_t kHexDigits = 32;

}  // namespace

std::string IdentifyPromptPart(std::string_view id) {
  if (id.size() <= kMaximumIdBytes) {
    return std::string(id);
  }
  const std::string digest = weights::ToText(weights::Sha256(id));
  return std::string(kPrefix) + digest.substr(digest.find(':') + 1, kHexDigits);
}

}  // namespace radishrudder::direct
