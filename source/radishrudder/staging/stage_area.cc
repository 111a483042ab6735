#include "source/radishrudder/staging/stage_area.h"

#include <algorithm>

namespace radishrudder::staging {

void StageArea::Reset(std::size_t pieces) {
  m_pieces.assign(pieces, PieceState::kMissing);
  m_accesses_in_progress = 0;
  m_verification_started.reset();
}

void StageArea::Set(std::uint32_t index, PieceState state) {
  m_accesses_in_progress -= IsInProgress(m_pieces[index]) ? 1 : 0;
  m_accesses_in_progress += IsInProgress(state) ? 1 : 0;
  m_pieces[index] = state;
}

bool StageArea::AllWritten() const {
  return !m_pieces.empty() &&
         std::ranges::all_of(m_pieces, [](PieceState state) {
           return state != PieceState::kMissing &&
                  state != PieceState::kWriting;
         });
}

bool StageArea::AllVerified() const {
  return !m_pieces.empty() &&
         std::ranges::all_of(m_pieces, [](PieceState state) {
           return state == PieceState::kVerified;
         });
}

std::size_t StageArea::VerifiedCount() const {
  return static_cast<std::size_t>(
      std::ranges::count(m_pieces, PieceState::kVerified));
}

void StageArea::StartVerification(kernel::Time now) {
  m_verification_started = now;
  for (PieceState& state : m_pieces) {
    if (state == PieceState::kVerified) {
      state = PieceState::kWritten;
    }
  }
}

void StageArea::DiscardUnverified() {
  for (PieceState& state : m_pieces) {
    if (state == PieceState::kWritten) {
      state = PieceState::kMissing;
    }
  }
}

std::optional<std::uint32_t> StageArea::FindFirst(PieceState state) const {
  const auto found = std::ranges::find(m_pieces, state);
  if (found == m_pieces.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(found - m_pieces.begin());
}

}  // namespace radishrudder::staging
