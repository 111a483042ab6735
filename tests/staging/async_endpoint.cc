#include "tests/staging/async_endpoint.h"

#include <sstream>
#include <utility>

namespace radishrudder::staging {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The agent's time limit for a request to its endpoint.
constexpr milliseconds kRequestTimeout{1000};
constexpr milliseconds kMinimumDelay{1};
constexpr milliseconds kMaximumDelay{6};
constexpr milliseconds kMinimumSlowDelay{50};
constexpr milliseconds kMaximumLateArrival{2500};
constexpr milliseconds kLoadTime{300};
// Corruption within this time before an order is not the agent's fault.
constexpr milliseconds kExcusedCorruption{3000};
constexpr std::size_t kRecordedEvents = 8;

}  // namespace

AsyncEndpoint::AsyncEndpoint(Agenda& agenda,
                             kernel::Random random,
                             const AccessTiming& timing)
    : m_agenda(agenda),
      m_random(random),
      m_timing(timing),
      m_created(agenda.Now()),
      m_started_at(agenda.Now()) {}

void AsyncEndpoint::Write(const StagePiece& write,
                          const std::function<void(StageResult)>& done) {
  const Access access{Access::Kind::kWrite, write.version.number, write.index};
  Send(
      Connect(), access,
      [this, write, sent = m_agenda.Now(), done] {
        m_staged[write.index] =
            StagedPiece{write.version.number, write.bytes, std::nullopt};
        Record(write.index, "written", sent);
        return [done] { done(StageResult::kStored); };
      },
      [done] { done(StageResult::kNoResponse); });
}

void AsyncEndpoint::Read(const ReadStagedPiece& read,
                         const std::function<void(std::string)>& done) {
  const Access access{Access::Kind::kRead, read.version.number, read.index};
  Send(
      Connect(), access,
      [this, read, sent = m_agenda.Now(), done] {
        const std::optional<StagedPiece>& piece = m_staged[read.index];
        Record(read.index, "read", sent);
        return [done, bytes = piece ? piece->bytes : std::string()] {
          done(bytes);
        };
      },
      [done] { done({}); });
}

void AsyncEndpoint::Report(
    const std::function<void(const EndpointReport&)>& done) {
  Send(
      Connect(), {.kind = Access::Kind::kReport},
      [this, done] {
        const EndpointReport report{
            .reachable = true,
            .started_at_ms = m_start_reported
                                 ? static_cast<std::uint64_t>(
                                       duration_cast<milliseconds>(
                                           m_started_at.time_since_epoch())
                                           .count())
                                 : 0,
            .model = m_version == 0 ? "" : kSimulatedModel,
            .version = m_version,
            .busy = m_busy,
            .accepted_orders = m_accepted_orders};
        return [done, report] { done(report); };
      },
      [done] { done({}); });
}

void AsyncEndpoint::Open(const OpenOrderConnection& open,
                         const std::function<void(bool)>& done) {
  m_order_connection = {open.connection, Connect(), /*is_open=*/false, done};
  Notify(m_running && (open.may_be_reused || !m_refuses_new_connections));
}

void AsyncEndpoint::Notify(bool open) {
  m_agenda.After(Between(kMinimumDelay, kMaximumDelay),
                 [this, open, id = m_order_connection.id] {
                   if (id == m_order_connection.id) {
                     m_order_connection.is_open = open;
                     m_order_connection.done(open);
                   }
                 });
}

void AsyncEndpoint::Order(const OrderLoad& order,
                          const std::function<void(OrderResult)>& done) {
  if (order.connection != m_order_connection.id ||
      !m_order_connection.is_open) {
    m_agenda.After({}, [done] { done(OrderResult::kNotSent); });
    return;
  }
  m_order_connection.is_open = false;
  Send(
      m_order_connection.connection,
      {.kind = Access::Kind::kOrder, .version = order.version.number},
      [this, order, sent = m_agenda.Now(), done] {
        return [done, result = Accept(order, sent)] { done(result); };
      },
      [done] { done(OrderResult::kNoResponse); });
}

void AsyncEndpoint::Install(std::uint64_t version) {
  m_version = version;
  for (std::uint32_t i = 0; i < kSimulatedPieces; ++i) {
    m_staged[i] = StagedPiece{version, MakePiece(version, i), std::nullopt};
  }
}

