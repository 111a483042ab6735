#include "whole_check.h"

#include <string_view>

namespace radishrudder::weights {

WholeState WholeCheck::Advance(const Manifest& manifest,
                               const ChunkStore& store,
                               std::uint64_t maximum_bytes) {
  std::uint64_t read = 0;
  while (m_state == WholeState::kPending && m_next < manifest.chunks.size() &&
         read < maximum_bytes) {
    const std::string_view bytes = store.Find(manifest.chunks[m_next].digest);
    if (bytes.empty()) {
      return m_state;
    }
    m_stream.Update(bytes);
    read += bytes.size();
    ++m_next;
  }
  if (m_state == WholeState::kPending && m_next == manifest.chunks.size()) {
    const bool whole = !manifest.whole || m_stream.Finish() == *manifest.whole;
    m_state = whole ? WholeState::kVerified : WholeState::kWrong;
  }
  return m_state;
}

}  // namespace radishrudder::weights
