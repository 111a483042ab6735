#ifndef RADISHRUDDER_WEIGHTS_DIGEST_STREAM_H_
#define RADISHRUDDER_WEIGHTS_DIGEST_STREAM_H_

#include <memory>
#include <string_view>

#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {

// Computes the SHA-256 digest of bytes that are passed in several parts.
class DigestStream {
 public:
  DigestStream();
  ~DigestStream();
  DigestStream(DigestStream&&) noexcept;
  DigestStream& operator=(DigestStream&&) noexcept;

  void Update(std::string_view bytes);
  // Returns the digest of all bytes so far; `Update` must not be called
  // afterwards.
  Digest Finish();

 private:
  struct Context;
  std::unique_ptr<Context> m_context;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_DIGEST_STREAM_H_