void AsyncEndpoint::Crash(kernel::Duration outage) {
  Stop(outage);
}

void AsyncEndpoint::LosePower(kernel::Duration outage) {
  for (std::uint32_t i = 0; i < kSimulatedPieces; ++i) {
    m_staged[i].reset();
    Record(i, "lost with the power", m_agenda.Now());
  }
  Stop(outage);
}

void AsyncEndpoint::Suspend(kernel::Duration time) {
  m_suspended_until = m_agenda.Now() + time;
}

void AsyncEndpoint::Corrupt(std::uint32_t index) {
  std::optional<StagedPiece>& piece = m_staged[index];
  if (piece && !piece->corrupted_at) {
    piece->bytes.back() = '!';
    piece->corrupted_at = m_agenda.Now();
    Record(index, "corrupted", m_agenda.Now());
  }
}

AsyncEndpoint::Connection AsyncEndpoint::Connect() const {
  return {m_running ? std::optional(m_process) : std::nullopt};
}

void AsyncEndpoint::Send(const Connection& connection,
                         const Access& access,
                         std::function<Answer()> execute,
                         Answer fail) {
  auto request = std::make_shared<Request>(Request{
      connection, DrawDelays(access), std::move(execute), std::move(fail)});
  if (!connection.process && m_random.Chance(m_timing.reset_share)) {
    m_agenda.After(Between(kMinimumDelay, kMaximumDelay),
                   [this, request] { Settle(request, request->fail); });
    return;
  }
  m_agenda.After(kRequestTimeout,
                 [this, request] { Settle(request, request->fail); });
  m_agenda.After(request->delays.arrival, [this, request] { Arrive(request); });
}

void AsyncEndpoint::Arrive(const std::shared_ptr<Request>& request) {
  std::optional<std::uint64_t>& process = request->connection.process;
  if (!process) {
    // Without a connection nothing was sent, so the requester can withdraw it.
    if (request->settled) {
      return;
    }
    if (!m_running) {
      m_waiting.push_back(request);
      return;
    }
    process = m_process;
  }
  if (!m_running || *process != m_process) {
    if (m_random.Chance(m_timing.reset_share)) {
      Settle(request, request->fail);
    }
    return;
  }
  if (m_agenda.Now() < m_suspended_until) {
    m_agenda.After(m_suspended_until - m_agenda.Now(),
                   [this, request] { Arrive(request); });
    return;
  }
  const Answer answer = request->execute();
  if (request->delays.answer_lost) {
    return;
  }
  m_agenda.After(request->delays.answer, [this, request, answer] {
    const bool process_ended =
        !m_running || *request->connection.process != m_process;
    const bool reset = process_ended && m_random.Chance(m_timing.reset_share);
    Settle(request, reset ? request->fail : answer);
  });
}

void AsyncEndpoint::Settle(const std::shared_ptr<Request>& request,
                           const Answer& answer) {
  if (!request->settled) {
    request->settled = true;
    answer();
  }
}

AccessDelays AsyncEndpoint::DrawDelays(const Access& access) {
  if (m_delay_rule) {
    if (const auto delays = m_delay_rule(access)) {
      return *delays;
    }
  }
  AccessDelays delays{.arrival = Between(kMinimumDelay, kMaximumDelay),
                      .answer = Between(kMinimumDelay, kMaximumDelay)};
  if (m_random.Chance(m_timing.slow_share)) {
    const kernel::Duration total =
        Between(kMinimumSlowDelay, m_timing.maximum_slow_delay);
    delays.arrival = Between({}, total);
    delays.answer = total - delays.arrival;
  }
  if (m_random.Chance(m_timing.late_arrival_share)) {
    delays.arrival = Between(kRequestTimeout, kMaximumLateArrival);
  }
  delays.answer_lost = m_random.Chance(m_timing.lost_answer_share);
  return delays;
}

kernel::Duration AsyncEndpoint::Between(kernel::Duration minimum,
                                        kernel::Duration maximum) {
  const auto range = static_cast<std::uint64_t>((maximum - minimum).count());
  return minimum +
         kernel::Duration(static_cast<std::int64_t>(m_random.Below(range + 1)));
}

