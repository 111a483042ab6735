#ifndef SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_
#define SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/staging/stager.h"

namespace radishrudder::staging {

// Tracks which version the endpoint's staging area holds, the state of each
// piece, and the writes and reads without a response.
//
// An access belongs to the assignment during which it started: its result says
// nothing of a later one. A write may take effect as long as it has no
// response, whatever was assigned meanwhile.
class StageArea {
 public:
  enum class PieceState { kMissing, kWriting, kWritten, kReading, kVerified };

  // Assigns the area to the version with this manifest and marks all of its
  // pieces as missing.
  void Assign(const VersionId& version,
              std::string_view manifest_digest,
              std::size_t pieces);
  // Marks all pieces as missing, for an endpoint that restarted.
  void DiscardAll();
  // Marks written but unverified pieces as missing.
  void DiscardUnverified();
  const VersionId& Version() const { return m_version; }
  // Empty: the area has not been assigned.
  const std::string& ManifestDigest() const { return m_manifest_digest; }
  std::size_t Size() const { return m_pieces.size(); }

  // Start an access to a piece and return its number.
  AccessId StartWrite(kernel::Time now, std::uint32_t index);
  AccessId StartRead(kernel::Time now, std::uint32_t index);
  // A write or read that ended.
  struct EndedAccess {
    std::uint32_t index = 0;
    std::string manifest_digest{};
    kernel::Time sent{};
    // Whether the piece still awaits this access.
    bool is_current = false;
  };
  // Ends an access. Returns nothing if its number is unknown. The caller sets
  // the state of a piece that awaited it.
  std::optional<EndedAccess> End(AccessId access);
  void Set(std::uint32_t index, PieceState state) {
    m_pieces[index].state = state;
  }

  PieceState At(std::uint32_t index) const { return m_pieces[index].state; }
  // Returns the number of pieces that await a write or a read.
  std::size_t AccessesInProgress() const;
  // Returns whether a write for another assignment has no response yet.
  bool HasForeignWrites() const;
  // Returns whether every piece was written, verified or not; false if there
  // are no pieces.
  bool AllWritten() const;
  // Returns whether every piece was verified by a read that was sent at `since`
  // or later; false if there are no pieces.
  bool AllVerifiedSince(kernel::Time since) const;
  // Returns when the earliest of the reads was sent that verified the pieces.
  std::optional<kernel::Time> VerifiedSince() const;
  std::size_t VerifiedCount() const;
  // Marks pieces as unverified that were verified by a read sent before
  // `since`.
  void ExpireVerification(kernel::Time since);
  // Returns the index of the first piece in `state`.
  std::optional<std::uint32_t> FindFirst(PieceState state) const;

 private:
  struct Piece {
    PieceState state = PieceState::kMissing;
    AccessId access = 0;  // Valid while writing or reading.
    kernel::Time read_sent{};
  };
  struct Access {
    std::uint32_t index = 0;
    std::string manifest_digest{};
    kernel::Time sent{};
    bool is_write = false;
  };

  VersionId m_version;
  std::string m_manifest_digest;
  std::vector<Piece> m_pieces;
  AccessId m_last_access = 0;
  std::map<AccessId, Access> m_accesses;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_STAGE_AREA_H_
