#ifndef RADISHRUDDER_SERVING_AGENT_PROCESS_H_
#define RADISHRUDDER_SERVING_AGENT_PROCESS_H_

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/dissemination/instance_list_relay.h"
#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/exchange/fetcher.h"
#include "radishrudder/exchange/frame_links.h"
#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"
#include "radishrudder/serving/load_reporter.h"
#include "radishrudder/serving/peer_memory_log.h"
#include "radishrudder/serving/settings_change.h"
#include "radishrudder/serving/store_follower.h"
#include "radishrudder/staging/stager.h"

namespace radishrudder::serving {

// Encodes requests to the agent's endpoint and to the origin of weights, and
// decodes the endpoint's responses to orders.
template <typename T>
concept EndpointCodec =
    requires(const staging::VersionId& version,
             const staging::StagePiece& stage,
             const staging::ReadStagedPiece& read,
             const staging::OrderLoad& order,
             const std::optional<exchange::FetchedAnswer>& response) {
  { T::EncodeReport() } -> std::same_as<exchange::FetchRequest>;
  { T::EncodePieceList(version) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodePiece(version, 0) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeStage(stage) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeReadStaged(read) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeOrder(order) } -> std::same_as<exchange::FetchRequest>;
  { T::DecodeOrder(response) } -> std::same_as<staging::OrderResult>;
};

struct AgentProcessSettings {
  std::string instance{};
  std::string ip{};
  std::string data_centre{};
  std::string region{};
  std::map<std::string, std::string, std::less<>> regions{};
  std::string peers_address{};
  std::uint16_t peers_port = 0;  // The same on all instances.
  std::string store_address{};
  std::string endpoint_address{};
  std::string service{};
  double link_bytes_per_second = 0;
  staging::StagerSettings stager{};
  // What agents of other instances may make this process hold.
  exchange::MemoryLimits peers{.bytes = 32U << 20U};
};

// The process that runs beside an endpoint and supplies it with weights. Calls
// do not pass through it. Runs on one thread.
template <typename Platform>
requires EndpointCodec<typename Platform::Endpoint> &&
    StoreCodec<typename Platform::Store>
class AgentProcess {
 public:
  AgentProcess(asio::io_context& context,
               AgentProcessSettings settings,
               kernel::Random random)
      : m_context(context),
        m_settings(std::move(settings)),
        m_random(random),
        m_pool(context, {}),
        m_fetcher(context, m_pool),
        m_unkept_pool(context, {.maximum_idle = 0}),
        m_unkept_fetcher(context, m_unkept_pool),
        m_memory(m_settings.peers),
        m_links(context,
                m_memory,
                [this](std::string_view frame) { OnFrame(frame); }),
        m_version_follower(context,
                           m_fetcher,
                           {.address = m_settings.store_address,
                            .prefix = std::string(Platform::kVersionPrefix),
                            .reader = {.watch_wait = kWatchWait}},
                           kernel::Random(m_random.Next()),
                           [this](dissemination::StoreOutput output) {
                             OnVersionOutput(output);
                           }),
        m_instance_list({.self = {m_settings.ip, m_random.Next()},
                         .service = m_settings.service,
                         .region = m_settings.region,
                         .regions = m_settings.regions},
                        kernel::Random(m_random.Next())),
        m_load_reporter(
            context,
            m_settings.instance,
            [this](LoadReporter::Done done) { ReadLoad(std::move(done)); }),
        m_tick(context) {}

  std::error_code Start() {
    const std::error_code error = m_links.Listen(m_settings.peers_address);
    if (!error) {
      if (!m_settings.endpoint_address.empty()) {
        m_load_reporter.Listen(m_settings.peers_address);
      }
      m_version_follower.Start();
      Tick();
    }
    return error;
  }

  // Stops at once. Nothing has to be completed: peers request chunks from other
  // instances, and the endpoint keeps what is staged.
  void Stop() { m_context.stop(); }

