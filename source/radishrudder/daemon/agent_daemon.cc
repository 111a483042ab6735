#include "radishrudder/daemon/agent_daemon.h"

#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/daemon/agent_status.h"
#include "radishrudder/daemon/endpoint_gate.h"
#include "radishrudder/daemon/node.h"
#include "radishrudder/daemon/order_giver.h"
#include "radishrudder/daemon/published_document.h"
#include "radishrudder/daemon/weights_fetcher.h"
#include "radishrudder/document/service_document.h"
#include "radishrudder/logging/events.h"
#include "radishrudder/rollout/peer_view.h"
#include "radishrudder/rollout/rollout.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::daemon {
namespace {

// How often load is told to the peers and an empty gate is noticed.
constexpr std::chrono::milliseconds kUpkeepInterval{50};

calls::GateSettings MakeGateSettings(const AgentSettings& settings,
                                     const wire::ProcessKey& self) {
  calls::GateSettings gate;
  gate.self = self;
  gate.service = settings.node.service;
  return gate;
}

weights::TransferSettings MakeTransferSettings(const AgentSettings& settings,
                                               const wire::ProcessKey& self) {
  weights::TransferSettings transfer;
  transfer.self = self;
  transfer.data_centre = settings.node.data_centre;
  transfer.region = settings.node.region;
  transfer.store_region = settings.store_region;
  transfer.origin_bytes_per_second = settings.origin_bytes_per_second;
  transfer.region_link_bytes_per_second = settings.region_link_bytes_per_second;
  transfer.instance_link_bytes_per_second =
      settings.instance_link_bytes_per_second;
  return transfer;
}

// What operators see of the document and the version in force.
struct InForce {
  std::uint64_t document_revision = 0;
  std::uint64_t ready_revision = 0;
  std::string manifest_digest;
  double transfer_speed = 0;  // 0 prefers few origin bytes, 1 time.
};

}  // namespace

class AgentDaemon::Implementation {
 public:
  explicit Implementation(AgentSettings settings)
      : m_settings(std::move(settings)),
        m_node(m_settings.node),
        m_fetcher(m_node.HttpClient(),
                  m_settings.origin_url,
                  m_settings.store_url),
        m_gate(m_node.Context(),
               m_node.HttpClient(),
               m_settings.endpoint_url,
               MakeGateSettings(m_settings, m_node.Self()),
               [this](const wire::Send& send) { m_node.Send(send); }),
        m_orders(m_gate.Endpoint(), MakeVerifiedWeights()),
        m_upkeep(m_node.Context()),
        m_transfer(
            m_node.Context(),
            [this](weights::TransferOutput output) {
              HandleTransfer(std::move(output));
            },
            MakeTransferSettings(m_settings, m_node.Self()),
            kernel::Random(kernel::SystemEntropy()),
            std::chrono::steady_clock::now()) {}

  std::error_code Start() {
    NodeHandlers handlers;
    handlers.on_document = [this](const auto& document) {
      HandleDocument(document);
    };
    handlers.on_members = [this](const std::set<std::string>& services) {
      if (services.contains(m_settings.node.service)) {
        HandleMembers();
      }
    };
    handlers.on_message = [this](const wire::Envelope& message) {
      HandleMessage(message);
    };
    handlers.on_lost = [this](const wire::ProcessKey& peer) {
      m_gate.OnPeerDisconnected(peer);
    };
    handlers.on_unsent = [](const wire::Envelope&) {};
    handlers.status = [this] { return ToJson(Status()); };
    handlers.is_ready = [this] { return IsReady(); };
    if (const std::error_code error = m_node.Start(std::move(handlers))) {
      return error;
    }
    ArmUpkeep();
    return {};
  }

  void Drain() {
    m_draining = true;
    m_orders.Stop();
    m_gate.Drain();
    m_node.SetLeaving();
    WithRollout([](auto& core, kernel::Time now) { core.OnDrain(now); });
  }

  std::size_t CallsInProgress() const { return m_gate.CallsInProgress(); }

  void Stop() {
    // First the client, so that an order in progress ends.
    m_node.HttpClient().Stop();
    m_gate.Endpoint().Stop();
    m_node.Stop();
  }

