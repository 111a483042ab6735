#ifndef RADISHRUDDER_SERVING_AGENT_PROCESS_H_
#define RADISHRUDDER_SERVING_AGENT_PROCESS_H_

#include <algorithm>
#include <asio/io_context.hpp>
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
#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/exchange/fetcher.h"
#include "radishrudder/exchange/frame_links.h"
#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"
#include "radishrudder/serving/store_follower.h"
#include "radishrudder/staging/stager.h"

namespace radishrudder::serving {

// How the endpoint beside an agent and the origin of weights are spoken to.
template <typename T>
concept EndpointCodec =
    requires(const staging::VersionName& version,
             const staging::StagePiece& stage,
             const staging::ReadStaged& read,
             const staging::OrderLoad& order,
             const std::optional<exchange::FetchedAnswer>& answer) {
  { T::EncodeReport() } -> std::same_as<exchange::FetchRequest>;
  { T::EncodePieceList(version) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodePiece(version, 0) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeStage(stage) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeReadStaged(read) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeOrder(order) } -> std::same_as<exchange::FetchRequest>;
  { T::DecodeOrder(answer) } -> std::same_as<staging::OrderResult>;
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
};

// The process beside an endpoint that brings weights to it, on one thread.
// Calls go past it.
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
        m_links(context, [this](std::string_view frame) { OnFrame(frame); }),
        m_operator_follower(context,
                            m_fetcher,
                            {.address = m_settings.store_address,
                             .prefix = std::string(Platform::kOperatorPrefix),
                             .reader = {.watch_wait = kWatchWait}},
                            kernel::Random(m_random.Next()),
                            [this](dissemination::StoreOutput output) {
                              OnOperatorNews(output);
                            }),
        m_tick(context) {}

  std::error_code Start() {
    const std::error_code error = m_links.Listen(m_settings.peers_address);
    if (!error) {
      m_operator_follower.Start();
      Tick();
    }
    return error;
  }

  // Nothing has to be finished: peers ask others, the endpoint keeps what is
  // staged.
  void Stop() { m_context.stop(); }

 private:
  // The answer of a watch without news only shows that the store lives, which
  // an agent need not know at once.
  static constexpr std::chrono::milliseconds kWatchWait{4000};
  static constexpr std::chrono::milliseconds kTickInterval{20};
  static constexpr std::chrono::milliseconds kRestInterval{200};
  // Time between two reads of the list of instances while a version spreads,
  // and otherwise.
  static constexpr std::chrono::milliseconds kListWhileSpreading{1000};
  static constexpr std::chrono::milliseconds kListAtRest{4000};
  static constexpr std::chrono::milliseconds kLocalTimeout{1000};
  static constexpr std::chrono::milliseconds kOriginTimeout{2500};
  // A version has seconds to spread: silence counts soon, and the origin is
  // asked again soon.
  static constexpr double kTransferPatience = 0.25;
  // Chunks on their way to one instance delay its calls on a link that became
  // narrow: few at once. docs/design/transfer.md has what that costs.
  static constexpr std::uint32_t kNeighbours = 4;
  static constexpr std::uint32_t kRequestsPerNeighbour = 1;
  static constexpr std::chrono::milliseconds kLongestOriginRest{800};
  static constexpr std::chrono::milliseconds kListTimeout{1500};
  static constexpr std::uint64_t kFirstVersion = 1;
  static constexpr int kOk = 200;
  static constexpr int kFirstFailure = 300;
  // Part of the own link that chunks may take.
  static constexpr double kLinkShare = 0.9;