  // Takes over new settings as far as a running process can change them.
  SettingsChange ApplySettings(const AgentProcessSettings& updated) {
    SettingsChange change;
    AgentProcessSettings& current = m_settings;
    // Both delays are shares of this limit.
    ApplySetting("version-switch-limit", current.stager.last_turn_delay,
                 updated.stager.last_turn_delay, change);
    current.stager.first_turn_delay = updated.stager.first_turn_delay;
    if (m_stager) {
      m_stager->SetTurnDelays(current.stager.first_turn_delay,
                              current.stager.last_turn_delay);
    }
    ApplySetting("peer-limits", current.peers, updated.peers, change);
    m_memory.SetLimits(current.peers);
    DeferSetting("instance", current.instance, updated.instance, change);
    DeferSetting("address", current.ip, updated.ip, change);
    DeferSetting("data-centre", current.data_centre, updated.data_centre,
                 change);
    DeferSetting("region", current.region, updated.region, change);
    DeferSetting("regions", current.regions, updated.regions, change);
    DeferSetting("peers-address", current.peers_address, updated.peers_address,
                 change);
    DeferSetting("store-address", current.store_address, updated.store_address,
                 change);
    DeferSetting("endpoint-address", current.endpoint_address,
                 updated.endpoint_address, change);
    DeferSetting("service", current.service, updated.service, change);
    DeferSetting("link-rate", current.link_bytes_per_second,
                 updated.link_bytes_per_second, change);
    return change;
  }

 private:
  // The response of a watch without changes only shows that the store is
  // reachable, which an agent does not have to know at once: the connection's
  // probes notice a store that fell silent, and other agents tell of versions
  // that this one has missed. The platform's limit is 30 s.
  static constexpr std::chrono::milliseconds kWatchWait{25000};
  // The configuration names the model and the origin, which hardly ever change.
  static constexpr std::chrono::milliseconds kConfigurationInterval{60000};
  // Doubles with each failed read: answers that are given up fill the link that
  // the next ones need.
  static constexpr std::chrono::milliseconds kConfigurationRetryInterval{1000};
  static constexpr std::chrono::milliseconds kMaximumConfigurationRetryInterval{
      8000};
  // A version that another agent has seen is read from the store if the watch
  // has not delivered it within this time.
  static constexpr std::chrono::milliseconds kMissedVersionDelay{500};
  // Reads for one version. The store may not have it: it came back from an
  // older copy, or the other agent is wrong. The watch goes on in any case.
  static constexpr std::uint32_t kMaximumMissedVersionReads = 5;
  static constexpr std::chrono::milliseconds kVersionReadTimeout{800};
  static constexpr std::chrono::milliseconds kMinimumTickInterval{20};
  static constexpr std::chrono::milliseconds kMaximumTickInterval{200};
  static constexpr std::chrono::milliseconds kEndpointTimeout{1000};
  // With the age of a verification, limits how old the verified pieces are when
  // the endpoint takes them.
  static constexpr std::chrono::milliseconds kOrderTimeout{800};
  static constexpr std::chrono::milliseconds kOriginTimeout{2500};
  // Connections to the origin that an instance may use at the same time.
  static constexpr std::size_t kOriginConnections = 2;
  // A version must reach all instances within seconds: transfer timeouts are a
  // quarter of the default, and the origin is retried soon.
  static constexpr double kTransferTimeoutFactor = 0.25;
  // Few chunks are in transit to one instance at a time, because they delay its
  // calls when its link becomes slow. docs/design/transfer.md has the cost.
  static constexpr std::uint32_t kNeighbours = 4;
  static constexpr std::uint32_t kRequestsPerNeighbour = 1;
  static constexpr std::chrono::milliseconds kMaximumOriginBackoff{800};
  static constexpr std::chrono::milliseconds kListTimeout{1500};
  // Of an answer that keeps arriving.
  static constexpr std::chrono::milliseconds kSlowAnswerTimeout{15000};
  static constexpr std::uint64_t kFirstVersion = 1;
  static constexpr int kOk = 200;
  static constexpr int kFirstFailure = 300;
  // A server error does not say whether the request was executed.
  static constexpr int kFirstServerError = 500;
  // Share of this instance's link that chunks may use.
  static constexpr double kLinkShare = 0.9;

