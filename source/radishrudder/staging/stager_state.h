#ifndef SOURCE_RADISHRUDDER_STAGING_STAGER_STATE_H_
#define SOURCE_RADISHRUDDER_STAGING_STAGER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/staging/stager.h"
#include "source/radishrudder/staging/list_search.h"
#include "source/radishrudder/staging/pending_effects.h"
#include "source/radishrudder/staging/stage_area.h"

namespace radishrudder::staging {

// Converts between a version and the file name in its manifest.
std::string ManifestFileName(const VersionId& version);
std::optional<VersionId> ParseManifestFileName(std::string_view file);
weights::Manifest BuildManifest(const VersionId& version,
                                const PieceList& list);

// An order that the endpoint may have accepted or may still accept.
struct SentOrder {
  std::string manifest_digest{};
  OrderConnectionId connection = 0;
  std::uint64_t expected_orders = 0;
  kernel::Time sent{};
  // A response on a connection that was reused may belong to an earlier
  // request, so only a report shows that the order was accepted.
  bool may_be_reused = false;
  bool accepted = false;
};

// A connection that is reserved for an order.
struct OrderConnection {
  OrderConnectionId id = 0;
  // What is read and reported after the connection was opened comes from the
  // process that receives the order.
  std::optional<kernel::Time> opened{};
  bool may_be_reused = false;
};

// A declared version and the progress of its transfer on this instance.
struct DeclaredVersion {
  VersionId name{};
  kernel::Time declared_at{};
  bool newly_declared = false;
  std::optional<weights::Manifest> manifest{};
  std::string manifest_text{};
  std::string manifest_digest{};
  std::uint32_t origin_rejections = 0;
  bool transfer_started = false;
  // Verified pieces read from the local staging area before the transfer
  // starts, by index.
  std::map<std::uint32_t, std::string> local_pieces{};
  bool complete = false;  // This instance has all pieces.
  // When all pieces were first in the local staging area.
  std::optional<kernel::Time> staged_at{};

  const weights::Digest& DigestOf(std::uint32_t index) const {
    return manifest->chunks[index].digest;
  }
};

struct Stager::State {
  enum class Phase {
    kStaging,
    kWaitingForTurn,
    kVerifying,
    kOrdered,
    kLoading
  };

  State(StagerSettings initial_settings,
        kernel::Random initial_random,
        kernel::Time now)
      : settings(std::move(initial_settings)),
        random(initial_random),
        transfer(settings.transfer, kernel::Random(random.Next()), now),
        list_search(settings.transfer.self.instance,
                    settings.transfer.region,
                    kernel::Random(random.Next())) {
    // An agent process that ran before this one may have left requests.
    pending_writes.OnGivenUp(now, now, std::nullopt);
    pending_orders.OnGivenUp(now, now, std::nullopt);
  }

  // Performs all steps that are possible at `now`.
  void Advance(kernel::Time now);
  void RequestReportIfDue(kernel::Time now);
  void RequestListIfDue(kernel::Time now);
  // Handles a piece list that another instance passed on.
  void OnListMessage(kernel::Time now, const wire::Envelope& message);
  // Handles another instance's request for a piece list.
  void OnListRequest(kernel::Time now, const wire::Envelope& message);
  void NoteNewerVersion(kernel::Time now, const VersionId& version);
  // Starts the transfer of the newest version once the pieces in the local
  // staging area were read. Returns whether the transfer has started.
  bool StartTransfer(kernel::Time now);
  // Returns whether the newest version is in transfer and the endpoint does not
  // run it yet.
  bool AdvanceDeployment(kernel::Time now);
  void SelectTarget(kernel::Time now);
  bool IsInterimDue(kernel::Time now) const;
  // Assigns the staging area to the target.
  void AssignStagingArea(kernel::Time now);
  bool HoldsTarget() {
    return staging_area.ManifestDigest() == Target().manifest_digest;
  }
  void ExpireOrder(kernel::Time now);
  void StageAndOrder(kernel::Time now);
  void ReadLocalPieces(kernel::Time now);
  void StagePieces(kernel::Time now);
  // Verifies the staged pieces on the process to which the order connection is
  // open. Returns whether all of them are verified.
  bool VerifyPieces(kernel::Time now);
  void SendOrder(kernel::Time now);
  void CloseOrderConnection() { order_connection.reset(); }
  // Notes what a report says of the latest order, and of requests that were
  // given up.
  void UpdatePending(kernel::Time now);
  // Stops waiting for the effect of the latest order.
  void GiveUpOrder(kernel::Time now);
  void OnEndpointRestarted(kernel::Time now, const EndpointReport& next);

  void SupersedeNewest();
  void AdoptList(const weights::Manifest& list, bool from_origin);
  void SendList(const std::string& instance, const weights::Manifest& list);
  void TakeTransferOutputs(kernel::Time now);
  void OnChunkRejected(kernel::Time now,
                       const weights::ChunkRejected& rejected);

  // Returns when the local endpoint's turn starts. The turns are spread over
  // the time from `begin` to `end` after the declaration, or from when the
  // version was staged if that was later.
  kernel::Time TurnStart(const DeclaredVersion& version,
                         std::chrono::milliseconds begin,
                         std::chrono::milliseconds end) const;
  bool IsRunning(const DeclaredVersion& version) const;
  bool IsRunningNewest() const { return newest && IsRunning(*newest); }
  DeclaredVersion* FindVersion(const VersionId& version);
  DeclaredVersion* FindByManifestDigest(std::string_view manifest_digest);
  // Returns the version to be staged.
  DeclaredVersion& Target() { return targets_interim ? *interim : *newest; }
  void ReportProgress(ProgressReport::Kind kind,
                      const DeclaredVersion& version,
                      std::string detail = {});
  // Like `ReportProgress`, with what is known of the staging area.
  void ReportStaging(kernel::Time now,
                     ProgressReport::Kind kind,
                     const DeclaredVersion& version,
                     std::string detail = {});

  StagerSettings settings;
  kernel::Random random;
  weights::Transfer transfer;
  ListSearch list_search;
  std::vector<StagerOutput> outputs;
  std::size_t peer_count = 0;
  // List of a version that this instance has not read the declaration of yet.
  std::optional<weights::Manifest> early_list;
  // The newest version of which another instance told, and when it did.
  std::uint64_t newest_number_seen = 0;
  kernel::Time newest_seen_at{};
  // Digest of a list that does not match the origin's pieces.
  std::string rejected_list;

  std::optional<DeclaredVersion> newest;
  // A superseded version that the endpoint does not run. It is loaded if the
  // newest version does not arrive in time.
  std::optional<DeclaredVersion> interim;
  bool targets_interim = false;
  bool interim_finished = false;

  StageArea staging_area;
  PendingEffects pending_writes;
  PendingEffects pending_orders;
  std::optional<SentOrder> order;
  std::optional<OrderConnection> order_connection;
  OrderConnectionId last_order_connection = 0;
  kernel::Time next_order_connection{};
  std::uint32_t order_connection_failures = 0;  // Since the latest order.
  Phase phase = Phase::kStaging;
  kernel::Time phase_started{};
  kernel::Time next_order_attempt{};
  kernel::Time last_tick{};
  // The latest answered report; not reachable if a later one was not answered.
  std::optional<EndpointReport> report;
  bool report_requested = false;
  // When the latest request for a report was sent, and the one that brought
  // `report`.
  kernel::Time report_request_sent{};
  kernel::Time report_sent{};
  kernel::Time next_report_request{};
  bool running_reported = false;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_STAGER_STATE_H_
