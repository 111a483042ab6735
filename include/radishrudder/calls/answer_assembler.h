#ifndef RADISHRUDDER_CALLS_ANSWER_ASSEMBLER_H_
#define RADISHRUDDER_CALLS_ANSWER_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::calls {

// Reassembles the answer to one attempt from its messages, which may arrive
// reordered and duplicated.
class AnswerAssembler {
 public:
  void OnHead(const wire::AttemptHead& head);
  void OnPart(const wire::AttemptPart& part);
  void OnEnd(const wire::AttemptEnd& end);

  // Returns the head once, as soon as the first part has arrived or the answer
  // is known to be empty.
  std::optional<wire::AttemptHead> TakeHead();
  // Returns the next consecutive parts; none before the head has been taken.
  std::vector<std::string> TakeParts();

  // Whether all parts of the answer have been taken and its end has arrived.
  bool IsComplete() const;
  // The end message, if it has arrived.
  const std::optional<wire::AttemptEnd>& End() const { return m_end; }
  // Whether the head or any part of an answer has arrived.
  bool HasReceivedData() const {
    return m_head.has_value() || m_has_received_part;
  }
  bool IsHeadTaken() const { return m_head_taken; }
  // Whether the buffered parts exceed the limit.
  bool HasOverflowed() const {
    return m_buffered_bytes > kMaximumBufferedBytes;
  }

 private:
  static constexpr std::size_t kMaximumBufferedBytes = 4U << 20U;

  std::optional<wire::AttemptHead> m_head;
  std::optional<wire::AttemptEnd> m_end;
  std::map<std::uint64_t, std::string> m_buffered_parts;  // Not yet taken.
  std::uint64_t m_next_sequence = 0;
  std::size_t m_buffered_bytes = 0;
  bool m_head_taken = false;
  bool m_has_received_part = false;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ANSWER_ASSEMBLER_H_