  void OnVersionOutput(const dissemination::StoreOutput& output) {
    const std::vector<dissemination::StoreItem>* items = nullptr;
    if (const auto* snapshot =
            std::get_if<dissemination::PrefixSnapshot>(&output)) {
      items = &snapshot->items;
    } else if (const auto* changes =
                   std::get_if<dissemination::PrefixChanges>(&output)) {
      items = &changes->items;
    } else if (std::holds_alternative<dissemination::StoreUnreachable>(
                   output)) {
      logging::Log(logging::kStoreLost,
                   {{"prefix", std::string(Platform::kVersionPrefix)},
                    {"problem", m_version_follower.Problem()}});
    } else if (std::holds_alternative<dissemination::StoreRecovered>(output)) {
      logging::Log(logging::kStoreRegained,
                   {{"prefix", std::string(Platform::kVersionPrefix)}});
    } else if (const auto* changed =
                   std::get_if<dissemination::StoreEraChanged>(&output)) {
      LogEra(*changed, Platform::kVersionPrefix);
    }
    if (items == nullptr) {
      return;
    }
    const bool is_snapshot =
        std::holds_alternative<dissemination::PrefixSnapshot>(output);
    for (const dissemination::StoreItem& item : *items) {
      if (!item.removed && Platform::IsVersion(item.key)) {
        OnVersion(item, !is_snapshot);
      }
    }
    m_versions_read = m_versions_read || is_snapshot;
    AssumeFirstVersion();
  }

  // Endpoints start with the first version even if the store does not declare
  // it.
  void AssumeFirstVersion() {
    if (m_versions_read && m_stager &&
        m_declared.find(m_model) == m_declared.end()) {
      m_declared[m_model] = kFirstVersion;
      m_stager->OnVersionDeclared(kernel::Now(), {m_model, kFirstVersion},
                                  /*newly_declared=*/false);
      TakeOutputs();
    }
  }

  void OnConfiguration(const dissemination::StoreItem& item) {
    kernel::Findings findings;
    auto configuration = Platform::DecodeConfiguration(item.value, findings);
    LogFindings(findings);
    if (!configuration || !m_configuration.Apply(std::move(*configuration))) {
      return;
    }
    const direct::ServiceRule* service =
        m_configuration.FindService(m_settings.service);
    if (service != nullptr && service->engine) {
      m_model = service->engine->model;
    }
    for (const direct::ServiceRule& rule : m_configuration.Current().services) {
      if (!rule.origin.empty()) {
        m_origin = rule;
      }
    }
    EnsureStager();
  }

  void OnVersion(const dissemination::StoreItem& item, bool newly_declared) {
    kernel::Findings findings;
    const auto version = Platform::DecodeVersion(item.value, findings);
    LogFindings(findings);
    if (!version) {
      return;
    }
    logging::Log(logging::kVersionDeclared,
                 {{"model", version->model},
                  {"version", std::to_string(version->number)},
                  {"revision", std::to_string(item.revision)}});
    m_declared[version->model] =
        std::max(m_declared[version->model], version->number);
    if (m_stager && version->model == m_model) {
      m_stager->OnVersionDeclared(kernel::Now(), *version, newly_declared);
      TakeOutputs();
    }
  }

  // Creates the stager as soon as the model and the origin's region are known.
  void EnsureStager() {
    if (m_stager || m_model.empty() || m_origin.origin.empty()) {
      return;
    }
    staging::StagerSettings settings = m_settings.stager;
    weights::TransferSettings& transfer = settings.transfer;
    kernel::Random incarnation(kernel::SystemEntropy());
    transfer.has_store = false;
    transfer.maximum_source_backoff = kMaximumOriginBackoff;
    transfer.timeout_factor = kTransferTimeoutFactor;
    transfer.neighbours = kNeighbours;
    transfer.maximum_requests_per_neighbour = kRequestsPerNeighbour;
    transfer.self = {m_settings.ip, incarnation.Next()};
    transfer.data_centre = m_settings.data_centre;
    transfer.region = m_settings.region;
    transfer.store_region = RegionOf(m_origin.origin_data_centre);
    transfer.origin_bytes_per_second = m_origin.origin_bytes_per_second;
    transfer.instance_link_bytes_per_second =
        m_settings.link_bytes_per_second * kLinkShare;
    m_stager = std::make_unique<staging::Stager>(
        std::move(settings), kernel::Random(m_random.Next()), kernel::Now());
    const auto declared = m_declared.find(m_model);
    if (declared != m_declared.end()) {
      m_stager->OnVersionDeclared(kernel::Now(), {m_model, declared->second},
                                  /*newly_declared=*/false);
    }
    ApplyList();
    AssumeFirstVersion();
    TakeOutputs();
  }

