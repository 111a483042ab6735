#include "radishrudder/direct/request_digest.h"

#include "radishrudder/weights/manifest.h"

namespace radishrudder::direct {
namespace {

constexpr std::string_view kPrefix = "request:";
constexpr std::size_t kHexDigits = 32;
// Room for the short fields and the lengths.
constexpr std::size_t kOtherBytes = 128;

// The length before each field keeps fields with other boundaries apart.
void AppendField(std::string_view field, std::string& text) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

std::string RequestDigest(const CallerRequest& request,
                          std::string_view workspace) {
  std::string text;
  text.reserve(request.body.size() + request.target.size() +
               request.host.size() + kOtherBytes);
  AppendField(request.method, text);
  AppendField(request.host, text);
  AppendField(request.target, text);
  AppendField(workspace.empty() ? "key" : "workspace", text);
  AppendField(workspace.empty() ? std::string_view(request.key) : workspace,
              text);
  AppendField(request.body, text);
  const std::string digest = weights::ToText(weights::Sha256(text));
  return std::string(kPrefix) + digest.substr(digest.find(':') + 1, kHexDigits);
}

bool IsRequestDigest(std::string_view signature) {
  return signature.starts_with(kPrefix);
}

}  // namespace radishrudder::direct