  void OnOperatorNews(const dissemination::StoreOutput& output) {
    const std::vector<dissemination::StoreItem>* items = nullptr;
    if (const auto* whole = std::get_if<dissemination::WholePrefix>(&output)) {
      items = &whole->items;
    } else if (const auto* changes =
                   std::get_if<dissemination::PrefixChanges>(&output)) {
      items = &changes->items;
    } else if (std::holds_alternative<dissemination::StoreLost>(output)) {
      logging::Log(logging::kStoreLost,
                   {{"prefix", std::string(Platform::kOperatorPrefix)},
                    {"problem", m_operator_follower.Problem()}});
    } else if (std::holds_alternative<dissemination::StoreRegained>(output)) {
      logging::Log(logging::kStoreRegained,
                   {{"prefix", std::string(Platform::kOperatorPrefix)}});
    }
    if (items == nullptr) {
      return;
    }
    const bool whole =
        std::holds_alternative<dissemination::WholePrefix>(output);
    // The configuration names the model; versions make sense only after it.
    for (const dissemination::StoreItem& item : *items) {
      if (!item.removed && Platform::IsConfiguration(item.key)) {
        OnConfiguration(item);
      }
    }
    for (const dissemination::StoreItem& item : *items) {
      if (!item.removed && Platform::IsVersion(item.key)) {
        OnVersion(item, !whole);
      }
    }
    m_operator_read = m_operator_read || whole;
    SupposeFirstVersion();
  }

  // Endpoints begin with the first version without its being declared.
  void SupposeFirstVersion() {
    if (m_operator_read && m_stager &&
        m_declared.find(m_model) == m_declared.end()) {
      m_declared[m_model] = kFirstVersion;
      m_stager->OnDeclared(kernel::Now(), {m_model, kFirstVersion},
                           /*just_now=*/false);
      TakeOutputs();
    }
  }

  void OnConfiguration(const dissemination::StoreItem& item) {
    kernel::Findings findings;
    auto configuration = Platform::DecodeConfiguration(item.value, findings);
    TellFindings(findings);
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

  void OnVersion(const dissemination::StoreItem& item, bool just_now) {
    kernel::Findings findings;
    const auto version = Platform::DecodeVersion(item.value, findings);
    TellFindings(findings);
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
      m_next_list = kernel::Now();
      m_stager->OnDeclared(kernel::Now(), *version, just_now);
      TakeOutputs();
    }
  }

