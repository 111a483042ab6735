#include "tests/staging/stager_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "tests/staging/simulated_pieces.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{5};
constexpr milliseconds kNetworkDelay{5};
constexpr milliseconds kLoadTime{300};
// Bytes of the answers on the origin's link. The pieces in the simulation are
// smaller than those of a version of 2 MB.
constexpr std::size_t kListAnswerBytes = 6000;
constexpr std::size_t kPieceAnswerBytes = 131072;
constexpr milliseconds kOriginTimeout{2500};

}  // namespace

StagerFleet::StagerFleet(const FleetOptions& options)
    : m_options(options), m_random(options.seed) {
  for (std::size_t i = 0; i < options.instances; ++i) {
    m_hosts.push_back(std::make_unique<Host>());
    Host& host = *m_hosts.back();
    host.name = "10.0.0." + std::to_string(i);
    host.region = std::string(1, static_cast<char>('a' + i % options.regions));
    MakeEndpoint(host, 1);
    MakeStager(host);
  }
  DistributePeers();
}

void StagerFleet::MakeEndpoint(Host& host, std::uint64_t version) {
  if (m_options.access_timing) {
    host.async = std::make_unique<AsyncEndpoint>(
        m_agenda, kernel::Random(m_random.Next()), *m_options.access_timing);
    host.async->Install(version);
    return;
  }
  host.endpoint.version = version;
  for (std::uint32_t piece = 0; piece < kSimulatedPieces; ++piece) {
    host.endpoint.staged[piece] = MakePiece(version, piece);
  }
}

void StagerFleet::MakeStager(Host& host) {
  StagerSettings settings;
  settings.transfer.self = {host.name, m_random.Next()};
  settings.transfer.data_centre = host.region;
  settings.transfer.region = host.region;
  settings.transfer.store_region = "a";
  settings.transfer.origin_bytes_per_second = m_options.origin_bytes_per_second;
  settings.transfer.timeout_factor = 0.25;
  settings.transfer.has_store = false;
  settings.transfer.maximum_source_backoff = milliseconds(800);
  host.stager = std::make_unique<Stager>(
      std::move(settings), kernel::Random(m_random.Next()), m_now);
  ++host.stager_number;
}

std::size_t StagerFleet::AddInstance(bool reachable) {
  m_hosts.push_back(std::make_unique<Host>());
  Host& host = *m_hosts.back();
  host.name = "10.0.0." + std::to_string(m_hosts.size() - 1);
  host.region = std::string(
      1, static_cast<char>('a' + (m_hosts.size() - 1) % m_options.regions));
  host.endpoint.reachable = reachable;
  MakeStager(host);
  DistributePeers();
  return m_hosts.size() - 1;
}

void StagerFleet::DistributePeers() {
  std::vector<weights::TransferPeer> peers;
  for (const auto& host : m_hosts) {
    peers.push_back({.instance = host->name,
                     .data_centre = host->region,
                     .region = host->region});
  }
  for (const auto& host : m_hosts) {
    host->stager->OnPeers(m_now, peers);
    HandleOutputs(*host);
  }
}

void StagerFleet::DeclareVersion(std::uint64_t version, bool newly_declared) {
  for (const auto& host : m_hosts) {
    if (!host->store_available) {
      continue;
    }
    const auto read = [this, &host, version, newly_declared] {
      host->stager->OnVersionDeclared(m_now, {kSimulatedModel, version},
                                      newly_declared);
      HandleOutputs(*host);
    };
    const auto range =
        static_cast<std::uint64_t>(m_options.maximum_declaration_delay.count());
    if (range == 0) {
      read();
    } else {
      m_events.push_back({m_now + milliseconds(m_random.Below(range)), read});
    }
  }
}

std::size_t StagerFleet::ListedCount(std::uint64_t version) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_hosts,
      [version](const auto& host) { return host->listed_version >= version; }));
}

void StagerFleet::RestartStager(std::size_t index, std::uint64_t declared) {
  MakeStager(*m_hosts[index]);
  DistributePeers();
  m_hosts[index]->stager->OnVersionDeclared(m_now, {kSimulatedModel, declared},
                                            /*newly_declared=*/false);
  HandleOutputs(*m_hosts[index]);
}

void StagerFleet::Run(milliseconds time) {
  const kernel::Time end = m_now + time;
  while (m_now < end) {
    Step();
  }
}

