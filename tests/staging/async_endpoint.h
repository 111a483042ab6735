#ifndef TESTS_STAGING_ASYNC_ENDPOINT_H_
#define TESTS_STAGING_ASYNC_ENDPOINT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/staging/stager.h"
#include "tests/staging/agenda.h"
#include "tests/staging/simulated_pieces.h"

namespace radishrudder::staging {

// How long accesses take. An access that is neither slow nor late arrives
// after 1 to 6 ms and is answered after 1 to 6 ms more.
struct AccessTiming {
  // Share of the accesses that take from 50 ms to `maximum_slow_delay`
  // altogether.
  double slow_share = 0;
  std::chrono::milliseconds maximum_slow_delay{900};
  // Share of the accesses that are executed and whose answer is lost.
  double lost_answer_share = 0;
  // Share of the accesses that arrive after their requester has given up.
  double late_arrival_share = 0;
  // Share of the requests without a process to receive them that fail at once.
  // The others fail at the time limit.
  double reset_share = 0.5;
};

struct AccessDelays {
  kernel::Duration arrival{};
  kernel::Duration answer{};
  bool answer_lost = false;
};

struct Access {
  enum class Kind { kWrite, kRead, kReport, kOrder };
  Kind kind = Kind::kReport;
  std::uint64_t version = 0;
  std::uint32_t index = 0;
};

// An accepted load order, and whether the pieces that it took are those of its
// version.
struct EndpointLoad {
  enum class Pieces {
    kWhole,
    kMissing,
    kOlder,
    kNewer,
    kCorrupted,
    // Corrupted at most 3 s before. Nobody can prevent that.
    kNewlyCorrupted
  };
  bool IsAllowed() const {
    return pieces == Pieces::kWhole || pieces == Pieces::kNewlyCorrupted;
  }

  kernel::Time at{};
  std::uint64_t version = 0;
  Pieces pieces = Pieces::kWhole;
  // The first wrong piece and the last accesses to it.
  std::string description{};
};

// An endpoint with a staging area whose accesses take time, so that concurrent
// ones overtake each other. The endpoint's process may end and start again. The
// requesters give up after the agent's time limit; what they have sent may
// still arrive.
class AsyncEndpoint {
 public:
  // Returns the delays of an access instead of random ones.
  using DelayRule = std::function<std::optional<AccessDelays>(const Access&)>;

  AsyncEndpoint(Agenda& agenda,
                kernel::Random random,
                const AccessTiming& timing);

  // Requests. Each calls `done` once, with a failure if no answer arrives in
  // time.
  void Write(const StagePiece& write,
             const std::function<void(StageResult)>& done);
  void Read(const ReadStagedPiece& read,
            const std::function<void(std::string)>& done);
  void Report(const std::function<void(const EndpointReport&)>& done);
  // Opens the connection for the next order. `done` hears that it is open, and
  // that it could not be opened or ended.
  void Open(const OpenOrderConnection& open,
            const std::function<void(bool)>& done);
  void Order(const OrderLoad& order,
             const std::function<void(OrderResult)>& done);

  // Runs `version` and holds it in the staging area.
  void Install(std::uint64_t version);
  void SetTiming(const AccessTiming& timing) { m_timing = timing; }
  // Refuses connections for orders unless one in use may be taken.
  void RefuseNewConnections() { m_refuses_new_connections = true; }
  void SetDelayRule(DelayRule rule) { m_delay_rule = std::move(rule); }
  // Ends the process and starts another one after `outage`. The staged pieces
  // are kept.
  void Crash(kernel::Duration outage);
  // As `Crash`, but the staged pieces are lost.
  void LosePower(kernel::Duration outage);
  // Executes what arrives within `time` at the end of it. Connections open in
  // the meantime.
  void Suspend(kernel::Duration time);
  // Whether reports have the start time of the process.
  void SetStartTimeReported(bool reported) { m_start_reported = reported; }
  // Corrupts a piece if it is staged.
  void Corrupt(std::uint32_t index);

  std::uint64_t Version() const { return m_version; }
  const std::vector<EndpointLoad>& Loads() const { return m_loads; }

 private:
  using Answer = std::function<void()>;

  // Leads to one process. A connection that is opened while none runs leads to
  // the next one that starts.
  struct Connection {
    std::optional<std::uint64_t> process{};
  };
  struct OrderConnection {
    OrderConnectionId id = 0;
    Connection connection{};
    bool is_open = false;
    std::function<void(bool)> done{};
  };
  struct Request {
    Connection connection{};
    AccessDelays delays{};
    // Executes the request and returns what its answer does at the requester.
    std::function<Answer()> execute{};
    Answer fail{};
    bool settled = false;  // The requester has an answer or has given up.
  };
  struct StagedPiece {
    std::uint64_t version = 0;
    std::string bytes{};
    std::optional<kernel::Time> corrupted_at{};
  };
  // A change of a staged piece or a read.
  struct PieceEvent {
    kernel::Time at{};
    kernel::Time sent{};
    std::uint64_t process = 0;
    std::string_view event{};
    std::uint64_t version = 0;  // That of the piece afterwards; 0: none.
  };

  Connection Connect() const;
  // Tells the requester after a short delay whether its connection is open.
  void Notify(bool open);
  void Send(const Connection& connection,
            const Access& access,
            std::function<Answer()> execute,
            Answer fail);
  void Arrive(const std::shared_ptr<Request>& request);
  void Settle(const std::shared_ptr<Request>& request, const Answer& answer);
  AccessDelays DrawDelays(const Access& access);
  // Returns a random time from `minimum` to `maximum`.
  kernel::Duration Between(kernel::Duration minimum, kernel::Duration maximum);
  // Ends the process, or keeps a stopped one from starting before `outage`.
  void Stop(kernel::Duration outage);
  void Start();
  // `sent` is when the order was sent.
  OrderResult Accept(const OrderLoad& order, kernel::Time sent);
  EndpointLoad TakePieces(std::uint64_t version, kernel::Time sent) const;
  EndpointLoad::Pieces Classify(const std::optional<StagedPiece>& piece,
                                std::uint64_t version,
                                std::uint32_t index) const;
  void Record(std::uint32_t index, std::string_view event, kernel::Time sent);
  std::string Describe(std::uint64_t version,
                       std::uint32_t index,
                       kernel::Time sent) const;
  double Seconds(kernel::Time time) const;

  Agenda& m_agenda;
  kernel::Random m_random;
  AccessTiming m_timing;
  DelayRule m_delay_rule;
  kernel::Time m_created;
  std::array<std::optional<StagedPiece>, kSimulatedPieces> m_staged{};
  std::array<std::deque<PieceEvent>, kSimulatedPieces> m_last_events{};
  bool m_running = true;
  std::uint64_t m_process = 1;  // Number of the current or the last process.
  kernel::Time m_started_at{};
  std::uint64_t m_pending_start = 0;
  kernel::Time m_suspended_until{};
  bool m_start_reported = true;
  std::uint64_t m_version = 0;
  std::uint64_t m_accepted_orders = 0;
  bool m_busy = false;
  OrderConnection m_order_connection;
  bool m_refuses_new_connections = false;
  std::vector<EndpointLoad> m_loads;
  // Requests that wait for a process to start.
  std::vector<std::shared_ptr<Request>> m_waiting;
};

}  // namespace radishrudder::staging

#endif  // TESTS_STAGING_ASYNC_ENDPOINT_H_
