#include "radishrudder/calls/answer_assembler.h"

#include <utility>

namespace radishrudder::calls {

void AnswerAssembler::OnHead(const wire::AttemptHead& head) {
  if (!m_head) {
    m_head = head;
  }
}

void AnswerAssembler::OnPart(const wire::AttemptPart& part) {
  m_has_received_part = true;
  if (part.sequence() < m_next_sequence) {
    return;
  }
  const auto [position, added] =
      m_buffered_parts.emplace(part.sequence(), part.data());
  if (added) {
    m_buffered_bytes += position->second.size();
  }
}

void AnswerAssembler::OnEnd(const wire::AttemptEnd& end) {
  if (!m_end) {
    m_end = end;
  }
}

std::optional<wire::AttemptHead> AnswerAssembler::TakeHead() {
  if (!m_head || m_head_taken) {
    return std::nullopt;
  }
  const bool is_empty_answer = m_end &&
                               m_end->outcome() == wire::OUTCOME_ANSWERED &&
                               m_end->parts() == 0;
  if (!m_buffered_parts.contains(0) && !is_empty_answer) {
    return std::nullopt;
  }
  m_head_taken = true;
  return m_head;
}

std::vector<std::string> AnswerAssembler::TakeParts() {
  std::vector<std::string> parts;
  if (!m_head_taken) {
    return parts;
  }
  for (auto next = m_buffered_parts.find(m_next_sequence);
       next != m_buffered_parts.end();
       next = m_buffered_parts.find(m_next_sequence)) {
    m_buffered_bytes -= next->second.size();
    parts.push_back(std::move(next->second));
    m_buffered_parts.erase(next);
    ++m_next_sequence;
  }
  return parts;
}

bool AnswerAssembler::IsComplete() const {
  return m_head_taken && m_end && m_end->outcome() == wire::OUTCOME_ANSWERED &&
         m_next_sequence == m_end->parts();
}

}  // namespace radishrudder::calls
