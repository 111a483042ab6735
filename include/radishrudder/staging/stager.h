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
struct VersionName {
  std::string model{};
  std::uint64_t number = 0;

  auto operator<=>(const VersionName&) const = default;
};

// The origin's list of a version's pieces. All pieces have the same size.
struct PieceList {
  std::uint32_t piece_bytes = 0;
  std::vector<weights::Digest> digests{};
};

struct StagerSettings {
  weights::TransferSettings transfer{};
  // Endpoints that run an older version load a newly declared one in turn. The
  // turns are spread over the time from `turn_begin` to `turn_end` after the
  // declaration.
  std::chrono::milliseconds turn_begin{2600};
  std::chrono::milliseconds turn_end{6200};
  // Maximum age of the verification of the staged pieces when the endpoint is
  // ordered to load them.
  std::chrono::milliseconds verification_lifetime{2000};
};

// Status reported by the local endpoint.
struct EndpointReport {
  bool reachable = false;
  std::uint64_t started = 0;  // Start time in Unix milliseconds; 0: unknown.
  std::string model{};
  std::uint64_t version = 0;  // 0: no model is completely loaded.
  bool busy = false;          // A load order is in progress.
  std::uint64_t orders = 0;   // Load orders accepted since the start.
};

enum class OrderResult { kBegun, kInEffect, kUnfit, kFailed, kUnanswered };

// Requests the list of a version's pieces from the origin.
struct FetchPieceList {
  VersionName version{};
};
// Requests one piece from the origin.
struct FetchPiece {
  VersionName version{};
  std::uint32_t index = 0;
};
// Writes a piece to the endpoint's staging area.
struct StagePiece {
  VersionName version{};
  std::uint32_t index = 0;
  std::string bytes{};
};
// Reads a piece back from the endpoint's staging area.
struct ReadStaged {
  VersionName version{};
  std::uint32_t index = 0;
};
// Requests a report from the endpoint.
struct AskReport {};
// Orders the endpoint to load the staged pieces.
struct OrderLoad {
  VersionName version{};
  // The endpoint refuses the order if the number of orders that it accepted
  // differs.
  std::uint64_t expected_orders = 0;
};
// A state change to be logged.
struct Progress {
  enum class Kind {
    kDeclared,
    kListKnown,
    kPieceRejected,
    kComplete,
    kStaged,
    kRepaired,
    kOrdered,
    kOrderRefused,
    kRunning,
    kEndpointRestarted
  };
  Kind kind = Kind::kDeclared;
  VersionName version{};
  std::string detail{};
};

using StagerOutput = std::variant<wire::Send,
                                  FetchPieceList,
                                  FetchPiece,
                                  StagePiece,
                                  ReadStaged,
                                  AskReport,
                                  OrderLoad,
                                  Progress>;

// Deploys the declared version to the local endpoint: obtains the pieces
// together with the other instances, stages and verifies them, and orders the
// endpoint to load them when its turn has come. The state machine uses no
// sockets, threads or clocks.
class Stager {
 public:
  Stager(StagerSettings settings, kernel::Random random, kernel::Time now);
  ~Stager();

  // Ignores a version whose number is not higher than that of the current one,
  // and other models. `just_now` means that the other instances receive
  // the declaration at the same time.
  void OnDeclared(kernel::Time now, const VersionName& version, bool just_now);
  // Sets the instances of the same service. The list may include this instance.
  void OnPeers(kernel::Time now, std::vector<weights::TransferPeer> peers);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  // Results of the outputs. A missing list or empty bytes mean failure.
  void OnPieceList(kernel::Time now,
                   const VersionName& version,
                   std::optional<PieceList> list);
  void OnPiece(kernel::Time now,
               const VersionName& version,
               std::uint32_t index,
               std::string bytes);
  void OnStaged(kernel::Time now,
                const VersionName& version,
                std::uint32_t index,
                bool stored);
  void OnStagedRead(kernel::Time now,
                    const VersionName& version,
                    std::uint32_t index,
                    std::string bytes);
  void OnReport(kernel::Time now, const EndpointReport& report);
  void OnOrderResult(kernel::Time now, OrderResult result);
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
