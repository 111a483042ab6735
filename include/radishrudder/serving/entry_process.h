#ifndef RADISHRUDDER_SERVING_ENTRY_PROCESS_H_
#define RADISHRUDDER_SERVING_ENTRY_PROCESS_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/direct/entry.h"
#include "radishrudder/direct/request_memory.h"
#include "radishrudder/exchange/caller_server.h"
#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/exchange/fetcher.h"
#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"
#include "radishrudder/metrics/metrics.h"
#include "radishrudder/peers/peer_exchange.h"
#include "radishrudder/peers/peer_report.h"
#include "radishrudder/serving/call_journal.h"
#include "radishrudder/serving/call_session.h"
#include "radishrudder/serving/load_collector.h"
#include "radishrudder/serving/peer_memory_log.h"
#include "radishrudder/serving/settings_change.h"
#include "radishrudder/serving/store_follower.h"

namespace radishrudder::serving {

// What an entry requires of a platform adapter: codecs for calls and the store,
// and decoders for the documents in the store.
template <typename T>
concept EntryPlatform = CallCodec<typename T::Calls> &&
    StoreCodec<typename T::Store> &&
    requires(std::string_view text,
             const dissemination::StoreItem& item,
             kernel::Findings& findings) {
  { T::kOperatorPrefix } -> std::convertible_to<std::string_view>;
  { T::kEndpointPrefix } -> std::convertible_to<std::string_view>;
  { T::IsConfiguration(text) } -> std::same_as<bool>;
  { T::IsVersion(text) } -> std::same_as<bool>;
  { T::EvacuatedDataCentre(text) } -> std::same_as<std::string_view>;
  T::DecodeConfiguration(text, findings);
  T::DecodeVersion(text, findings);
  T::DecodeEndpoint(item, findings);
  { T::EndpointId(text) } -> std::same_as<std::string_view>;
};

struct EntryProcessSettings {
  direct::EntrySettings entry{};
  direct::EndpointListSettings endpoint_list{};
  std::string callers_address{};
  std::string readiness_address{};
  std::string metrics_address{};
  std::string store_address{};
  std::string peers_address{};            // Empty: takes no peers' reports.
  std::vector<std::string> peer_seeds{};  // Addresses of some other entries.
  // Takes agents' load reports by UDP; empty: none.
  std::string load_reports_address{};
  std::uint16_t agents_port = 0;  // The same on all instances.
  // What callers may make this process hold, on all listeners together.
  exchange::MemoryLimits callers{.bytes = 128U << 20U};
  // Connections to endpoints that are kept without a request.
  std::size_t maximum_idle_connections =
      exchange::PoolSettings().maximum_total_idle;
  // Time from SIGTERM until the platform kills the process.
  std::chrono::milliseconds stop_timeout{8000};
};

// The process that accepts callers' requests and sends them directly to
// endpoints, without an agent's gate in between. Runs on one thread.
template <EntryPlatform Platform>
class EntryProcess {
 public:
  EntryProcess(asio::io_context& context,
               EntryProcessSettings settings,
               kernel::Random random)
      : m_context(context),
        m_settings(std::move(settings)),
        m_core(m_settings.entry, kernel::Random(random.Next())),
        m_journal(m_settings.entry.name),
        m_pool(context,
               {.maximum_total_idle = m_settings.maximum_idle_connections,
                .receive_buffer_bytes = kReceiveBufferBytes}),
        m_store_pool(context, {}),
        m_fetcher(context, m_store_pool),
        m_memory(m_settings.callers),
        m_callers(context,
                  m_memory,
                  [this](exchange::ReceivedRequest request,
                         std::shared_ptr<exchange::CallerExchange> caller) {
                    OnRequest(std::move(request), std::move(caller));
                  }),
        m_readiness(
            context,
            m_memory,
            [this](const exchange::ReceivedRequest&,
                   const std::shared_ptr<exchange::CallerExchange>& caller) {
              AnswerReadiness(*caller);
            }),
        m_metrics_server(
            context,
            m_memory,
            [this](const exchange::ReceivedRequest&,
                   const std::shared_ptr<exchange::CallerExchange>& caller) {
              caller->Reply({kOk, {{"Content-Type", "text/plain"}}},
                            m_journal.MetricsText());
            }),
        m_list(ListSettings(m_settings.endpoint_list)),
        m_operator_follower(context,
                            m_fetcher,
                            {.address = m_settings.store_address,
                             .prefix = std::string(Platform::kOperatorPrefix),
                             .reader = {.spread_watches = true}},
                            kernel::Random(random.Next()),
                            [this](dissemination::StoreOutput output) {
                              OnOperatorOutput(std::move(output));
                            }),
        m_endpoint_follower(
            context,
            m_fetcher,
            {.address = m_settings.store_address,
             .prefix = std::string(Platform::kEndpointPrefix),
             .reader = {.next_watch_delay = kEndpointWatchPause}},
            kernel::Random(random.Next()),
            [this](dissemination::StoreOutput output) {
              OnEndpointOutput(std::move(output));
            }),
        m_peer_server(
            context,
            m_memory,
            [this](const exchange::ReceivedRequest& request,
                   const std::shared_ptr<exchange::CallerExchange>& peer) {
              AnswerPeer(request, *peer);
            }),
        m_peers({.address = m_settings.peers_address,
                 .seeds = m_settings.peer_seeds},
                kernel::Random(random.Next())),
        m_load_collector(context,
                         {.instance = m_settings.entry.name,
                          .address = m_settings.load_reports_address,
                          .agents_port = m_settings.agents_port},
                         [this](const direct::EndpointLoadReport& report) {
                           m_core.OnLoadReports(kernel::Now(), {&report, 1});
                           TakeOutputs();
                         }),
        m_tick(context),
        m_random(random.Next()) {
    m_callers.OnMemoryShortage(
        [this](const exchange::ReceivedRequest& received) {
          return RefuseUnread(kernel::Now(), received,
                              direct::Reason::kNoMemory, MemoryRetryAfter());
        });
    m_readiness.SetLimits(kBodilessLimits);
    m_metrics_server.SetLimits(kBodilessLimits);
    m_peer_server.SetLimits({.body_bytes = kMaximumPeerReportBytes});
  }

