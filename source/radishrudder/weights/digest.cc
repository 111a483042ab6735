#include <openssl/evp.h>

#include <memory>
#include <system_error>
#include <utility>

#include "radishrudder/weights/digest_stream.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {
namespace {

constexpr std::string_view kPrefix = "sha256:";
constexpr std::string_view kHexDigits = "0123456789abcdef";

void ThrowOnFailure(int result) {
  if (result != 1) {
    throw std::system_error(std::make_error_code(std::errc::not_enough_memory),
                            "libcrypto failed to compute SHA-256");
  }
}

struct FreeContext {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

}  // namespace

struct DigestStream::Context {
  std::unique_ptr<EVP_MD_CTX, FreeContext> handle{EVP_MD_CTX_new()};
};

DigestStream::DigestStream() : m_context(std::make_unique<Context>()) {
  ThrowOnFailure(m_context->handle != nullptr ? 1 : 0);
  ThrowOnFailure(
      EVP_DigestInit_ex(m_context->handle.get(), EVP_sha256(), nullptr));
}

DigestStream::~DigestStream() = default;
DigestStream::DigestStream(DigestStream&&) noexcept = default;
DigestStream& DigestStream::operator=(DigestStream&&) noexcept = default;

void DigestStream::Update(std::string_view bytes) {
  ThrowOnFailure(
      EVP_DigestUpdate(m_context->handle.get(), bytes.data(), bytes.size()));
}

Digest DigestStream::Finish() {
  Digest digest{};
  unsigned int size = kDigestBytes;
  ThrowOnFailure(
      EVP_DigestFinal_ex(m_context->handle.get(), digest.data(), &size));
  return digest;
}

Digest Sha256(std::string_view bytes) {
  DigestStream stream;
  stream.Update(bytes);
  return stream.Finish();
}

std::string ToText(const Digest& digest) {
  std::string text(kPrefix);
  text.reserve(kPrefix.size() + 2 * kDigestBytes);
  for (const std::uint8_t byte : digest) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xfU];
  }
  return text;
}

std::optional<Digest> ParseDigest(std::string_view text) {
  if (!text.starts_with(kPrefix) ||
      text.size() != kPrefix.size() + 2 * kDigestBytes) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  Digest digest{};
  for (std::size_t i = 0; i < kDigestBytes; ++i) {
    const std::size_t high = kHexDigits.find(text[2 * i]);
    const std::size_t low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::uint8_t>(high * kHexDigits.size() + low);
  }
  return digest;
}

}  // namespace radishrudder::weights