  // Requests a prefix of the store once; the answer may be some seconds old if
  // `stale`. Calls `done` with the items, or with nothing and the problem.
  template <typename Done>
  void ReadOnce(std::string_view prefix,
                bool stale,
                exchange::FetchTimeouts timeouts,
                Done done) {
    m_fetcher.Fetch(
        m_settings.store_address,
        stale ? Platform::Store::EncodeStalePage(prefix, {})
              : Platform::Store::EncodePage(prefix, {}),
        timeouts,
        [prefix = std::string(prefix),
         done](std::optional<exchange::FetchedAnswer> response) {
          std::string problem = "no answer";
          auto decoded = response ? Platform::Store::Decode(*response, problem)
                                  : std::nullopt;
          if (!decoded) {
            logging::Log(logging::kHttpFailed,
                         {{"target", prefix}, {"problem", problem}});
            done(std::optional<std::vector<dissemination::StoreItem>>());
          } else {
            done(std::optional(std::move(decoded->items)));
          }
        });
  }

  void ReadConfiguration() {
    m_next_configuration = kernel::Time::max();
    ReadOnce(Platform::kConfigurationKey, /*stale=*/true,
             {kListTimeout, kSlowAnswerTimeout}, [this](const auto& items) {
               for (const dissemination::StoreItem& item :
                    items.value_or(std::vector<dissemination::StoreItem>())) {
                 if (Platform::IsConfiguration(item.key)) {
                   OnConfiguration(item);
                 }
               }
               m_configuration_retry_interval =
                   items ? kConfigurationRetryInterval
                         : std::min(2 * m_configuration_retry_interval,
                                    kMaximumConfigurationRetryInterval);
               m_next_configuration =
                   kernel::Now() + Jitter(m_stager
                                              ? kConfigurationInterval
                                              : m_configuration_retry_interval);
             });
  }

  void ReadMissedVersion() {
    m_missed_version_read_at = kernel::Time::max();
    if (m_declared[m_model] >= m_missed_version ||
        ++m_missed_version_reads > kMaximumMissedVersionReads) {
      return;
    }
    ReadOnce(Platform::kVersionPrefix, /*stale=*/false, kVersionReadTimeout,
             [this](const auto& items) {
               for (const dissemination::StoreItem& item :
                    items.value_or(std::vector<dissemination::StoreItem>())) {
                 if (Platform::IsVersion(item.key)) {
                   OnVersion(item, /*newly_declared=*/true);
                 }
               }
               if (m_declared[m_model] < m_missed_version) {
                 m_missed_version_read_at =
                     kernel::Now() + Jitter(kMissedVersionDelay);
               }
             });
  }

  // Half to one and a half times the duration, so that agents do not act at the
  // same time.
  kernel::Duration Jitter(kernel::Duration duration) {
    return std::chrono::duration_cast<kernel::Duration>(
        duration * (0.5 + m_random.Uniform()));
  }

  std::string RegionOf(const std::string& data_centre) const {
    const auto found = m_settings.regions.find(data_centre);
    return found == m_settings.regions.end() ? data_centre : found->second;
  }

  void TakeListOutputs() {
    for (dissemination::RelayOutput& output : m_instance_list.TakeOutputs()) {
      if (auto* send = std::get_if<wire::Send>(&output)) {
        Execute(*send);
      } else if (std::holds_alternative<dissemination::ReadInstanceList>(
                     output)) {
        m_list_requested_at = kernel::Now();
        m_listed.clear();
        m_listed_malformed.clear();
        ReadListPage({});
      } else {
        ApplyList();
      }
    }
  }