  std::error_code Start() {
    std::error_code error = m_callers.Listen(m_settings.callers_address);
    if (!error && !m_settings.readiness_address.empty()) {
      error = m_readiness.Listen(m_settings.readiness_address);
    }
    if (!error && !m_settings.metrics_address.empty()) {
      error = m_metrics_server.Listen(m_settings.metrics_address);
    }
    if (!error && !m_settings.peers_address.empty()) {
      error = m_peer_server.Listen(m_settings.peers_address);
    }
    if (!error) {
      m_operator_follower.Start();
      m_endpoint_follower.Start();
      Tick();
    }
    return error;
  }

  // Starts a graceful stop; stops the context when it is complete.
  void Stop() {
    if (m_stop_started) {
      return;
    }
    m_stop_started = kernel::Now();
    // Calls were accepted by this limit: settings that change during the stop
    // do not make it earlier.
    m_stop_ends_at = *m_stop_started + m_settings.stop_timeout - kStopMargin;
    LimitServing();
    m_callers.CloseAfterAnswers();
    logging::Log(logging::kProcessDraining,
                 {{"instance", m_settings.entry.name},
                  {"calls", std::to_string(m_core.CallsInProgress())}});
  }

  // Takes over new settings as far as a running process can change them.
  SettingsChange ApplySettings(const EntryProcessSettings& updated) {
    SettingsChange change;
    EntryProcessSettings& current = m_settings;
    ApplySetting("key-revocation-limit",
                 current.entry.maximum_configuration_age,
                 updated.entry.maximum_configuration_age, change);
    ApplySetting("configuration-apply-limit", current.entry.maximum_denial_age,
                 updated.entry.maximum_denial_age, change);
    ApplySetting("retry-budget-ratio", current.entry.retry_budget_ratio,
                 updated.entry.retry_budget_ratio, change);
    ApplySetting("version-switch-limit", current.entry.version_switch_grace,
                 updated.entry.version_switch_grace, change);
    ApplySetting("settling-time", current.entry.undated_version_grace,
                 updated.entry.undated_version_grace, change);
    ApplySetting("answer-memory", current.entry.answer_memory,
                 updated.entry.answer_memory, change);
    ApplySetting("caller-limits", current.callers, updated.callers, change);
    m_memory.SetLimits(current.callers);
    ApplySetting("idle-connections", current.maximum_idle_connections,
                 updated.maximum_idle_connections, change);
    m_pool.SetMaximumTotalIdle(current.maximum_idle_connections);
    ApplySetting("stop-timeout", current.stop_timeout, updated.stop_timeout,
                 change);
    ApplySetting("peer-seeds", current.peer_seeds, updated.peer_seeds, change);
    m_core.OnSettings(current.entry);
    if (m_stop_started) {
      LimitServing();
    }
    m_peers.OnSeeds(current.peer_seeds);
    DeferSetting("instance", current.entry.name, updated.entry.name, change);
    DeferSetting("data-centre", current.entry.data_centre,
                 updated.entry.data_centre, change);
    DeferSetting("region", current.entry.region, updated.entry.region, change);
    DeferSetting("regions", current.entry.regions, updated.entry.regions,
                 change);
    DeferSetting("callers-address", current.callers_address,
                 updated.callers_address, change);
    DeferSetting("readiness-address", current.readiness_address,
                 updated.readiness_address, change);
    DeferSetting("metrics-address", current.metrics_address,
                 updated.metrics_address, change);
    DeferSetting("store-address", current.store_address, updated.store_address,
                 change);
    DeferSetting("endpoint-heartbeat-interval",
                 current.endpoint_list.heartbeat_interval,
                 updated.endpoint_list.heartbeat_interval, change);
    DeferSetting("peers-address", current.peers_address, updated.peers_address,
                 change);
    DeferSetting("load-reports-address", current.load_reports_address,
                 updated.load_reports_address, change);
    DeferSetting("agents-port", current.agents_port, updated.agents_port,
                 change);
    return change;
  }

  direct::Entry& Core() { return m_core; }

