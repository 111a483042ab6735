#ifndef SOURCE_RADISHRUDDER_WEIGHTS_WHOLE_CHECK_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_WHOLE_CHECK_H_

#include <cstddef>
#include <cstdint>

#include "radishrudder/weights/chunk_store.h"
#include "radishrudder/weights/digest_stream.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {

enum class WholeState { kPending, kVerified, kWrong };

// Digest of the whole file, computed in order as its chunks arrive so that
// little is left when the last one does.
class WholeCheck {
 public:
  // Reads at most about `maximum_bytes` of the chunks that follow.
  WholeState Advance(const Manifest& manifest,
                     const ChunkStore& store,
                     std::uint64_t maximum_bytes);
  WholeState State() const { return m_state; }

 private:
  DigestStream m_stream;
  std::size_t m_next = 0;  // Index of the next chunk.
  WholeState m_state = WholeState::kPending;
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_WHOLE_CHECK_H_