void AsyncEndpoint::Stop(kernel::Duration outage) {
  m_running = false;
  if (m_order_connection.is_open && m_random.Chance(m_timing.reset_share)) {
    Notify(/*open=*/false);
  }
  m_agenda.After(outage, [this, start = ++m_pending_start] {
    if (start == m_pending_start) {
      Start();
    }
  });
}

void AsyncEndpoint::Start() {
  m_running = true;
  ++m_process;
  m_started_at = m_agenda.Now();
  m_version = 0;
  m_accepted_orders = 0;
  m_busy = false;
  for (const auto& request : std::exchange(m_waiting, {})) {
    m_agenda.After(Between(kMinimumDelay, kMaximumDelay),
                   [this, request] { Arrive(request); });
  }
}

OrderResult AsyncEndpoint::Accept(const OrderLoad& order, kernel::Time sent) {
  if (m_busy || order.expected_orders != m_accepted_orders) {
    return OrderResult::kPreconditionFailed;
  }
  ++m_accepted_orders;
  m_busy = true;
  m_loads.push_back(TakePieces(order.version.number, sent));
  m_agenda.After(kLoadTime,
                 [this, process = m_process, version = order.version.number] {
                   if (m_running && process == m_process) {
                     m_busy = false;
                     m_version = version;
                   }
                 });
  return OrderResult::kStarted;
}

EndpointLoad AsyncEndpoint::TakePieces(std::uint64_t version,
                                       kernel::Time sent) const {
  EndpointLoad load{.at = m_agenda.Now(), .version = version};
  for (std::uint32_t i = 0; i < kSimulatedPieces; ++i) {
    const EndpointLoad::Pieces pieces = Classify(m_staged[i], version, i);
    // A piece that nobody could know to be corrupted hides no other one.
    if (pieces == EndpointLoad::Pieces::kWhole ||
        (load.pieces == EndpointLoad::Pieces::kNewlyCorrupted &&
         pieces == EndpointLoad::Pieces::kNewlyCorrupted)) {
      continue;
    }
    load.pieces = pieces;
    load.description = Describe(version, i, sent);
    if (pieces != EndpointLoad::Pieces::kNewlyCorrupted) {
      break;
    }
  }
  return load;
}

EndpointLoad::Pieces AsyncEndpoint::Classify(
    const std::optional<StagedPiece>& piece,
    std::uint64_t version,
    std::uint32_t index) const {
  if (!piece) {
    return EndpointLoad::Pieces::kMissing;
  }
  if (piece->bytes == MakePiece(version, index)) {
    return EndpointLoad::Pieces::kWhole;
  }
  if (piece->version != version) {
    return piece->version < version ? EndpointLoad::Pieces::kOlder
                                    : EndpointLoad::Pieces::kNewer;
  }
  const bool excused =
      piece->corrupted_at &&
      m_agenda.Now() - *piece->corrupted_at <= kExcusedCorruption;
  return excused ? EndpointLoad::Pieces::kNewlyCorrupted
                 : EndpointLoad::Pieces::kCorrupted;
}

void AsyncEndpoint::Record(std::uint32_t index,
                           std::string_view event,
                           kernel::Time sent) {
  const std::optional<StagedPiece>& piece = m_staged[index];
  std::deque<PieceEvent>& events = m_last_events[index];
  events.push_back({.at = m_agenda.Now(),
                    .sent = sent,
                    .process = m_process,
                    .event = event,
                    .version = piece ? piece->version : 0});
  if (events.size() > kRecordedEvents) {
    events.pop_front();
  }
}

std::string AsyncEndpoint::Describe(std::uint64_t version,
                                    std::uint32_t index,
                                    kernel::Time sent) const {
  std::ostringstream text;
  text << Seconds(m_agenda.Now()) << " s: process " << m_process
       << ", started at " << Seconds(m_started_at) << " s, takes piece "
       << index << " of version "
       << (m_staged[index] ? m_staged[index]->version : 0) << " for version "
       << version << ", ordered at " << Seconds(sent)
       << " s; last accesses to it:";
  for (const PieceEvent& event : m_last_events[index]) {
    text << "\n    " << Seconds(event.at) << " s: " << event.event
         << ", sent at " << Seconds(event.sent) << " s, version then "
         << event.version << ", process " << event.process;
  }
  return text.str();
}

double AsyncEndpoint::Seconds(kernel::Time time) const {
  return std::chrono::duration<double>(time - m_created).count();
}

}  // namespace radishrudder::staging
