#ifndef RADISHRUDDER_STAGING_STAGER_H_
#define RADISHRUDDER_STAGING_STAGER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/manifest.h"
#include "radishrudder/weights/transfer.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::staging {

// A model version, identified by the number that the operator assigned.
struct VersionId {
  std::string model{};
  std::uint64_t number = 0;

  auto operator<=>(const VersionId&) const = default;
};

// The origin's list of a version's pieces. All pieces have the same size.
struct PieceList {
  std::uint32_t piece_bytes = 0;
  std::vector<weights::Digest> digests{};
};

struct StagerSettings {
  weights::TransferSettings transfer{};
  // Endpoints that run an older version load a newly declared one in turn. The
  // turns are spread over the time from `first_turn_delay` to `last_turn_delay`
  // after the declaration.
  std::chrono::milliseconds first_turn_delay{2600};
  std::chrono::milliseconds last_turn_delay{6200};
  // Maximum time between the read that verified a staged piece and the order to
  // load it.
  std::chrono::milliseconds verification_lifetime{2000};
};

// Status reported by the local endpoint.
struct EndpointReport {
  bool reachable = false;
  std::uint64_t started_at_ms =
      0;  // Start time in Unix milliseconds; 0: unknown.
  std::string model{};
  std::uint64_t version = 0;          // 0: no model is completely loaded.
  bool busy = false;                  // A load order is in progress.
  std::uint64_t accepted_orders = 0;  // Load orders accepted since the start.
  // Calls. Staging uses neither these nor the following members.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double pace = 1;  // Time that work takes, relative to the usual time.
  std::uint64_t cache_used = 0;
  std::uint64_t cache_total = 0;
};

enum class OrderResult {
  kStarted,
  kAlreadyLoaded,
  kPreconditionFailed,
  kFailed,
  kNoResponse,  // The endpoint may have accepted the order.
  kNotSent      // The connection had ended; no byte was sent.
};

enum class StageResult {
  kStored,
  kRefused,
  kNoResponse  // The endpoint may store the piece, also later.
};

// Numbers of accesses to the staging area and of connections for orders. Each
// is used once.
using AccessId = std::uint64_t;
using OrderConnectionId = std::uint64_t;

// Requests the list of a version's pieces from the origin.
struct FetchPieceList {
  VersionId version{};
};
// Requests one piece from the origin.
struct FetchPiece {
  VersionId version{};
  std::uint32_t index = 0;
};
// Writes a piece to the endpoint's staging area.
struct StagePiece {
  VersionId version{};
  std::uint32_t index = 0;
  std::string bytes{};
  AccessId access = 0;
};
// Reads a piece back from the endpoint's staging area.
struct ReadStagedPiece {
  VersionId version{};
  std::uint32_t index = 0;
  AccessId access = 0;
};
// Requests a report from the endpoint.
struct RequestReport {};
// Reserves a connection to the endpoint for the next order, in place of the one
// before. An order that is sent on it reaches only the process to which it was
// opened, so that what was read and reported since then is true of the process
// that executes the order.
struct OpenOrderConnection {
  OrderConnectionId connection = 0;
  // Whether one that other requests have used will do: an endpoint with many
  // calls may refuse new ones.
  bool may_be_reused = false;
};
// Orders the endpoint to load the staged pieces. Sent on `connection` or not at
// all.
struct OrderLoad {
  VersionId version{};
  // The endpoint refuses the order if the number of orders that it accepted
  // differs.
  std::uint64_t expected_orders = 0;
  OrderConnectionId connection = 0;
};
// Another instance has a version that is newer than the declared one, so this
// instance has probably missed a declaration.
struct NewerVersionSeen {
  VersionId version{};
};
// What the stager knows of the endpoint and its staging area.
struct StagingFacts {
  // As last reported: start of the endpoint's process in Unix milliseconds, and
  // load orders that it accepted since then.
  std::uint64_t process_started_at_ms = 0;
  std::uint64_t accepted_orders = 0;
  std::size_t verified_pieces = 0;
  std::size_t unanswered_accesses = 0;  // Writes and reads.
  // Time since the earliest of the reads that verified the pieces was sent.
  std::optional<std::chrono::milliseconds> verification_age{};
  // Time since the latest order was sent, if its effect is not known yet.
  std::optional<std::chrono::milliseconds> order_age{};
};
// A state change to be logged.
struct ProgressReport {
  enum class Kind {
    kDeclared,
    kListReceived,
    kPieceRejected,
    kComplete,
    kStaged,
    kStagedPieceCorrupted,
    kOrdered,
    kOrderRefused,
    kOrderAnswered,
    kTargetChanged,
    kRunning,
    kEndpointRestarted
  };
  Kind kind = Kind::kDeclared;
  VersionId version{};
  std::string detail{};
  // Set for orders, changes of the target and restarts of the endpoint.
  std::optional<StagingFacts> facts{};
};

using StagerOutput = std::variant<wire::Send,
                                  FetchPieceList,
                                  FetchPiece,
                                  StagePiece,
                                  ReadStagedPiece,
                                  RequestReport,
                                  OpenOrderConnection,
                                  OrderLoad,
                                  NewerVersionSeen,
                                  ProgressReport>;

// Deploys the declared version to the local endpoint: obtains the pieces
// together with the other instances, stages and verifies them, and orders the
// endpoint to load them when its turn has come. The state machine uses no
// sockets, threads or clocks.
class Stager {
 public:
  Stager(StagerSettings settings, kernel::Random random, kernel::Time now);
  ~Stager();

  // Changes when the turns of endpoints start, see `StagerSettings`.
  void SetTurnDelays(std::chrono::milliseconds first,
                     std::chrono::milliseconds last);
  // Ignores a version whose number is not higher than that of the current one,
  // and other models. `newly_declared` means that the other instances receive
  // the declaration at the same time.
  void OnVersionDeclared(kernel::Time now,
                         const VersionId& version,
                         bool newly_declared);
  // Sets the instances of the same service. The list may include this instance.
  void OnPeers(kernel::Time now, std::vector<weights::TransferPeer> peers);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  // Results of the outputs. A missing list or empty bytes mean failure.
  void OnPieceList(kernel::Time now,
                   const VersionId& version,
                   std::optional<PieceList> list);
  void OnPiece(kernel::Time now,
               const VersionId& version,
               std::uint32_t index,
               std::string bytes);
  void OnPieceStaged(kernel::Time now, AccessId access, StageResult result);
  void OnStagedPieceRead(kernel::Time now, AccessId access, std::string bytes);
  // The connection for an order is open, or it could not be opened or ended.
  void OnOrderConnection(kernel::Time now,
                         OrderConnectionId connection,
                         bool open);
  void OnReport(kernel::Time now, const EndpointReport& report);
  // `connection`: that of the order.
  void OnOrderResult(kernel::Time now,
                     OrderConnectionId connection,
                     OrderResult result);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<StagerOutput> TakeOutputs();

  // Describes the deployment state and what the instance is waiting for.
  std::string Explain(kernel::Time now) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::staging

#endif  // RADISHRUDDER_STAGING_STAGER_H_