 private:
  using TransferShard = Shard<weights::Transfer, weights::TransferOutput>;
  using RolloutShard = Shard<rollout::Rollout, rollout::RolloutOutput>;

  // Calls `action` on the rollout once the first document made one.
  template <typename Action>
  void WithRollout(Action action) {
    RolloutShard* const shard = m_rollout.load();
    if (shard != nullptr) {
      shard->Run(std::move(action));
    }
  }

  void HandleDocument(const dissemination::PublishedDocument& published) {
    if (published.service != m_settings.node.service || published.deleted) {
      return;
    }
    const std::optional<document::ServiceDocument> document =
        ParsePublished(published);
    if (document) {
      ApplyDocument(published.revision, *document);
    }
  }

  void ApplyDocument(std::uint64_t revision,
                     const document::ServiceDocument& document) {
    const bool plain = document.kind == document::ServiceKind::kPlain;
    MakeRollout(plain);
    {
      const std::lock_guard lock(m_state_mutex);
      m_in_force.document_revision = revision;
      m_in_force.manifest_digest =
          document.model ? document.model->manifest_digest : "";
      m_in_force.transfer_speed = document.transfer.speed;
    }
    m_gate.OnDocument(document);
    if (document.model) {
      logging::Log(logging::kTransferStarted,
                   {{"version", document.model->manifest_digest}});
    }
    // Before the rollout's input: once that has forgotten the weights of the
    // former version, the transfer no longer says that they are complete.
    if (m_peers_known) {
      WantVersion();
    }
    WithRollout([&](auto& core, kernel::Time now) {
      core.OnDocument(now, revision, document);
    });
    HandleMembers();
  }

  // Asks for the document's version. Not before the peers are known: alone, an
  // instance would take every chunk from the origin upon itself.
  void WantVersion() {
    std::vector<std::string> wanted;
    double speed = 0;
    {
      const std::lock_guard lock(m_state_mutex);
      if (m_in_force.manifest_digest.empty()) {
        return;
      }
      wanted.push_back(m_in_force.manifest_digest);
      speed = m_in_force.transfer_speed;
    }
    m_transfer.Run([&](auto& core, kernel::Time now) {
      core.SetSpeed(speed);
      core.SetWantedVersions(now, std::move(wanted));
    });
  }

  void MakeRollout(bool plain) {
    if (m_rollout.load() != nullptr) {
      return;
    }
    rollout::RolloutSettings settings;
    settings.self = m_node.Self();
    settings.service = m_settings.node.service;
    settings.plain = plain;
    m_rollout_storage = std::make_unique<RolloutShard>(
        m_node.Context(),
        [this](rollout::RolloutOutput output) {
          HandleRollout(std::move(output));
        },
        settings, kernel::Random(kernel::SystemEntropy()));
    m_rollout = m_rollout_storage.get();
  }

  void HandleMembers() {
    // Before the platform's list, a few members could pass for the fleet.
    if (!m_node.HasInstanceList()) {
      return;
    }
    std::vector<weights::TransferPeer> transfer_peers;
    std::vector<rollout::RolloutPeer> rollout_peers;
    for (const membership::Member& member :
         m_node.AgentsOf(m_settings.node.service)) {
      if (member.listed.instance == m_settings.node.instance) {
        continue;
      }
      const bool dead = member.state == membership::State::kDead;
      const bool leaving = member.state == membership::State::kLeaving;
      const bool suspected = member.state == membership::State::kSuspected;
      transfer_peers.push_back({member.listed.instance,
                                member.listed.data_centre, member.listed.region,
                                !dead && !leaving && !suspected});
      rollout_peers.push_back(rollout::ToPeer(member));
    }
    m_transfer.Run([&](auto& core, kernel::Time now) {
      core.OnPeers(now, std::move(transfer_peers));
    });
    WithRollout([&](auto& core, kernel::Time now) {
      core.OnPeers(now, std::move(rollout_peers));
    });
    if (!m_peers_known.exchange(true)) {
      WantVersion();
    }
  }