  // Bytes of a call's answer have arrived; the entry may hold some of them.
  void OnAnswerBuffered(direct::CallId id) {
    if (Session* session = Find(id)) {
      session->Caller().SetBuffered(m_core.BufferedBytes(id));
    }
  }

  // Carries out the outputs of the core.
  void TakeOutputs() {
    for (direct::Output& output : m_core.TakeOutputs()) {
      std::visit([this](auto& item) { this->Execute(item); }, output);
    }
  }

 private:
  using Session = CallSession<typename Platform::Calls, EntryProcess>;

  static constexpr int kOk = 200;
  static constexpr int kBadRequest = 400;
  static constexpr int kNotFound = 404;
  static constexpr int kUnavailable = 503;
  static constexpr std::string_view kPeersPath = "/peers";
  // A peer that answers later tells nothing while a decision is due.
  static constexpr std::chrono::milliseconds kPeerTimeout{500};
  static constexpr std::size_t kMaximumPeerReportBytes = 1U << 20U;
  // With hundreds of endpoints there is always a heartbeat, which ends a watch
  // at once. The pause bounds the calls to the store; a leaving endpoint is
  // known this much later, of the seconds that it still serves.
  static constexpr std::chrono::milliseconds kEndpointWatchPause{400};
  static constexpr std::chrono::milliseconds kTickInterval{25};
  static constexpr std::chrono::milliseconds kMaintenanceInterval{250};
  // The platform may take this long to route callers elsewhere after the
  // instance stops being ready; connections are accepted until then.
  static constexpr std::chrono::milliseconds kLateArrivalTime{3000};
  // During a stop, connections that have been idle this long are closed.
  static constexpr std::chrono::milliseconds kStopIdleTimeout{400};
  // The system's receive buffer of a connection to an endpoint. It counts as
  // memory of the process while an answer is not read.
  static constexpr std::size_t kReceiveBufferBytes = 64U << 10U;
  // Reading goes on once the caller has read all but this share of what may be
  // held of its answer.
  static constexpr std::size_t kResumeDivisor = 4;
  // Of listeners whose requests have no body.
  static constexpr exchange::CallerLimits kBodilessLimits{.head_bytes = 8192,
                                                          .body_bytes = 0};
  // Range of Retry-After of requests that are refused for lack of memory.
  static constexpr std::chrono::milliseconds kMinimumMemoryRetryAfter{500};
  static constexpr std::chrono::milliseconds kMemoryRetryAfterSpread{1000};
  // A stop ends this long before the platform would kill the process.
  static constexpr std::chrono::milliseconds kStopMargin{250};
  // Responses are complete this long before the stop ends, so that they reach
  // their callers.
  static constexpr std::chrono::milliseconds kResponseMargin{200};

  // Entries that are written again arrive one pause later at the latest.
  static direct::EndpointListSettings ListSettings(
      direct::EndpointListSettings settings) {
    settings.expired_endpoint_grace += kEndpointWatchPause;
    return settings;
  }

  void OnRequest(exchange::ReceivedRequest received,
                 std::shared_ptr<exchange::CallerExchange> caller) {
    const direct::CallId id = ++m_last_call;
    m_received_in_stop += m_stop_started ? 1 : 0;
    const auto request = std::make_shared<const direct::CallerRequest>(
        Platform::Calls::DecodeRequest(std::move(received)));
    if (!caller->HoldRequest(direct::MemoryInProgress(*request))) {
      RecordRefusal(kernel::Now(), request->attempt_id,
                    request->host + request->path, request->received_at,
                    direct::Reason::kNoMemory);
      caller->Reply(Platform::Calls::EncodeGeneratedResponse(
                        kUnavailable, request->attempt_id, MemoryRetryAfter()),
                    "");
      return;
    }
    caller->OnDisconnected([this, id] {
      m_core.OnCallerDisconnected(kernel::Now(), id);
      TakeOutputs();
      m_sessions.erase(id);
    });
    caller->OnWritten([this, id] { ResumeReading(id); });
    m_sessions.emplace(
        id, std::make_unique<Session>(*this, id, request, std::move(caller)));
    m_core.OnRequest(kernel::Now(), kernel::BootTimeNow(), id, request);
    TakeOutputs();
  }

  // Goes on reading the answer of a call if its caller has read enough.
  void ResumeReading(direct::CallId id) {
    Session* session = Find(id);
    if (session != nullptr && session->IsPaused() &&
        session->Caller().BytesWaiting() <=
            m_memory.MaximumAnswerBytes() / kResumeDivisor &&
        session->Caller().MayHoldMore()) {
      m_core.OnCallerBehind(id, /*behind=*/false);
      session->ResumeReading(m_pool);
    }
  }

  // Answers that wait for memory go on once there is some; those whose callers
  // have stopped reading end once other calls need their endpoints.
  void CheckPausedAnswers(kernel::Time now) {
    m_memory.Enforce(now);
    m_memory_log.OnTick(now, m_memory);
    m_journal.RecordCallerMemory(m_memory);
    std::vector<direct::CallId> paused;
    std::vector<direct::CallId> stalled;
    for (const auto& [id, session] : m_sessions) {
      if (session->IsPaused()) {
        paused.push_back(id);
        if (session->Caller().IsStalled()) {
          stalled.push_back(id);
        }
      }
    }
    for (const direct::CallId id : paused) {
      ResumeReading(id);
    }
    m_core.OnCallersStalled(now, stalled);
    TakeOutputs();
  }

