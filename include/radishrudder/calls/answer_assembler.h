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

// Puts the messages of one attempt's answer in order, whatever the order and
// the number of copies in which they arrive.
class AnswerAssembler {
 public:
  void OnHead(const wire::AttemptHead& head);
  void OnPart(const wire::AttemptPart& part);
  void OnEnd(const wire::AttemptEnd& end);

  // Returns the head once, as soon as data or the end can follow it.
  std::optional<wire::AttemptHead> TakeHead();
  // Returns the parts that follow those returned before; none before the head
  // was taken.
  std::vector<std::string> TakeParts();

  // Whether every byte of the answer has been taken and its end has arrived.
  bool IsWhole() const;
  // The end mark, if it has arrived.
  const std::optional<wire::AttemptEnd>& End() const { return m_end; }
  // Whether any byte of an answer has arrived.
  bool HasAnswer() const { return m_head.has_value() || m_any_part; }
  bool HeadTaken() const { return m_head_taken; }
  // Whether more is held out of order than may be.
  bool Overflowed() const { return m_held_bytes > kMaximumHeldBytes; }

 private:
  static constexpr std::size_t kMaximumHeldBytes = 4U << 20U;

  std::optional<wire::AttemptHead> m_head;
  std::optional<wire::AttemptEnd> m_end;
  std::map<std::uint64_t, std::string> m_parts;  // Not yet taken.
  std::uint64_t m_next = 0;
  std::size_t m_held_bytes = 0;
  bool m_head_taken = false;
  bool m_any_part = false;
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_ANSWER_ASSEMBLER_H_