  void HandleMessage(const wire::Envelope& message) {
    switch (message.body_case()) {
      case wire::Envelope::kStartAttempt:
      case wire::Envelope::kCancelAttempt:
      case wire::Envelope::kIssueKey:
        m_gate.OnMessage(message);
        break;
      case wire::Envelope::kChunkInventory:
      case wire::Envelope::kChunkRequest:
      case wire::Envelope::kChunkData:
      case wire::Envelope::kChunkRefusal:
      case wire::Envelope::kManifestRequest:
      case wire::Envelope::kManifestData:
        m_transfer.Run([&](auto& core, kernel::Time now) {
          core.OnMessage(now, message);
        });
        break;
      default:
        logging::Log(logging::kMessageRejected,
                     {{"from", message.from().instance()},
                      {"problem", "an agent does not take this message"}});
    }
  }

  void HandleTransfer(weights::TransferOutput output) {
    std::visit(
        Overloaded{
            [this](const wire::Send& send) { m_node.Send(send); },
            [this](const weights::FetchManifest& fetch) {
              m_fetcher.Fetch(fetch, [this, fetch](std::string text) {
                m_transfer.Run([&](auto& core, kernel::Time now) {
                  core.OnManifestFetched(now, fetch.manifest_digest,
                                         fetch.source, std::move(text));
                });
              });
            },
            [this](const weights::FetchChunk& fetch) {
              logging::Log(logging::kChunkFetchStarted,
                           {{"version", fetch.manifest_digest},
                            {"chunk", std::to_string(fetch.index)},
                            {"source", fetch.source == weights::Source::kOrigin
                                           ? "origin"
                                           : "store"}});
              m_fetcher.Fetch(fetch, [this, fetch](std::string bytes) {
                m_transfer.Run([&](auto& core, kernel::Time now) {
                  core.OnChunkFetched(now, fetch.manifest_digest, fetch.index,
                                      fetch.source, std::move(bytes));
                });
              });
            },
            [this](const weights::VersionComplete& complete) {
              logging::Log(logging::kTransferComplete,
                           {{"version", complete.manifest_digest}});
              HandOver(complete.manifest_digest);
            },
            [this](const weights::ChunkRejected& rejected) {
              m_node.Meters().Count("radishrudder_chunks_rejected_total",
                                    {{"sender", rejected.sender}});
              logging::Log(logging::kChunkCorrupted,
                           {{"version", rejected.manifest_digest},
                            {"chunk", std::to_string(rejected.index)},
                            {"sender", rejected.sender}});
            }},
        output);
  }

  // Hands a whole version to the endpoint while it still runs the old one, and
  // tells the rollout afterwards, unless the weights were dropped meanwhile.
  void HandOver(const std::string& digest) {
    m_orders.Stage(digest, [this, digest] {
      WithRollout([&](auto& core, kernel::Time now) {
        if (IsComplete(digest)) {
          core.OnWeightsComplete(now, digest);
        }
      });
    });
  }

  bool IsComplete(const std::string& digest) const {
    return m_transfer.Ask([&](const weights::Transfer& core) {
      return core.Progress(digest).complete;
    });
  }

  void HandleRollout(rollout::RolloutOutput output) {
    std::visit(
        Overloaded{
            [this](const rollout::CloseGate&) {
              m_gate.Close();
              ReportEmptyGate();
            },
            [this](const rollout::OpenGate&) { m_gate.Open(); },
            [this](const rollout::OrderLoad& order) { GiveOrder(order); },
            [this](const rollout::ReadBack& request) { ReadBack(request); },
            [this](const rollout::Readiness& ready) { HandleReady(ready); }},
        output);
  }

  void ReportEmptyGate() {
    if (m_gate.TakeEmptied()) {
      WithRollout([](auto& core, kernel::Time now) { core.OnGateEmpty(now); });
    }
  }

  VerifiedWeights MakeVerifiedWeights() const {
    return {[this](const std::string& digest) {
              return m_transfer.Ask([&](const weights::Transfer& core) {
                const weights::Manifest* found = core.FindManifest(digest);
                return found != nullptr ? std::optional(*found) : std::nullopt;
              });
            },
            [this](const std::string& digest, std::uint32_t index) {
              return CopyChunk(digest, index);
            }};
  }

  void GiveOrder(const rollout::OrderLoad& order) {
    m_orders.Give(order, [this](const rollout::Fence& fence,
                                rollout::OrderResult result) {
      WithRollout([&](auto& core, kernel::Time now) {
        core.OnOrderResult(now, fence, result);
      });
    });
  }

