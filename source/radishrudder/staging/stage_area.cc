#include "source/radishrudder/staging/stage_area.h"

#include <algorithm>
#include <utility>

namespace radishrudder::staging {

void StageArea::Assign(const VersionId& version,
                       std::string_view manifest_digest,
                       std::size_t pieces) {
  m_version = version;
  m_manifest_digest = manifest_digest;
  m_pieces.assign(pieces, {});
}

void StageArea::DiscardAll() {
  m_pieces.assign(m_pieces.size(), {});
}

void StageArea::DiscardUnverified() {
  for (Piece& piece : m_pieces) {
    if (piece.state == PieceState::kWritten) {
      piece.state = PieceState::kMissing;
    }
  }
}

AccessId StageArea::StartWrite(kernel::Time now, std::uint32_t index) {
  m_accesses[++m_last_access] = {index, m_manifest_digest, now,
                                 /*is_write=*/true};
  m_pieces[index].state = PieceState::kWriting;
  m_pieces[index].access = m_last_access;
  return m_last_access;
}

AccessId StageArea::StartRead(kernel::Time now, std::uint32_t index) {
  m_accesses[++m_last_access] = {index, m_manifest_digest, now,
                                 /*is_write=*/false};
  m_pieces[index] = {PieceState::kReading, m_last_access, now};
  return m_last_access;
}

std::optional<StageArea::EndedAccess> StageArea::End(AccessId access) {
  auto node = m_accesses.extract(access);
  if (node.empty()) {
    return std::nullopt;
  }
  Access& ended = node.mapped();
  const PieceState awaited =
      ended.is_write ? PieceState::kWriting : PieceState::kReading;
  const bool is_current = ended.manifest_digest == m_manifest_digest &&
                          ended.index < m_pieces.size() &&
                          m_pieces[ended.index].state == awaited &&
                          m_pieces[ended.index].access == access;
  return EndedAccess{ended.index, std::move(ended.manifest_digest), ended.sent,
                     is_current};
}

std::size_t StageArea::AccessesInProgress() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_pieces, [](const Piece& piece) {
        return piece.state == PieceState::kWriting ||
               piece.state == PieceState::kReading;
      }));
}

bool StageArea::HasForeignWrites() const {
  return std::ranges::any_of(m_accesses, [this](const auto& entry) {
    return entry.second.is_write &&
           entry.second.manifest_digest != m_manifest_digest;
  });
}

bool StageArea::AllWritten() const {
  return !m_pieces.empty() &&
         std::ranges::all_of(m_pieces, [](const Piece& piece) {
           return piece.state != PieceState::kMissing &&
                  piece.state != PieceState::kWriting;
         });
}

bool StageArea::AllVerifiedSince(kernel::Time since) const {
  return !m_pieces.empty() &&
         std::ranges::all_of(m_pieces, [since](const Piece& piece) {
           return piece.state == PieceState::kVerified &&
                  piece.read_sent >= since;
         });
}

std::optional<kernel::Time> StageArea::VerifiedSince() const {
  std::optional<kernel::Time> earliest;
  for (const Piece& piece : m_pieces) {
    if (piece.state == PieceState::kVerified) {
      earliest = std::min(earliest.value_or(piece.read_sent), piece.read_sent);
    }
  }
  return earliest;
}

std::size_t StageArea::VerifiedCount() const {
  return static_cast<std::size_t>(
      std::ranges::count(m_pieces, PieceState::kVerified, &Piece::state));
}

void StageArea::ExpireVerification(kernel::Time since) {
  for (Piece& piece : m_pieces) {
    if (piece.state == PieceState::kVerified && piece.read_sent < since) {
      piece.state = PieceState::kWritten;
    }
  }
}

std::optional<std::uint32_t> StageArea::FindFirst(PieceState state) const {
  const auto found = std::ranges::find(m_pieces, state, &Piece::state);
  if (found == m_pieces.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(found - m_pieces.begin());
}

}  // namespace radishrudder::staging
