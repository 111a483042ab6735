#ifndef TESTS_STAGING_SIMULATED_PIECES_H_
#define TESTS_STAGING_SIMULATED_PIECES_H_

#include <cstdint>
#include <string>

namespace radishrudder::staging {

constexpr char kSimulatedModel[] = "draft";
// Each simulated version has this many pieces of this size.
constexpr std::uint32_t kSimulatedPieces = 16;
constexpr std::uint32_t kSimulatedPieceBytes = 1024;

inline std::string MakePiece(std::uint64_t version, std::uint32_t index) {
  std::string piece =
      std::to_string(version) + "/" + std::to_string(index) + "/";
  piece.resize(kSimulatedPieceBytes, 'x');
  return piece;
}

}  // namespace radishrudder::staging

#endif  // TESTS_STAGING_SIMULATED_PIECES_H_