  // The stager needs to know the origin's region and the model.
  void EnsureStager() {
    if (m_stager || m_model.empty() || m_origin.origin.empty()) {
      return;
    }
    staging::StagerSettings settings = m_settings.stager;
    weights::TransferSettings& transfer = settings.transfer;
    kernel::Random incarnation(kernel::SystemEntropy());
    transfer.has_store = false;
    transfer.longest_source_rest = kLongestOriginRest;
    transfer.patience = kTransferPatience;
    transfer.neighbours = kNeighbours;
    transfer.requests_per_neighbour = kRequestsPerNeighbour;
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
      m_stager->OnDeclared(kernel::Now(), {m_model, declared->second},
                           /*just_now=*/false);
    }
    TakeOutputs();
  }

  std::string RegionOf(const std::string& data_centre) const {
    const auto found = m_settings.regions.find(data_centre);
    return found == m_settings.regions.end() ? data_centre : found->second;
  }

  void ReadList() {
    m_list_asked = true;
    m_listed.clear();
    ReadListPage({});
  }

  void ReadListPage(const dissemination::ReadPage& page) {
    m_fetcher.Fetch(
        m_settings.store_address,
        Platform::Store::EncodeOldPage(Platform::kEndpointPrefix, page),
        kListTimeout, [this](std::optional<exchange::FetchedAnswer> answer) {
          OnListPage(answer);
        });
  }

  void OnListPage(const std::optional<exchange::FetchedAnswer>& answer) {
    std::string problem = "no answer";
    const auto decoded =
        answer ? Platform::Store::Decode(*answer, problem) : std::nullopt;
    if (!decoded) {
      // The list before it stays; the next read comes soon.
      logging::Log(logging::kHttpFailed,
                   {{"target", std::string(Platform::kEndpointPrefix)},
                    {"problem", problem}});
      m_list_asked = false;
      m_next_list = kernel::Now() + kListWhileSpreading;
      return;
    }
    for (const dissemination::StoreItem& item : decoded->items) {
      kernel::Findings findings;
      if (auto endpoint = Platform::DecodeEndpoint(item, findings)) {
        m_listed.push_back(std::move(*endpoint));
      }
      TellFindings(findings);
    }
    if (decoded->has_more && !decoded->items.empty()) {
      ReadListPage({decoded->items.back().key});
      return;
    }
    m_list_asked = false;
    m_next_list =
        kernel::Now() + (m_spreading ? kListWhileSpreading : kListAtRest);
    TakeList();
  }

  void TakeList() {
    if (!m_stager) {
      return;
    }
    std::vector<weights::TransferPeer> peers;
    for (const direct::ListedEndpoint& endpoint : m_listed) {
      if (endpoint.service == m_settings.service) {
        // The agent stands on the endpoint's machine.
        peers.push_back(
            {.instance = endpoint.address.substr(0, endpoint.address.find(':')),
             .data_centre = endpoint.data_centre,
             .region = RegionOf(endpoint.data_centre),
             .alive = !endpoint.leaving});
      }
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
    if (m_stager) {
      m_stager->OnMessage(kernel::Now(), message);
      TakeOutputs();
    }
  }

  void TakeOutputs() {
    for (staging::StagerOutput& output : m_stager->TakeOutputs()) {
      std::visit([this](auto& item) { this->Carry(item); }, output);
    }
  }

  void Carry(wire::Send& output) {
    m_links.Send(output.to + ":" + std::to_string(m_settings.peers_port),
                 output.message.SerializeAsString());
  }
  void Carry(staging::FetchPieceList& output) {
    const staging::VersionName version = output.version;
    m_fetcher.Fetch(
        m_origin.origin, Platform::Endpoint::EncodePieceList(version),
        kOriginTimeout,
        [this, version](std::optional<exchange::FetchedAnswer> answer) {
          std::optional<staging::PieceList> list;
          TellIfFailed("list of version " + std::to_string(version.number),
                       answer);
          if (answer && answer->status == kOk) {
            kernel::Findings findings;
            list = Platform::DecodePieceList(version, answer->body, findings);
            TellFindings(findings);
          }
          m_stager->OnPieceList(kernel::Now(), version, std::move(list));
          TakeOutputs();
        });
  }
  void Carry(staging::FetchPiece& output) {
    const staging::FetchPiece fetch = output;
    m_fetcher.Fetch(
        m_origin.origin,
        Platform::Endpoint::EncodePiece(fetch.version, fetch.index),
        kOriginTimeout,
        [this, fetch](std::optional<exchange::FetchedAnswer> answer) {
          TellIfFailed("piece " + std::to_string(fetch.index) + " of version " +
                           std::to_string(fetch.version.number),
                       answer);
          m_stager->OnPiece(kernel::Now(), fetch.version, fetch.index,
                            BodyOf(std::move(answer)));
          TakeOutputs();
        });
  }
  void Carry(staging::StagePiece& output) {
    m_fetcher.Fetch(
        m_settings.endpoint_address, Platform::Endpoint::EncodeStage(output),
        kLocalTimeout,
        [this, version = output.version,
         index = output.index](std::optional<exchange::FetchedAnswer> answer) {
          m_stager->OnStaged(kernel::Now(), version, index,
                             answer && answer->status < kFirstFailure);
          TakeOutputs();
        });
  }
  void Carry(staging::ReadStaged& output) {
    const staging::ReadStaged read = output;
    m_fetcher.Fetch(
        m_settings.endpoint_address, Platform::Endpoint::EncodeReadStaged(read),
        kLocalTimeout,
        [this, read](std::optional<exchange::FetchedAnswer> answer) {
          m_stager->OnStagedRead(kernel::Now(), read.version, read.index,
                                 BodyOf(std::move(answer)));
          TakeOutputs();
        });
  }
  void Carry(staging::AskReport&) {
    m_fetcher.Fetch(m_settings.endpoint_address,
                    Platform::Endpoint::EncodeReport(), kLocalTimeout,
                    [this](std::optional<exchange::FetchedAnswer> answer) {
                      staging::EndpointReport report;
                      if (answer && answer->status == kOk) {
                        kernel::Findings findings;
                        report = Platform::DecodeReport(answer->body, findings);
                        TellFindings(findings);
                      }
                      m_spreading = !report.reachable || report.version == 0 ||
                                    report.version < m_declared[m_model];
                      m_stager->OnReport(kernel::Now(), report);
                      TakeOutputs();
                    });
  }
  void Carry(staging::OrderLoad& output) {
    m_fetcher.Fetch(
        m_settings.endpoint_address, Platform::Endpoint::EncodeOrder(output),
        kLocalTimeout, [this](std::optional<exchange::FetchedAnswer> answer) {
          m_stager->OnOrderResult(kernel::Now(),
                                  Platform::Endpoint::DecodeOrder(answer));
          TakeOutputs();
        });
  }
  void Carry(staging::Progress& output) {
    logging::Log(EventOf(output.kind),
                 {{"instance", m_settings.instance},
                  {"model", output.version.model},
                  {"version", std::to_string(output.version.number)},
                  {"detail", output.detail}});
  }

  static void TellIfFailed(
      std::string_view target,
      const std::optional<exchange::FetchedAnswer>& answer) {
    if (!answer || answer->status != kOk) {
      logging::Log(
          logging::kHttpFailed,
          {{"target", std::string(target)},
           {"problem", answer ? "status " + std::to_string(answer->status)
                              : "no answer"}});
    }
  }

  static std::string BodyOf(std::optional<exchange::FetchedAnswer> answer) {
    return answer && answer->status == kOk ? std::move(answer->body)
                                           : std::string();
  }

  static const logging::Event& EventOf(staging::Progress::Kind kind) {
    switch (kind) {
      case staging::Progress::Kind::kDeclared:
        return logging::kTransferStarted;
      case staging::Progress::Kind::kListKnown:
        return logging::kPieceListKnown;
      case staging::Progress::Kind::kPieceRejected:
        return logging::kChunkCorrupted;
      case staging::Progress::Kind::kComplete:
        return logging::kTransferComplete;
      case staging::Progress::Kind::kStaged:
        return logging::kVersionStaged;
      case staging::Progress::Kind::kRepaired:
        return logging::kStagedChunkRepaired;
      case staging::Progress::Kind::kOrdered:
        return logging::kOrderSent;
      case staging::Progress::Kind::kOrderRefused:
        return logging::kOrderRefused;
      case staging::Progress::Kind::kRunning:
        return logging::kVersionRunning;
      case staging::Progress::Kind::kEndpointRestarted:
        break;
    }
    return logging::kEndpointRestarted;
  }

  void TellFindings(const kernel::Findings& findings) {
    for (const kernel::Finding& finding : findings.Items()) {
      logging::Log(logging::kDocumentRejected,
                   {{"finding", kernel::Format(finding)}});
    }
  }

  void Tick() {
    const kernel::Time now = kernel::Now();
    if (!m_list_asked && now >= m_next_list) {
      ReadList();
    }
    if (now >= m_next_idle_check) {
      m_next_idle_check = now + kRestInterval;
      m_pool.CloseIdle(now);
    }
    kernel::Duration wait = kRestInterval;
    if (m_stager) {
      if (now >= m_stager->NextTick()) {
        m_stager->OnTick(now);
        TakeOutputs();
      }
      wait = std::clamp<kernel::Duration>(m_stager->NextTick() - now,
                                          kTickInterval, kRestInterval);
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
  exchange::FrameLinks m_links;
  StoreFollower<typename Platform::Store> m_operator_follower;
  asio::steady_timer m_tick;
  direct::ConfigurationTable m_configuration;
  direct::ServiceRule m_origin;
  std::string m_model;
  std::map<std::string, std::uint64_t> m_declared;
  std::unique_ptr<staging::Stager> m_stager;
  std::vector<direct::ListedEndpoint> m_listed;
  bool m_operator_read = false;  // All its keys were read once.
  bool m_list_asked = false;
  bool m_spreading = true;
  kernel::Time m_next_list{};
  kernel::Time m_next_idle_check{};
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_AGENT_PROCESS_H_