bool StagerFleet::RunUntilAllOn(std::uint64_t version, milliseconds limit) {
  const kernel::Time end = m_now + limit;
  const auto runs = [version](const auto& host) {
    return RunningVersion(*host) == version;
  };
  while (m_now < end && !std::ranges::all_of(m_hosts, runs)) {
    Step();
  }
  return std::ranges::all_of(m_hosts, runs);
}

bool StagerFleet::LoadedCompletely(std::size_t index,
                                   std::uint64_t version) const {
  const auto& loaded_pieces = m_hosts[index]->endpoint.loaded_pieces;
  if (loaded_pieces.empty()) {
    return false;
  }
  for (std::uint32_t piece = 0; piece < kSimulatedPieces; ++piece) {
    const auto found = loaded_pieces.back().find(piece);
    if (found == loaded_pieces.back().end() ||
        found->second != MakePiece(version, piece)) {
      return false;
    }
  }
  return true;
}

std::uint64_t StagerFleet::RunningVersion(const Host& host) {
  return host.async ? host.async->Version() : host.endpoint.version;
}

void StagerFleet::Step() {
  m_agenda.RunUntil(m_now + kStep);
  for (std::size_t i = 0; i < m_events.size();) {
    if (m_events[i].at <= m_now) {
      const auto run = std::move(m_events[i].run);
      m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(i));
      run();
    } else {
      ++i;
    }
  }
  while (!m_network.empty() && m_network.front().at <= m_now) {
    const Delivery delivery = std::move(m_network.front());
    m_network.pop_front();
    for (const auto& host : m_hosts) {
      if (host->name == delivery.to) {
        host->stager->OnMessage(m_now, delivery.message);
        HandleOutputs(*host);
      }
    }
  }
  for (const auto& host : m_hosts) {
    FinishDueLoad(host->endpoint);
    host->stager->OnTick(m_now);
    HandleOutputs(*host);
  }
}

void StagerFleet::FinishDueLoad(FakeEndpoint& endpoint) {
  if (endpoint.load_finishes_at && *endpoint.load_finishes_at <= m_now) {
    endpoint.load_finishes_at.reset();
    endpoint.busy = false;
    endpoint.version = endpoint.loading_version;
  }
}

void StagerFleet::HandleOutputs(Host& host) {
  for (StagerOutput& output : host.stager->TakeOutputs()) {
    std::visit([&](auto& item) { HandleOutput(host, item); }, output);
  }
}

void StagerFleet::HandleOutput(Host& host, wire::Send& output) {
  if (m_random.Uniform() < m_options.message_loss) {
    return;
  }
  m_network.push_back(
      {m_now + kNetworkDelay, output.to, std::move(output.message)});
}

void StagerFleet::HandleOutput(Host& host, FetchPieceList& output) {
  ++m_origin_list_count;
  if (!m_origin_available) {
    host.stager->OnPieceList(m_now, output.version, std::nullopt);
    return;
  }
  PieceList list{.piece_bytes = kSimulatedPieceBytes};
  for (std::uint32_t i = 0; i < kSimulatedPieces; ++i) {
    list.digests.push_back(
        weights::Sha256(MakePiece(output.version.number, i)));
  }
  if (m_options.origin_bytes_per_second == 0) {
    host.stager->OnPieceList(m_now, output.version, std::move(list));
    return;
  }
  m_maximum_origin_lists =
      std::max(m_maximum_origin_lists, ++m_unanswered_lists);
  const kernel::Time answered = OriginAnswerTime(kListAnswerBytes);
  const bool in_time = answered - m_now <= kOriginTimeout;
  m_events.push_back({in_time ? answered : m_now + kOriginTimeout,
                      [this, &host, version = output.version, in_time, list]() {
                        --m_unanswered_lists;
                        host.stager->OnPieceList(
                            m_now, version,
                            in_time ? std::optional(list) : std::nullopt);
                        HandleOutputs(host);
                      }});
}

kernel::Time StagerFleet::OriginAnswerTime(std::size_t bytes) {
  m_origin_free_at =
      std::max(m_origin_free_at, m_now) +
      std::chrono::duration_cast<kernel::Duration>(
          std::chrono::duration<double>(static_cast<double>(bytes) /
                                        m_options.origin_bytes_per_second));
  return m_origin_free_at + 2 * kNetworkDelay;
}