  // The platform may kill the process by the newest settings.
  void LimitServing() {
    m_core.OnDrain(kernel::Now(), *m_stop_started + m_settings.stop_timeout -
                                      kStopMargin - kResponseMargin);
  }

  void AnswerReadiness(exchange::CallerExchange& caller) {
    const bool ready = m_core.IsReady(kernel::BootTimeNow());
    if (ready != m_ready) {
      m_ready = ready;
      logging::Log(logging::kReadinessChanged,
                   {{"instance", m_settings.entry.name},
                    {"ready", ready ? "yes" : "no"}});
    }
    caller.Reply({ready ? kOk : kUnavailable, {}}, "");
  }

  Session* Find(direct::CallId id) {
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : found->second.get();
  }

  void Execute(direct::SendAttempt& output) {
    if (Session* session = Find(output.call)) {
      session->Send(m_pool, output);
    }
  }
  void Execute(direct::CancelAttempt& output) {
    if (Session* session = Find(output.call)) {
      session->Cancel(m_pool);
    }
  }
  void Execute(direct::SendResponse& output) {
    if (Session* session = Find(output.call)) {
      exchange::AnswerHead head{output.status, std::move(output.headers)};
      if (head.headers.empty()) {
        head = Platform::Calls::EncodeGeneratedResponse(
            output.status, session->Request().attempt_id, output.retry_after);
      }
      session->Caller().Reply(head, output.body);
      m_sessions.erase(output.call);
    }
  }
  void Execute(direct::StartResponse& output) {
    if (Session* session = Find(output.call)) {
      session->Caller().Begin({output.status, std::move(output.headers)});
    }
  }
  void Execute(direct::SendResponseBody& output) {
    if (Session* session = Find(output.call)) {
      session->Caller().Write(output.data);
      if (session->Caller().BytesWaiting() > 0 &&
          !session->Caller().MayHoldMore()) {
        session->PauseReading(m_pool);
        m_core.OnCallerBehind(output.call, /*behind=*/true);
      }
    }
  }
  void Execute(direct::FinishResponse& output) {
    if (Session* session = Find(output.call)) {
      session->Caller().Finish();
      m_sessions.erase(output.call);
    }
  }
  void Execute(direct::AbortResponse& output) {
    if (Session* session = Find(output.call)) {
      session->Caller().Abort();
      m_sessions.erase(output.call);
    }
  }
  void Execute(direct::CallRecord& output) {
    if (output.kind == direct::CallRecord::Kind::kCallerLeft) {
      RecordCallerLeft(output);
    } else {
      m_journal.Record(kernel::Now(), output);
    }
  }
  // Precedes the end of the attempt in progress.
  void RecordCallerLeft(const direct::CallRecord& record) {
    CallerConnections connections;
    if (const Session* session = Find(record.call)) {
      connections.bytes_behind = session->Caller().BytesBehind();
      connections.unacknowledged_bytes = session->UnacknowledgedBytes(m_pool);
    }
    m_journal.RecordCallerLeft(kernel::Now(), record, connections);
  }
  void Execute(direct::RequestBlocked& output) {
    logging::Log(logging::kRequestBlocked, {{"instance", m_settings.entry.name},
                                            {"request", output.digest}});
  }
  void Execute(direct::EndpointPaused& output) {
    m_journal.RecordPause(kernel::Now(), output);
  }
  void Execute(direct::EndpointLimited& output) {
    m_journal.RecordLimit(kernel::Now(), output);
  }
  void Execute(direct::NoAllowedRegion& output) {
    m_journal.RecordNoAllowedRegion(kernel::Now(), output);
  }
  void Execute(direct::DataCentreEvacuated& output) {
    m_journal.RecordEvacuation(output);
  }
  void Execute(direct::EndpointCold& output) {
    m_journal.RecordCold(kernel::Now(), output);
  }
  void Execute(direct::EndpointLeaves& output) {
    m_journal.RecordLeaving(kernel::Now(), output);
  }
  void Execute(direct::PartBlocked& output) {
    logging::Log(logging::kPromptPartBlocked,
                 {{"instance", m_settings.entry.name}, {"part", output.part}});
  }

  void OnOperatorOutput(dissemination::StoreOutput output) {
    if (auto* snapshot = std::get_if<dissemination::PrefixSnapshot>(&output)) {
      // Evacuations first: calls that begin by this configuration obey them.
      m_core.OnEvacuations(kernel::Now(), EvacuationsOf(snapshot->items),
                           snapshot->era);
      OnOperatorItems(snapshot->items, snapshot->previously_complete_at,
                      snapshot->failed_for);
    } else if (auto* changes =
                   std::get_if<dissemination::PrefixChanges>(&output)) {
      for (const dissemination::StoreItem& item : changes->items) {
        OnEvacuationItem(item);
      }
      OnOperatorItems(changes->items, changes->previously_complete_at,
                      changes->failed_for);
    } else if (const auto* confirmed =
                   std::get_if<dissemination::PrefixConfirmed>(&output)) {
      m_core.OnConfigurationConfirmed(confirmed->requested_at);
      m_peers.OnStoreRead(kernel::ToTime(confirmed->complete_at));
    } else if (const auto* answered =
                   std::get_if<dissemination::StoreAnswered>(&output)) {
      m_list.OnStoreAnswered(kernel::Now(), answered->requested_at);
    } else {
      if (std::holds_alternative<dissemination::StoreUnreachable>(output)) {
        m_peers.OnStoreLost(kernel::Now());
      }
      LogStoreState(output, Platform::kOperatorPrefix,
                    m_operator_follower.Problem());
    }
    TakeOutputs();
  }