  std::optional<std::string> CopyChunk(const std::string& digest,
                                       std::uint32_t index) const {
    return m_transfer.Ask([&](const weights::Transfer& core) {
      const std::string_view bytes = core.ChunkBytes(digest, index);
      return bytes.empty() ? std::nullopt : std::optional(std::string(bytes));
    });
  }

  void ReadBack(const rollout::ReadBack& request) {
    m_gate.Endpoint().ReadStatus([this, request](const EndpointReport& report) {
      WithRollout([&](auto& core, kernel::Time now) {
        // Before the rollout's outputs, so that the gate opens on what the
        // endpoint runs.
        if (core.OnEndpointStatus(now, request, report.status) &&
            report.status.reachable) {
          m_gate.SetRunning(report);
        }
      });
    });
  }

  void HandleReady(const rollout::Readiness& ready) {
    if (!ready.running_digest.empty()) {
      logging::Log(logging::kVersionRunning,
                   {{"version", ready.running_digest},
                    {"revision", std::to_string(ready.revision)}});
    }
    {
      const std::lock_guard lock(m_state_mutex);
      m_in_force.ready_revision = ready.revision;
    }
    m_node.SetReady(ready);
  }

  // A later run of this instance acts for it now.
  void StepDown() {
    m_orders.Stop();
    WithRollout([](auto& core, kernel::Time now) { core.OnSuperseded(now); });
    m_gate.Drain();
  }

  void ArmUpkeep() {
    m_upkeep.expires_after(kUpkeepInterval);
    m_upkeep.async_wait([this](const std::error_code& error) {
      if (error) {
        return;
      }
      ReportEmptyGate();
      m_node.SetLoad(m_gate.CurrentLoad());
      if (!m_peers_known) {
        HandleMembers();
      }
      if (m_node.IsSuperseded() && !m_superseded.exchange(true)) {
        StepDown();
      }
      ArmUpkeep();
    });
  }

  bool IsReady() const { return m_gate.State().open && !m_draining; }

  AgentStatus Status() const {
    AgentStatus status;
    status.self = m_node.Self();
    status.service = m_settings.node.service;
    status.data_centre = m_settings.node.data_centre;
    status.draining = m_draining;
    status.waiting_for = WaitingFor();
    status.load = m_gate.CurrentLoad();
    const EndpointState endpoint = m_gate.State();
    status.running_digest = endpoint.running_digest;
    status.gate_open = endpoint.open && !m_draining;
    {
      const std::lock_guard lock(m_state_mutex);
      status.document_revision = m_in_force.document_revision;
      status.ready_revision = m_in_force.ready_revision;
      status.wanted_digest = m_in_force.manifest_digest;
    }
    status.progress = m_transfer.Ask([&](const weights::Transfer& core) {
      return core.Progress(status.wanted_digest);
    });
    return status;
  }

  std::string WaitingFor() const {
    const RolloutShard* const shard = m_rollout.load();
    return shard == nullptr ? "waits for the first document of its service"
                            : shard->Ask([](const rollout::Rollout& core) {
                                return core.Explain();
                              });
  }

  const AgentSettings m_settings;
  Node m_node;
  WeightsFetcher m_fetcher;
  EndpointGate m_gate;
  OrderGiver m_orders;
  asio::steady_timer m_upkeep;
  TransferShard m_transfer;
  std::unique_ptr<RolloutShard> m_rollout_storage;
  std::atomic<RolloutShard*> m_rollout = nullptr;
  std::atomic<bool> m_draining = false;
  std::atomic<bool> m_peers_known = false;
  std::atomic<bool> m_superseded = false;
  mutable std::mutex m_state_mutex;
  InForce m_in_force;
};

AgentDaemon::AgentDaemon(AgentSettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings))) {}

AgentDaemon::~AgentDaemon() {
  Stop();
}

std::error_code AgentDaemon::Start() {
  return m_implementation->Start();
}

void AgentDaemon::Drain() {
  m_implementation->Drain();
}

bool AgentDaemon::IsIdle() const {
  return m_implementation->CallsInProgress() == 0;
}

std::size_t AgentDaemon::CallsInProgress() const {
  return m_implementation->CallsInProgress();
}

void AgentDaemon::Stop() {
  m_implementation->Stop();
}

}  // namespace radishrudder::daemon
