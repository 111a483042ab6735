#ifndef SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_
#define SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::staging {

// What is known of the pieces in the endpoint's staging area, and which writes
// and reads are in progress.
class StageArea {
 public:
  enum class Piece { kMissing, kWriting, kWritten, kReading, kChecked };

  // Begins anew with that many pieces, none of them known to be there.
  void Reset(std::size_t pieces);
  std::size_t Size() const { return m_pieces.size(); }
  Piece At(std::uint32_t index) const { return m_pieces[index]; }
  void Set(std::uint32_t index, Piece piece);
  // Writes and reads in progress.
  std::size_t InProgress() const { return m_in_progress; }
  // Every piece was written, whether checked or not.
  bool AllWritten() const;
  bool AllChecked() const;
  // Forgets all checks; a new round begins now.
  void BeginCheck(kernel::Time now);
  // When the check round that is in progress or done began.
  std::optional<kernel::Time> CheckBegan() const { return m_check_began; }
  // Pieces that are not known to be right count as missing.
  void ForgetUnchecked();
  // Returns the first piece in that state.
  std::optional<std::uint32_t> Next(Piece piece) const;

 private:
  static bool IsInProgress(Piece piece) {
    return piece == Piece::kWriting || piece == Piece::kReading;
  }

  std::vector<Piece> m_pieces;
  std::size_t m_in_progress = 0;
  std::optional<kernel::Time> m_check_began;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_