  static std::vector<direct::EvacuationItem> EvacuationsOf(
      std::span<const dissemination::StoreItem> items) {
    std::vector<direct::EvacuationItem> evacuations;
    for (const dissemination::StoreItem& item : items) {
      const std::string_view data_centre =
          Platform::EvacuatedDataCentre(item.key);
      if (!data_centre.empty() && !item.removed) {
        evacuations.push_back({std::string(data_centre), item.revision});
      }
    }
    return evacuations;
  }

  void OnEvacuationItem(const dissemination::StoreItem& item) {
    const std::string_view data_centre =
        Platform::EvacuatedDataCentre(item.key);
    if (data_centre.empty()) {
      return;
    }
    const direct::EvacuationItem evacuation{std::string(data_centre),
                                            item.revision};
    if (item.removed) {
      m_core.OnEvacuationTakenBack(kernel::Now(), evacuation);
    } else {
      m_core.OnEvacuated(kernel::Now(), evacuation);
    }
  }

  void OnOperatorItems(std::span<const dissemination::StoreItem> items,
                       std::optional<kernel::BootTime> absent_at,
                       kernel::Duration store_failed_for) {
    ReadNewestConfiguration(items);
    for (const dissemination::StoreItem& item : items) {
      if (item.removed || !Platform::IsVersion(item.key)) {
        continue;
      }
      kernel::Findings findings;
      if (const auto version = Platform::DecodeVersion(item.value, findings)) {
        OnVersion(*version, item.revision, absent_at, store_failed_for);
      }
      m_journal.LogFindings(findings);
    }
  }

  // Reading a large configuration takes time, so those that a later one of the
  // same response replaces are left out.
  void ReadNewestConfiguration(
      std::span<const dissemination::StoreItem> items) {
    bool is_newest = true;
    for (auto item = items.rbegin(); item != items.rend(); ++item) {
      if (item->removed || !Platform::IsConfiguration(item->key)) {
        continue;
      }
      const bool readable = OnConfigurationItem(*item);
      if (std::exchange(is_newest, false)) {
        m_core.OnNewestConfiguration(readable);
      }
      if (readable) {
        return;
      }
    }
  }

  // Returns whether the configuration could be read.
  bool OnConfigurationItem(const dissemination::StoreItem& item) {
    kernel::Findings findings;
    auto configuration = Platform::DecodeConfiguration(item.value, findings);
    const bool readable = configuration.has_value();
    if (readable) {
      const std::string version = std::to_string(configuration->version);
      const std::string revision = std::to_string(item.revision);
      if (m_core.OnConfiguration(kernel::Now(), std::move(*configuration))) {
        ApplyBounds();
        const direct::Configuration& current =
            m_core.Configurations().Current();
        logging::Log(
            logging::kDocumentInForce,
            {{"key", item.key},
             {"version", version},
             {"revision", revision},
             {"routes", std::to_string(current.routes.size())},
             {"workspaces", std::to_string(current.workspaces.size())},
             {"keys", current.RequiresKeys() ? "required" : "not-required"}});
      } else {
        logging::Log(
            logging::kOldVersionIgnored,
            {{"key", item.key}, {"version", version}, {"revision", revision}});
      }
    }
    m_journal.LogFindings(findings);
    return readable;
  }

  // `absent_at`: latest time at which the store was known not to contain the
  // declaration.
  void OnVersion(const staging::VersionId& version,
                 std::uint64_t revision,
                 std::optional<kernel::BootTime> absent_at,
                 kernel::Duration store_failed_for) {
    const kernel::Time now = kernel::Now();
    direct::VersionDeclaration declaration{.model = version.model,
                                           .version = version.number};
    if (absent_at) {
      declaration.absent_at = kernel::ToTime(*absent_at);
    }
    const auto required_at = m_core.OnVersionDeclared(now, declaration);
    logging::Log(logging::kVersionDeclared,
                 {{"model", version.model},
                  {"version", std::to_string(version.number)},
                  {"revision", std::to_string(revision)},
                  {"maximum_age_ms",
                   absent_at ? Milliseconds(now - *declaration.absent_at)
                             : std::string()},
                  {"grace_ms", required_at ? Milliseconds(*required_at - now)
                                           : std::string()}});
    if (required_at) {
      m_peers.OnDeclarationRead(now, version.model, version.number,
                                declaration.absent_at, store_failed_for);
      TakePeerOutputs();
    }
  }

