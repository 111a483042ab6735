#include "radishrudder/calls/answer_assembler.h"

#include <utility>

namespace radishrudder::calls {

void AnswerAssembler::OnHead(const wire::AttemptHead& head) {
  if (!m_head) {
    m_head = head;
  }
}

void AnswerAssembler::OnPart(const wire::AttemptPart& part) {
  m_any_part = true;
  if (part.sequence() < m_next) {
    return;
  }
  const auto [place, added] = m_parts.emplace(part.sequence(), part.data());
  if (added) {
    m_held_bytes += place->second.size();
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
  const bool whole_and_empty = m_end &&
                               m_end->outcome() == wire::OUTCOME_ANSWERED &&
                               m_end->parts() == 0;
  if (!m_parts.contains(0) && !whole_and_empty) {
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
  for (auto next = m_parts.find(m_next); next != m_parts.end();
       next = m_parts.find(m_next)) {
    m_held_bytes -= next->second.size();
    parts.push_back(std::move(next->second));
    m_parts.erase(next);
    ++m_next;
  }
  return parts;
}

bool AnswerAssembler::IsWhole() const {
  return m_head_taken && m_end && m_end->outcome() == wire::OUTCOME_ANSWERED &&
         m_next == m_end->parts();
}

}  // namespace radishrudder::calls
