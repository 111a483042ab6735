#ifndef SOURCE_RADISHRUDDER_WEIGHTS_WHOLE_CHECK_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_WHOLE_CHECK_H_

#include <cstddef>
#include <cstdint>

#include "radishrudder/weights/chunk_store.h"
#include "radishrudder/weights/digest_stream.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {

enum class FileVerification { kPending, kVerified, kMismatch };

// Verifies the digest of the complete file. The digest is computed in file
// order while chunks arrive, so that little work remains after the last one.
class FileVerifier {
 public:
  // Processes further chunks that are present; stops after the chunk that
  // reaches `maximum_bytes`.
  FileVerification Advance(const Manifest& manifest,
                           const ChunkStore& store,
                           std::uint64_t maximum_bytes);
  FileVerification State() const { return m_state; }

 private:
  DigestStream m_stream;
  std::size_t m_next = 0;  // Index of the next chunk.
  FileVerification m_state = FileVerification::kPending;
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_WHOLE_CHECK_H_