void StagerFleet::HandleOutput(Host& host, FetchPiece& output) {
  std::string bytes;
  if (m_origin_available) {
    ++m_origin_piece_count;
    bytes = MakePiece(output.version.number, output.index);
    if (m_corruption_period > 0 &&
        m_origin_piece_count % m_corruption_period == 0) {
      bytes.back() = '!';
    }
  }
  if (m_options.origin_bytes_per_second == 0) {
    host.stager->OnPiece(m_now, output.version, output.index, std::move(bytes));
    return;
  }
  const kernel::Time answered = OriginAnswerTime(kPieceAnswerBytes);
  const bool in_time = answered - m_now <= kOriginTimeout;
  m_events.push_back(
      {in_time ? answered : m_now + kOriginTimeout,
       [this, &host, output, bytes = in_time ? bytes : std::string()]() {
         host.stager->OnPiece(m_now, output.version, output.index, bytes);
         HandleOutputs(host);
       }});
}

template <typename Receive>
auto StagerFleet::ForStager(Host& host, Receive receive) {
  return
      [this, &host, receive, number = host.stager_number](const auto& result) {
        if (number == host.stager_number) {
          receive(*host.stager, result);
          HandleOutputs(host);
        }
      };
}

void StagerFleet::HandleOutput(Host& host, StagePiece& output) {
  if (host.async) {
    host.async->Write(output,
                      ForStager(host, [this, access = output.access](
                                          Stager& stager, StageResult result) {
                        stager.OnPieceStaged(m_now, access, result);
                      }));
    return;
  }
  host.endpoint.staged[output.index] = std::move(output.bytes);
  host.stager->OnPieceStaged(m_now, output.access, StageResult::kStored);
}

void StagerFleet::HandleOutput(Host& host, ReadStagedPiece& output) {
  if (host.async) {
    host.async->Read(
        output, ForStager(host, [this, access = output.access](
                                    Stager& stager, const std::string& bytes) {
          stager.OnStagedPieceRead(m_now, access, bytes);
        }));
    return;
  }
  const auto found = host.endpoint.staged.find(output.index);
  host.stager->OnStagedPieceRead(
      m_now, output.access,
      found == host.endpoint.staged.end() ? std::string() : found->second);
}

void StagerFleet::HandleOutput(Host& host, RequestReport&) {
  if (host.async) {
    host.async->Report(
        ForStager(host, [this](Stager& stager, const EndpointReport& report) {
          stager.OnReport(m_now, report);
        }));
    return;
  }
  const FakeEndpoint& endpoint = host.endpoint;
  if (!endpoint.reachable) {
    host.stager->OnReport(m_now, {});
    return;
  }
  host.stager->OnReport(m_now, {.reachable = true,
                                .started_at_ms = endpoint.started_at_ms,
                                .model = kSimulatedModel,
                                .version = endpoint.version,
                                .busy = endpoint.busy,
                                .accepted_orders = endpoint.accepted_orders});
}

void StagerFleet::HandleOutput(Host& host, OpenOrderConnection& output) {
  if (host.async) {
    host.async->Open(output, ForStager(host, [this, id = output.connection](
                                                 Stager& stager, bool open) {
                       stager.OnOrderConnection(m_now, id, open);
                     }));
    return;
  }
  host.stager->OnOrderConnection(m_now, output.connection,
                                 host.endpoint.reachable);
}

void StagerFleet::HandleOutput(Host& host, NewerVersionSeen&) {
  m_newer_version_count += host.store_available ? 0 : 1;
}

void StagerFleet::HandleOutput(Host& host, ProgressReport& output) {
  if (output.kind == ProgressReport::Kind::kListReceived) {
    host.listed_version = std::max(host.listed_version, output.version.number);
  }
  m_repair_count +=
      output.kind == ProgressReport::Kind::kStagedPieceCorrupted ? 1 : 0;
}

void StagerFleet::HandleOutput(Host& host, OrderLoad& output) {
  if (host.async) {
    host.async->Order(output,
                      ForStager(host, [this, connection = output.connection](
                                          Stager& stager, OrderResult result) {
                        stager.OnOrderResult(m_now, connection, result);
                      }));
    return;
  }
  FakeEndpoint& endpoint = host.endpoint;
  endpoint.order_times.push_back(m_now);
  if (endpoint.busy || output.expected_orders != endpoint.accepted_orders) {
    host.stager->OnOrderResult(m_now, output.connection,
                               OrderResult::kPreconditionFailed);
    return;
  }
  ++endpoint.accepted_orders;
  endpoint.busy = true;
  endpoint.loading_version = output.version.number;
  endpoint.loaded_pieces.push_back(endpoint.staged);
  endpoint.load_finishes_at = m_now + kLoadTime;
  host.stager->OnOrderResult(m_now, output.connection,
                             endpoint.responds_to_orders
                                 ? OrderResult::kStarted
                                 : OrderResult::kNoResponse);
}

}  // namespace radishrudder::staging
