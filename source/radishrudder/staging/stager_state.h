#ifndef SOURCE_RADISHRUDDER_STAGING_STAGER_STATE_H_
#define SOURCE_RADISHRUDDER_STAGING_STAGER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/staging/stager.h"
#include "source/radishrudder/staging/stage_area.h"

namespace radishrudder::staging {

// Name of a version's file in its manifest, and back.
std::string FileOf(const VersionName& version);
std::optional<VersionName> VersionOf(std::string_view file);
weights::Manifest ManifestOf(const VersionName& version, const PieceList& list);

// A version that was declared, and how far it has come here.
struct DeclaredVersion {
  VersionName name{};
  kernel::Time declared_at{};
  bool just_declared = false;
  std::optional<weights::Manifest> manifest{};
  std::string manifest_text{};
  std::string manifest_digest{};
  bool list_asked = false;
  kernel::Time next_list{};
  std::uint32_t rejections = 0;
  bool wanted = false;  // The transfer knows of it.
  // Pieces read from the own staging area before that, by index.
  std::map<std::uint32_t, std::string> own_pieces{};
  bool complete = false;  // All pieces are here.

  const weights::Digest& DigestOf(std::uint32_t index) const {
    return manifest->chunks[index].digest;
  }
};

struct Stager::State {
  enum class Phase { kStaging, kWaitingForTurn, kChecking, kOrdered, kLoading };

  State(StagerSettings given, kernel::Random source, kernel::Time now)
      : settings(std::move(given)),
        random(source),
        transfer(settings.transfer, kernel::Random(random.Next()), now) {}

  // What can go on at this moment.
  void Advance(kernel::Time now);
  void AskReportIfDue(kernel::Time now);
  void SeekList(kernel::Time now);
  // Returns whether the transfer knows of the newest version, so that pieces
  // may be staged.
  bool WantNewest(kernel::Time now);
  // Returns whether the newest version is still to be brought into force.
  bool AdvanceNewest(kernel::Time now);
  void ChooseAim(kernel::Time now);
  bool InterimIsDue(kernel::Time now) const;
  void AimAt(DeclaredVersion& version, bool is_interim);
  void ExpireOrder(kernel::Time now);
  void StageAndOrder(kernel::Time now);
  void ReadOwnStage();
  void Stage();
  void Check();

  void Supersede();
  void AdoptList(const weights::Manifest& list);
  void ForwardList();
  void TakeTransferOutputs(kernel::Time now);
  void OnRejected(kernel::Time now, const weights::ChunkRejected& rejected);

  std::vector<std::string> OrderOfInstances(const VersionName& version) const;
  std::size_t RankOfSelf(const VersionName& version) const;
  // When this endpoint's turn comes in the time from `begin` to `end` after
  // the declaration.
  kernel::Time TurnOf(const DeclaredVersion& version,
                      std::chrono::milliseconds begin,
                      std::chrono::milliseconds end) const;
  bool Runs(const DeclaredVersion& version) const;
  bool RunsNewest() const { return newest && Runs(*newest); }
  DeclaredVersion* Find(const VersionName& version);
  DeclaredVersion* FindDigest(std::string_view manifest_digest);
  // The version whose pieces the staging area is to hold.
  DeclaredVersion& Aim() { return aims_at_interim ? *interim : *newest; }
  void Tell(Progress::Kind kind,
            const DeclaredVersion& version,
            std::string detail = {});

  StagerSettings settings;
  kernel::Random random;
  weights::Transfer transfer;
  std::vector<StagerOutput> outputs;
  std::vector<weights::TransferPeer> peers;

  std::optional<DeclaredVersion> newest;
  // One declared before the newest that is not in force here, and that serves
  // if the newest does not come in time.
  std::optional<DeclaredVersion> interim;
  bool aims_at_interim = false;
  bool interim_done = false;

  StageArea area;
  Phase phase = Phase::kStaging;
  kernel::Time phase_began{};
  kernel::Time retry_order_at{};
  kernel::Time last_tick{};
  std::optional<EndpointReport> report;
  bool report_asked = false;
  kernel::Time next_report{};
  bool told_running = false;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_STAGER_STATE_H_