  static std::string Milliseconds(kernel::Duration duration) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration)
            .count());
  }

  void TakePeerOutputs() {
    for (peers::PeerOutput& output : m_peers.TakeOutputs()) {
      std::visit([this](auto& item) { this->Execute(item); }, output);
    }
  }

  void Execute(const peers::ExchangeReports& output) {
    const kernel::Time sent_at = kernel::Now();
    m_fetcher.Fetch(output.address,
                    {.method = "POST",
                     .target = std::string(kPeersPath),
                     .body = peers::ToText(MakeReport(sent_at)),
                     .maximum_answer_bytes = kMaximumPeerReportBytes},
                    kPeerTimeout,
                    [this, sent_at, address = output.address](
                        std::optional<exchange::FetchedAnswer> response) {
                      std::optional<peers::PeerReport> report;
                      if (response && response->status == kOk) {
                        report = peers::ParsePeerReport(response->body);
                        if (report) {
                          MergeReport(*report);
                        } else {
                          LogRejectedReport(response->body);
                        }
                      }
                      m_peers.OnResponse(kernel::Now(), sent_at, address,
                                         report);
                      TakePeerOutputs();
                    });
  }
  void Execute(const peers::DeclarationDated& output) {
    const auto required_at =
        m_core.OnVersionDated({.model = output.model,
                               .version = output.version,
                               .absent_at = output.absent_at});
    if (required_at) {
      const kernel::Time now = kernel::Now();
      logging::Log(logging::kVersionDated,
                   {{"model", output.model},
                    {"version", std::to_string(output.version)},
                    {"maximum_age_ms", Milliseconds(now - output.absent_at)},
                    {"grace_ms", Milliseconds(*required_at - now)},
                    {"reports", std::to_string(output.reports)},
                    {"store_lost_by_all", output.after_outage ? "yes" : "no"}});
    }
  }

  static void LogRejectedReport(std::string_view body) {
    logging::Log(logging::kMessageRejected,
                 {{"bytes", std::to_string(body.size())}});
  }

  void AnswerPeer(const exchange::ReceivedRequest& request,
                  exchange::CallerExchange& peer) {
    if (request.head.target != kPeersPath) {
      peer.Reply({kNotFound, {}}, "");
      return;
    }
    const auto report = peers::ParsePeerReport(request.body);
    if (!report) {
      LogRejectedReport(request.body);
      peer.Reply({kBadRequest, {}}, "");
      return;
    }
    m_peers.OnRequest(*report);
    MergeReport(*report);
    peer.Reply({kOk, {{"Content-Type", "application/json"}}},
               peers::ToText(MakeReport(kernel::Now())));
  }

  peers::PeerReport MakeReport(kernel::Time now) const {
    peers::PeerReport report = m_peers.MakeReport(now);
    const auto age = [now](kernel::Time time) {
      return std::max(
          std::chrono::duration_cast<std::chrono::milliseconds>(now - time),
          std::chrono::milliseconds(0));
    };
    for (const direct::SuspectEvidence& known : m_core.CrashEvidence(now)) {
      peers::SuspectReport suspect{.signature = known.signature};
      if (known.cleared_at) {
        suspect.cleared_age = age(*known.cleared_at);
      }
      for (const direct::CrashSighting& crash : known.crashes) {
        suspect.crashes.push_back(
            {crash.run, age(crash.seen_at), age(crash.began_at)});
      }
      report.suspects.push_back(std::move(suspect));
    }
    for (const routing::Demand& known : m_core.Demands(now)) {
      report.demands.push_back({known.entry, known.service,
                                known.calls_per_second,
                                age(known.measured_at)});
    }
    if (const auto since = m_core.ConfigurationInForceSince()) {
      report.configuration = {m_core.Configurations().Current().version,
                              age(*since)};
    }
    for (const direct::EndpointLimit& known : m_core.KnownEndpointLimits()) {
      report.limits.push_back({known.endpoint, known.incarnation,
                               known.requests_per_second, age(known.named_at)});
    }
    return report;
  }

  void MergeReport(const peers::PeerReport& report) {
    const kernel::Time now = kernel::Now();
    std::vector<direct::SuspectEvidence> evidence;
    for (const peers::SuspectReport& suspect : report.suspects) {
      direct::SuspectEvidence item{.signature = suspect.signature};
      if (suspect.cleared_age) {
        item.cleared_at = now - *suspect.cleared_age;
      }
      for (const peers::CrashReport& crash : suspect.crashes) {
        item.crashes.push_back(
            {crash.run, now - crash.age, now - crash.began_age});
      }
      evidence.push_back(std::move(item));
    }
    m_core.OnCrashEvidence(now, evidence);
    std::vector<routing::Demand> demands;
    for (const peers::DemandReport& demand : report.demands) {
      demands.push_back({demand.entry, demand.service, demand.calls_per_second,
                         now - demand.age});
    }
    m_core.OnDemands(now, demands);
    if (report.configuration) {
      m_core.OnPeerConfiguration(now, report.configuration->version,
                                 now - report.configuration->age);
    }
    std::vector<direct::EndpointLimit> limits;
    for (const peers::LimitReport& limit : report.limits) {
      limits.push_back({limit.endpoint, limit.incarnation,
                        limit.requests_per_second, now - limit.age});
    }
    m_core.OnEndpointLimits(now, limits);
  }

  // Lets the other entries know soon if this one has learned something.
  void PassOnNews() {
    const std::uint64_t revision =
        m_core.CrashEvidenceRevision() + m_core.EndpointLimitsRevision();
    if (revision != m_told_revision) {
      m_told_revision = revision;
      m_peers.OnNews();
    }
  }

  void ApplyBounds() {
    const direct::CallerLimits& caller_limits =
        m_core.Configurations().Current().caller_limits;
    m_callers.SetLimits({caller_limits.head_bytes, caller_limits.body_bytes,
                         caller_limits.head_timeout,
                         caller_limits.idle_timeout});
  }

  void OnEndpointOutput(dissemination::StoreOutput output) {
    const kernel::Time now = kernel::Now();
    bool changed = false;
    if (auto* snapshot = std::get_if<dissemination::PrefixSnapshot>(&output)) {
      std::vector<direct::ListedEndpoint> listed;
      for (const dissemination::StoreItem& item : snapshot->items) {
        if (auto endpoint = DecodeEndpoint(item)) {
          listed.push_back(std::move(*endpoint));
        }
      }
      m_list.OnSnapshot(now, listed, snapshot->revision, snapshot->era);
      changed = true;
    } else if (auto* changes =
                   std::get_if<dissemination::PrefixChanges>(&output)) {
      for (const dissemination::StoreItem& item : changes->items) {
        changed = OnEndpointItem(now, item) || changed;
      }
    } else if (const auto* answered =
                   std::get_if<dissemination::StoreAnswered>(&output)) {
      m_list.OnListAnswered(now, answered->requested_at);
    } else {
      LogStoreState(output, Platform::kEndpointPrefix,
                    m_endpoint_follower.Problem());
    }
    if (changed) {
      m_core.OnEndpoints(now, m_list.Endpoints());
      TakeOutputs();
    }
  }

  bool OnEndpointItem(kernel::Time now, const dissemination::StoreItem& item) {
    const std::string_view id = Platform::EndpointId(item.key);
    auto endpoint = item.removed ? std::nullopt : DecodeEndpoint(item);
    if (!endpoint) {
      logging::Log(logging::kInstanceLost,
                   {{"instance", std::string(id)},
                    {"revision", std::to_string(item.revision)}});
      return m_list.OnRemoved(now, id, item.revision, item.era);
    }
    const direct::ListedEndpoint* known = m_list.Find(id);
    if (known == nullptr || known->leaving != endpoint->leaving ||
        known->model_version != endpoint->model_version) {
      logging::Log(endpoint->leaving ? logging::kInstanceLeaving
                                     : logging::kInstanceJoined,
                   {{"instance", std::string(id)},
                    {"service", endpoint->service},
                    {"version", std::to_string(endpoint->model_version)},
                    {"revision", std::to_string(item.revision)}});
    }
    return m_list.OnUpdate(now, *endpoint);
  }

  std::optional<direct::ListedEndpoint> DecodeEndpoint(
      const dissemination::StoreItem& item) {
    kernel::Findings findings;
    auto endpoint = Platform::DecodeEndpoint(item, findings);
    m_journal.LogFindings(findings);
    return endpoint;
  }

  void LogStoreState(const dissemination::StoreOutput& output,
                     std::string_view prefix,
                     const std::string& problem) {
    if (const auto* changed =
            std::get_if<dissemination::StoreEraChanged>(&output)) {
      m_journal.CountStoreEra();
      LogEra(*changed, prefix);
    }
    if (std::holds_alternative<dissemination::StoreUnreachable>(output)) {
      logging::Log(logging::kStoreLost,
                   {{"prefix", std::string(prefix)}, {"problem", problem}});
    } else if (std::holds_alternative<dissemination::StoreRecovered>(output)) {
      logging::Log(logging::kStoreRegained, {{"prefix", std::string(prefix)}});
    }
  }

  void Tick() {
    const kernel::Time now = kernel::Now();
    if (m_tick_due) {
      m_journal.RecordDelay(
          std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                *m_tick_due));
    }
    m_core.OnEntryCount(m_peers.KnownPeers() + 1);
    m_core.OnTick(now);
    TakeOutputs();
    PassOnNews();
    m_peers.OnTick(now);
    TakePeerOutputs();
    m_load_collector.OnTick(now);
    if (now >= m_next_maintenance) {
      m_next_maintenance = now + kMaintenanceInterval;
      m_load_collector.SetEndpoints(now, m_core.ReportingEndpoints());
      m_journal.RecordLoadReports(now, m_load_collector);
      m_journal.RecordGauges(m_core.Gauges());
      CheckPausedAnswers(now);
      m_callers.CheckTimes(now);
      m_readiness.CheckTimes(now);
      m_metrics_server.CheckTimes(now);
      m_peer_server.CheckTimes(now);
      m_pool.CloseIdle(now);
      m_store_pool.CloseIdle(now);
      if (m_list.OnTick(now)) {
        m_core.OnEndpoints(now, m_list.Endpoints());
        TakeOutputs();
      }
    }
    if (m_stop_started && AdvanceStop(now)) {
      return;
    }
    m_tick.expires_after(kTickInterval);
    m_tick_due = m_tick.expiry();
    m_tick.async_wait([this](std::error_code error) {
      if (!error) {
        Tick();
      }
    });
  }

  // Returns whether the stop is complete.
  bool AdvanceStop(kernel::Time now) {
    const auto elapsed = now - *m_stop_started;
    m_callers.CloseIdle(now, kStopIdleTimeout);
    if (elapsed >= kLateArrivalTime) {
      m_callers.StopAccepting();
    }
    if (now >= m_stop_ends_at - kResponseMargin) {
      m_core.StopWaiting(now);
      TakeOutputs();
      m_callers.RefuseIncomplete(
          [this, now](const exchange::ReceivedRequest& received) {
            return RefuseUnread(now, received, direct::Reason::kStopping,
                                std::chrono::milliseconds(0));
          });
    }
    const bool idle = elapsed >= kLateArrivalTime &&
                      m_core.CallsInProgress() == 0 &&
                      m_callers.Connections() == 0;
    if (!idle && now < m_stop_ends_at) {
      return false;
    }
    LogStopEnd(now);
    m_core.EndCalls(now);
    TakeOutputs();
    m_context.stop();
    return true;
  }

  std::chrono::milliseconds MemoryRetryAfter() {
    return kMinimumMemoryRetryAfter +
           std::chrono::milliseconds(static_cast<std::int64_t>(
               m_random.Below(kMemoryRetryAfterSpread.count())));
  }

  // Refuses a request of which not all bytes have arrived. Reads no more of its
  // head than the answer needs.
  exchange::AnswerHead RefuseUnread(kernel::Time now,
                                    const exchange::ReceivedRequest& received,
                                    direct::Reason reason,
                                    std::chrono::milliseconds retry_after) {
    const exchange::RequestHead& head = received.head;
    const std::string_view attempt_id = Platform::Calls::AttemptId(head);
    RecordRefusal(now, attempt_id,
                  std::string(http::FindHeader(head.headers, "Host")) +
                      head.target.substr(0, head.target.find('?')),
                  received.received_at, reason);
    return Platform::Calls::EncodeGeneratedResponse(kUnavailable, attempt_id,
                                                    retry_after);
  }

  // Takes note of a request that was refused before the core saw it.
  void RecordRefusal(kernel::Time now,
                     std::string_view attempt_id,
                     std::string detail,
                     kernel::Time received_at,
                     direct::Reason reason) {
    direct::CallRecord record{
        .call = ++m_last_call, .status = kUnavailable, .reason = reason};
    record.attempt_id = attempt_id;
    record.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - received_at);
    record.detail = std::move(detail);
    m_journal.Record(now, record);
  }

  void LogStopEnd(kernel::Time now) {
    using std::chrono::milliseconds;
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - *m_stop_started);
    const std::vector<direct::CallRecord> cut = m_core.UnfinishedCalls(now);
    if (!cut.empty()) {
      logging::Log(logging::kCallsCut,
                   {{"instance", m_settings.entry.name},
                    {"calls", std::to_string(cut.size())},
                    {"reason", "the stop timeout expired"}});
    }
    for (const direct::CallRecord& record : cut) {
      m_journal.RecordCut(now, record, elapsed - record.elapsed);
    }
    logging::Log(logging::kStopEnded,
                 {{"instance", m_settings.entry.name},
                  {"elapsed_ms", std::to_string(elapsed.count())},
                  {"received", std::to_string(m_received_in_stop)},
                  {"cut", std::to_string(cut.size())},
                  {"connections", std::to_string(m_callers.Connections())},
                  {"connections_with_dropped_bytes",
                   std::to_string(m_callers.ConnectionsWithDroppedBytes())},
                  {"connections_with_unsent_bytes",
                   std::to_string(m_callers.ConnectionsWithUnsentBytes())}});
  }

  asio::io_context& m_context;
  EntryProcessSettings m_settings;
  direct::Entry m_core;
  CallJournal m_journal;
  exchange::EndpointPool m_pool;
  exchange::EndpointPool m_store_pool;
  exchange::Fetcher m_fetcher;
  std::map<direct::CallId, std::unique_ptr<Session>> m_sessions;
  exchange::MemoryAccount m_memory;
  PeerMemoryLog m_memory_log{m_settings.entry.name};
  exchange::CallerServer m_callers;
  exchange::CallerServer m_readiness;
  exchange::CallerServer m_metrics_server;
  direct::EndpointList m_list;
  StoreFollower<typename Platform::Store> m_operator_follower;
  StoreFollower<typename Platform::Store> m_endpoint_follower;
  exchange::CallerServer m_peer_server;
  peers::PeerExchange m_peers;
  std::uint64_t m_told_revision = 0;  // What peers were told of.
  LoadCollector m_load_collector;
  asio::steady_timer m_tick;
  kernel::Random m_random;
  kernel::Time m_next_maintenance{};
  std::optional<kernel::Time> m_tick_due;
  std::optional<kernel::Time> m_stop_started;
  kernel::Time m_stop_ends_at{};         // If a stop has started.
  std::uint64_t m_received_in_stop = 0;  // Requests.
  direct::CallId m_last_call = 0;
  bool m_ready = false;
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_ENTRY_PROCESS_H_