  void ReadListPage(const dissemination::ReadPage& page) {
    m_list_page_after = page.after;
    m_fetcher.Fetch(
        m_settings.store_address,
        Platform::Store::EncodeStalePage(Platform::kEndpointPrefix, page),
        {kListTimeout, kSlowAnswerTimeout},
        [this](std::optional<exchange::FetchedAnswer> response) {
          OnListPage(response);
        });
  }

  void OnListPage(const std::optional<exchange::FetchedAnswer>& response) {
    std::string problem = "no answer";
    const auto decoded =
        response ? Platform::Store::Decode(*response, problem) : std::nullopt;
    const bool repeats = decoded && decoded->has_more &&
                         !decoded->items.empty() &&
                         decoded->items.back().key <= m_list_page_after;
    if (repeats) {
      problem = "a page that does not go beyond the preceding one";
    }
    if (!decoded || repeats) {
      // The previous list stays in use.
      logging::Log(logging::kHttpFailed,
                   {{"target", std::string(Platform::kEndpointPrefix)},
                    {"problem", problem}});
      m_instance_list.OnListRead(kernel::Now(), m_list_requested_at,
                                 std::nullopt);
      TakeListOutputs();
      return;
    }
    for (const dissemination::StoreItem& item : decoded->items) {
      kernel::Findings findings;
      const auto endpoint = Platform::DecodeEndpoint(item, findings);
      if (endpoint && endpoint->service == m_settings.service) {
        // An endpoint's agent runs on the same machine and has the same IP.
        m_listed.push_back({.instance = endpoint->address.substr(
                                0, endpoint->address.find(':')),
                            .data_centre = endpoint->data_centre,
                            .leaving = endpoint->leaving});
      }
      if (!findings.Empty()) {
        OnMalformedEntry(item, findings);
      }
    }
    if (decoded->has_more && !decoded->items.empty()) {
      ReadListPage({decoded->items.back().key});
      return;
    }
    m_malformed_entries = std::exchange(m_listed_malformed, {});
    m_instance_list.OnListRead(kernel::Now(), m_list_requested_at,
                               std::exchange(m_listed, {}));
    TakeListOutputs();
  }

  // The list is read every few seconds: logs an entry only once it has changed.
  void OnMalformedEntry(const dissemination::StoreItem& item,
                        const kernel::Findings& findings) {
    const auto known = m_malformed_entries.find(item.key);
    if (known == m_malformed_entries.end() || known->second != item.revision) {
      LogFindings(findings);
    }
    m_listed_malformed[item.key] = item.revision;
  }

  void ApplyList() {
    if (!m_stager || !m_instance_list.ReadAt()) {
      return;
    }
    std::vector<weights::TransferPeer> peers;
    m_origin_region_instances = 0;
    for (const dissemination::RelayedInstance& instance :
         m_instance_list.Instances()) {
      peers.push_back({.instance = instance.instance,
                       .data_centre = instance.data_centre,
                       .region = RegionOf(instance.data_centre),
                       .alive = !instance.leaving});
      m_origin_region_instances +=
          peers.back().region == RegionOf(m_origin.origin_data_centre) ? 1 : 0;
    }
    m_stager->OnPeers(kernel::Now(), std::move(peers));
    TakeOutputs();
  }

  void OnFrame(std::string_view frame) {
    wire::Envelope message;
    if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
      logging::Log(logging::kMessageRejected,
                   {{"bytes", std::to_string(frame.size())}});
      return;
    }
    if (m_instance_list.OnMessage(kernel::Now(), message)) {
      TakeListOutputs();
    } else if (m_stager) {
      m_stager->OnMessage(kernel::Now(), message);
      TakeOutputs();
    }
  }

  void TakeOutputs() {
    for (staging::StagerOutput& output : m_stager->TakeOutputs()) {
      std::visit([this](auto& item) { this->Execute(item); }, output);
    }
  }

