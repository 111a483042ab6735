#include "file_verifier.h"

#include <string_view>

namespace radishrudder::weights {

FileVerification FileVerifier::Advance(const Manifest& manifest,
                                       const ChunkStore& store,
                                       std::uint64_t maximum_bytes) {
  std::uint64_t read = 0;
  while (m_state == FileVerification::kPending &&
         m_next < manifest.chunks.size() && read < maximum_bytes) {
    const std::string_view bytes = store.Find(manifest.chunks[m_next].digest);
    if (bytes.empty()) {
      return m_state;
    }
    m_stream.Update(bytes);
    read += bytes.size();
    ++m_next;
  }
  if (m_state == FileVerification::kPending &&
      m_next == manifest.chunks.size()) {
    const bool matches =
        !manifest.file_digest || m_stream.Finish() == *manifest.file_digest;
    m_state =
        matches ? FileVerification::kVerified : FileVerification::kMismatch;
  }
  return m_state;
}

}  // namespace radishrudder::weights
