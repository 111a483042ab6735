#include "source/radishrudder/staging/stage_area.h"

#include <algorithm>

namespace radishrudder::staging {

void StageArea::Reset(std::size_t pieces) {
  m_pieces.assign(pieces, Piece::kMissing);
  m_in_progress = 0;
  m_check_began.reset();
}

void StageArea::Set(std::uint32_t index, Piece piece) {
  m_in_progress -= IsInProgress(m_pieces[index]) ? 1 : 0;
  m_in_progress += IsInProgress(piece) ? 1 : 0;
  m_pieces[index] = piece;
}

bool StageArea::AllWritten() const {
  return !m_pieces.empty() && std::ranges::all_of(m_pieces, [](Piece piece) {
    return piece != Piece::kMissing && piece != Piece::kWriting;
  });
}

bool StageArea::AllChecked() const {
  return !m_pieces.empty() && std::ranges::all_of(m_pieces, [](Piece piece) {
    return piece == Piece::kChecked;
  });
}

void StageArea::BeginCheck(kernel::Time now) {
  m_check_began = now;
  for (Piece& piece : m_pieces) {
    if (piece == Piece::kChecked) {
      piece = Piece::kWritten;
    }
  }
}

void StageArea::ForgetUnchecked() {
  for (Piece& piece : m_pieces) {
    if (piece == Piece::kWritten) {
      piece = Piece::kMissing;
    }
  }
}

std::optional<std::uint32_t> StageArea::Next(Piece piece) const {
  const auto found = std::ranges::find(m_pieces, piece);
  if (found == m_pieces.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(found - m_pieces.begin());
}

}  // namespace radishrudder::staging
