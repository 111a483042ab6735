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

// A version of a model as the operator numbers it.
struct VersionName {
  std::string model{};
  std::uint64_t number = 0;

  auto operator<=>(const VersionName&) const = default;
};

// The pieces of a version, as the origin lists them.
struct PieceList {
  std::uint32_t piece_bytes = 0;
  std::vector<weights::Digest> digests{};
};

struct StagerSettings {
  weights::TransferSettings transfer{};
  // From the declaration of a version, endpoints that run an older one change
  // one after the other from `turn_begin` to `turn_end`.
  std::chrono::milliseconds turn_begin{2600};
  std::chrono::milliseconds turn_end{6200};
  // Staged pieces were checked at most so long before the order.
  std::chrono::milliseconds check_lifetime{2000};
};

// What the endpoint beside this process says of itself.
struct EndpointReport {
  bool reachable = false;
  std::uint64_t started = 0;  // Unix milliseconds; 0: not stated.
  std::string model{};
  std::uint64_t version = 0;  // Of all its layers; 0: it holds no whole model.
  bool busy = false;          // An order is being carried out.
  std::uint64_t orders = 0;   // Accepted since its start.
};

enum class OrderResult { kBegun, kInEffect, kUnfit, kFailed, kUnanswered };

// Read the list of a version's pieces from the origin.
struct FetchPieceList {
  VersionName version{};
};
struct FetchPiece {
  VersionName version{};
  std::uint32_t index = 0;
};
// Put a piece into the endpoint's staging area.
struct StagePiece {
  VersionName version{};
  std::uint32_t index = 0;
  std::string bytes{};
};
struct ReadStaged {
  VersionName version{};
  std::uint32_t index = 0;
};
struct AskReport {};
// Order the endpoint to load what is staged.
struct OrderLoad {
  VersionName version{};
  std::uint64_t expected_orders = 0;  // Refused if it accepted others since.
};
// One decision, for the log.
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

// Brings the declared version to the endpoint beside it: gets its pieces with
// the other instances, stages and checks them, and orders the endpoint to load
// them when its turn has come. State machine without sockets, threads or
// clocks.
class Stager {
 public:
  Stager(StagerSettings settings, kernel::Random random, kernel::Time now);
  ~Stager();

  // The highest number declared counts; lower ones are ignored. `just_now`:
  // the other instances hear of it in this moment too.
  void OnDeclared(kernel::Time now, const VersionName& version, bool just_now);
  // The instances of the same service, this one included or not.
  void OnPeers(kernel::Time now, std::vector<weights::TransferPeer> peers);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  // Results; nothing, or empty bytes, means failure.
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

  // Says in words what this instance waits for and why.
  std::string Explain(kernel::Time now) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::staging

#endif  // RADISHRUDDER_STAGING_STAGER_H_