  void Execute(wire::Send& output) {
    m_links.Send(output.to + ":" + std::to_string(m_settings.peers_port),
                 output.message.SerializeAsString());
  }
  exchange::Fetcher& OriginFetcher() {
    const std::size_t limit = m_origin.maximum_connections;
    const bool scarce =
        limit > 0 && m_origin_region_instances * kOriginConnections > limit;
    return scarce ? m_unkept_fetcher : m_fetcher;
  }

  void Execute(staging::FetchPieceList& output) {
    const staging::VersionId version = output.version;
    OriginFetcher().Fetch(
        m_origin.origin, Platform::Endpoint::EncodePieceList(version),
        kOriginTimeout,
        [this, version](std::optional<exchange::FetchedAnswer> response) {
          std::optional<staging::PieceList> list;
          LogIfFailed("piece list of version " + std::to_string(version.number),
                      response);
          if (response && response->status == kOk) {
            kernel::Findings findings;
            list = Platform::DecodePieceList(version, response->body, findings);
            LogFindings(findings);
          }
          m_stager->OnPieceList(kernel::Now(), version, std::move(list));
          TakeOutputs();
        });
  }
  void Execute(staging::FetchPiece& output) {
    const staging::FetchPiece fetch = output;
    OriginFetcher().Fetch(
        m_origin.origin,
        Platform::Endpoint::EncodePiece(fetch.version, fetch.index),
        kOriginTimeout,
        [this, fetch](std::optional<exchange::FetchedAnswer> response) {
          LogIfFailed("piece " + std::to_string(fetch.index) + " of version " +
                          std::to_string(fetch.version.number),
                      response);
          m_stager->OnPiece(kernel::Now(), fetch.version, fetch.index,
                            BodyOf(std::move(response)));
          TakeOutputs();
        });
  }
  void Execute(staging::StagePiece& output) {
    m_fetcher.Fetch(m_settings.endpoint_address,
                    Platform::Endpoint::EncodeStage(output), kEndpointTimeout,
                    [this, access = output.access](
                        std::optional<exchange::FetchedAnswer> response) {
                      m_stager->OnPieceStaged(
                          kernel::Now(), access,
                          !response || response->status >= kFirstServerError
                              ? staging::StageResult::kNoResponse
                          : response->status < kFirstFailure
                              ? staging::StageResult::kStored
                              : staging::StageResult::kRefused);
                      TakeOutputs();
                    });
  }
  void Execute(staging::ReadStagedPiece& output) {
    m_fetcher.Fetch(m_settings.endpoint_address,
                    Platform::Endpoint::EncodeReadStaged(output),
                    kEndpointTimeout,
                    [this, access = output.access](
                        std::optional<exchange::FetchedAnswer> response) {
                      m_stager->OnStagedPieceRead(kernel::Now(), access,
                                                  BodyOf(std::move(response)));
                      TakeOutputs();
                    });
  }
  void Execute(staging::RequestReport&) {
    m_fetcher.Fetch(m_settings.endpoint_address,
                    Platform::Endpoint::EncodeReport(), kEndpointTimeout,
                    [this](std::optional<exchange::FetchedAnswer> response) {
                      staging::EndpointReport report;
                      if (response && response->status == kOk) {
                        kernel::Findings findings;
                        report =
                            Platform::DecodeReport(response->body, findings);
                        LogFindings(findings);
                      }
                      m_stager->OnReport(kernel::Now(), report);
                      TakeOutputs();
                    });
  }
  void Execute(staging::OpenOrderConnection& output) {
    m_pool.CancelReservation(m_order_connection);
    m_order_connection = m_pool.Reserve(
        m_settings.endpoint_address, output.may_be_reused,
        [this, connection = output.connection](bool open) {
          m_stager->OnOrderConnection(kernel::Now(), connection, open);
          TakeOutputs();
        });
  }
  // The stager orders only on the connection that it opened last.
  void Execute(staging::OrderLoad& output) {
    const bool sent = m_fetcher.FetchReserved(
        m_order_connection, m_settings.endpoint_address,
        Platform::Endpoint::EncodeOrder(output), kOrderTimeout,
        [this, connection = output.connection](
            std::optional<exchange::FetchedAnswer> response) {
          const staging::OrderResult result =
              Platform::Endpoint::DecodeOrder(response);
          m_load_reporter.OnOrderResult(kernel::Now(), result);
          m_stager->OnOrderResult(kernel::Now(), connection, result);
          TakeOutputs();
        });
    if (sent) {
      m_load_reporter.OnOrderSent(kernel::Now());
      return;
    }
    // The stager must not hear of the result while its outputs are taken.
    asio::post(m_context, [this, connection = output.connection] {
      m_stager->OnOrderResult(kernel::Now(), connection,
                              staging::OrderResult::kNotSent);
      TakeOutputs();
    });
  }
  // Independent of the stager's requests for the report, so that it sees the
  // same results as without subscribers.
  void ReadLoad(LoadReporter::Done done) {
    m_fetcher.Fetch(
        m_settings.endpoint_address, Platform::Endpoint::EncodeReport(),
        kEndpointTimeout,
        [this, done = std::move(done)](
            std::optional<exchange::FetchedAnswer> response) {
          kernel::Findings findings;
          done(response && response->status == kOk
                   ? Platform::DecodeReport(response->body, findings)
                   : staging::EndpointReport());
          // A malformed report is read several times in a second.
          const bool malformed = !findings.Items().empty();
          if (malformed && !m_malformed_load) {
            LogFindings(findings);
          }
          m_malformed_load = malformed;
        });
  }
  // The next read of the declarations finds the version.
  void Execute(staging::NewerVersionSeen& output) {
    logging::Log(logging::kNewerVersionSeen,
                 {{"instance", m_settings.instance},
                  {"model", output.version.model},
                  {"version", std::to_string(output.version.number)}});
    m_missed_version = output.version.number;
    m_missed_version_reads = 0;
    m_missed_version_read_at = kernel::Now() + Jitter(kMissedVersionDelay);
  }
  void Execute(staging::ProgressReport& output) {
    const auto age = [](std::optional<std::chrono::milliseconds> time) {
      return time ? std::to_string(time->count()) : std::string();
    };
    const std::string version = std::to_string(output.version.number);
    if (!output.facts) {
      logging::Log(EventOf(output.kind), {{"instance", m_settings.instance},
                                          {"model", output.version.model},
                                          {"version", version},
                                          {"detail", output.detail}});
      return;
    }
    const staging::StagingFacts& facts = *output.facts;
    logging::Log(
        EventOf(output.kind),
        {{"instance", m_settings.instance},
         {"model", output.version.model},
         {"version", version},
         {"detail", output.detail},
         {"endpoint_started_at", std::to_string(facts.process_started_at_ms)},
         {"accepted_orders", std::to_string(facts.accepted_orders)},
         {"verified_pieces", std::to_string(facts.verified_pieces)},
         {"unanswered_accesses", std::to_string(facts.unanswered_accesses)},
         {"verification_age_ms", age(facts.verification_age)},
         {"order_age_ms", age(facts.order_age)}});
  }

