#ifndef SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_
#define SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::staging {

// Tracks the state of each piece in the endpoint's staging area, and the writes
// and reads in progress.
class StageArea {
 public:
  enum class PieceState { kMissing, kWriting, kWritten, kReading, kVerified };

  // Sets the number of pieces and marks all of them as missing.
  void Reset(std::size_t pieces);
  std::size_t Size() const { return m_pieces.size(); }
  PieceState At(std::uint32_t index) const { return m_pieces[index]; }
  void Set(std::uint32_t index, PieceState state);
  // Returns the number of writes and reads in progress.
  std::size_t AccessesInProgress() const { return m_accesses_in_progress; }
  // Returns whether every piece was written, verified or not; false if there
  // are no pieces.
  bool AllWritten() const;
  bool AllVerified() const;
  std::size_t VerifiedCount() const;
  // Starts a new verification: verified pieces become unverified.
  void StartVerification(kernel::Time now);
  // Returns when the latest verification started.
  std::optional<kernel::Time> VerificationStarted() const {
    return m_verification_started;
  }
  // Marks written but unverified pieces as missing.
  void DiscardUnverified();
  // Returns the index of the first piece in `state`.
  std::optional<std::uint32_t> FindFirst(PieceState state) const;

 private:
  static bool IsInProgress(PieceState state) {
    return state == PieceState::kWriting || state == PieceState::kReading;
  }

  std::vector<PieceState> m_pieces;
  std::size_t m_accesses_in_progress = 0;
  std::optional<kernel::Time> m_verification_started;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_