  static void LogIfFailed(
      std::string_view target,
      const std::optional<exchange::FetchedAnswer>& response) {
    if (!response || response->status != kOk) {
      logging::Log(
          logging::kHttpFailed,
          {{"target", std::string(target)},
           {"problem", response ? "status " + std::to_string(response->status)
                                : "no answer"}});
    }
  }

  static std::string BodyOf(std::optional<exchange::FetchedAnswer> response) {
    return response && response->status == kOk ? std::move(response->body)
                                               : std::string();
  }

  static const logging::Event& EventOf(staging::ProgressReport::Kind kind) {
    switch (kind) {
      case staging::ProgressReport::Kind::kDeclared:
        return logging::kTransferStarted;
      case staging::ProgressReport::Kind::kListReceived:
        return logging::kPieceListKnown;
      case staging::ProgressReport::Kind::kPieceRejected:
        return logging::kChunkCorrupted;
      case staging::ProgressReport::Kind::kComplete:
        return logging::kTransferComplete;
      case staging::ProgressReport::Kind::kStaged:
        return logging::kVersionStaged;
      case staging::ProgressReport::Kind::kStagedPieceCorrupted:
        return logging::kStagedChunkRepaired;
      case staging::ProgressReport::Kind::kOrdered:
        return logging::kOrderSent;
      case staging::ProgressReport::Kind::kOrderRefused:
        return logging::kOrderRefused;
      case staging::ProgressReport::Kind::kOrderAnswered:
        return logging::kOrderAnswered;
      case staging::ProgressReport::Kind::kTargetChanged:
        return logging::kStagingTargetChanged;
      case staging::ProgressReport::Kind::kRunning:
        return logging::kVersionRunning;
      case staging::ProgressReport::Kind::kEndpointRestarted:
        break;
    }
    return logging::kEndpointRestarted;
  }

  void LogFindings(const kernel::Findings& findings) {
    for (const kernel::Finding& finding : findings.Items()) {
      logging::Log(logging::kDocumentRejected,
                   {{"finding", kernel::Format(finding)}});
    }
  }

  void Tick() {
    const kernel::Time now = kernel::Now();
    m_instance_list.OnTick(now);
    TakeListOutputs();
    if (now >= m_next_configuration) {
      ReadConfiguration();
    }
    if (now >= m_missed_version_read_at) {
      ReadMissedVersion();
    }
    if (now >= m_next_idle_check) {
      m_next_idle_check = now + kMaximumTickInterval;
      m_pool.CloseIdle(now);
      m_memory.Enforce(now);
      m_memory_log.OnTick(now, m_memory);
    }
    kernel::Duration wait = kMaximumTickInterval;
    if (m_stager) {
      if (now >= m_stager->NextTick()) {
        m_stager->OnTick(now);
        TakeOutputs();
      }
      wait = std::clamp<kernel::Duration>(m_stager->NextTick() - now,
                                          kMinimumTickInterval,
                                          kMaximumTickInterval);
    }
    m_tick.expires_after(wait);
    m_tick.async_wait([this](std::error_code error) {
      if (!error) {
        Tick();
      }
    });
  }

  asio::io_context& m_context;
  AgentProcessSettings m_settings;
  kernel::Random m_random;
  exchange::EndpointPool m_pool;
  exchange::Fetcher m_fetcher;
  // For an origin that accepts fewer connections than its region's instances
  // would keep: idle ones would keep out those that still have chunks to fetch.
  exchange::EndpointPool m_unkept_pool;
  exchange::Fetcher m_unkept_fetcher;
  exchange::MemoryAccount m_memory;
  PeerMemoryLog m_memory_log{m_settings.instance};
  exchange::FrameLinks m_links;
  StoreFollower<typename Platform::Store> m_version_follower;
  dissemination::InstanceListRelay m_instance_list;
  LoadReporter m_load_reporter;
  exchange::EndpointPool::ReservationId m_order_connection = 0;
  bool m_malformed_load = false;  // The latest reading.
  asio::steady_timer m_tick;
  direct::ConfigurationTable m_configuration;
  direct::ServiceRule m_origin;
  std::size_t m_origin_region_instances = 0;  // That are listed.
  std::string m_model;
  std::map<std::string, std::uint64_t> m_declared;
  std::unique_ptr<staging::Stager> m_stager;
  std::vector<dissemination::RelayedInstance> m_listed;  // Pages read so far.
  // Revisions of the entries that do not have the platform's format: of the
  // list before, and of the pages read so far.
  std::map<std::string, std::uint64_t, std::less<>> m_malformed_entries;
  std::map<std::string, std::uint64_t, std::less<>> m_listed_malformed;
  kernel::Time m_list_requested_at{};
  bool m_versions_read = false;   // All declarations were read once.
  std::string m_list_page_after;  // Key after which the page begins.
  kernel::Time m_next_configuration{};
  std::chrono::milliseconds m_configuration_retry_interval =
      kConfigurationRetryInterval;
  std::uint64_t m_missed_version = 0;
  std::uint32_t m_missed_version_reads = 0;
  kernel::Time m_missed_version_read_at = kernel::Time::max();
  kernel::Time m_next_idle_check{};
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_AGENT_PROCESS_H_
