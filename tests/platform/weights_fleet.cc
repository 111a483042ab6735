#include "tests/platform/weights_fleet.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// Ports below those that the system gives to connections.
constexpr int kPeersPort = 21000;
constexpr int kEndpointPort = 21002;
constexpr std::size_t kServicesHost = 250;
constexpr milliseconds kStep{50};
constexpr milliseconds kKillLimit{2000};
constexpr milliseconds kMinimumVersionInterval{300};
constexpr milliseconds kMaximumVersionInterval{8000};
constexpr milliseconds kMinimumOutage{50};
constexpr milliseconds kMaximumOutage{2000};
constexpr milliseconds kMaximumFreeze{2500};
constexpr milliseconds kSeriesTime{3000};
constexpr double kSeriesShare = 0.3;
constexpr double kSeriesFactor = 4;
constexpr double kSameIdShare = 0.5;
constexpr double kCorruptAnswers = 0.02;
// The users' limit from a declaration until a version runs everywhere, and the
// time that the stand-in of the store may take to deliver the declaration.
constexpr milliseconds kSwitchLimit{8000};
constexpr milliseconds kDeliveryLimit{600};

constexpr int kOk = 200;
constexpr int kGone = 410;

milliseconds Draw(kernel::Random& random,
                  milliseconds minimum,
                  milliseconds maximum) {
  return minimum + milliseconds(random.Below(static_cast<std::uint64_t>(
                       (maximum - minimum).count())));
}

}  // namespace

WeightsFleet::WeightsFleet(WeightsFleetOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_version_random(m_random.Next()),
      m_origin_random(m_random.Next()),
      m_origin(m_context,
               [this](const exchange::ReceivedRequest& request,
                      const std::shared_ptr<exchange::CallerExchange>& caller) {
                 AnswerOrigin(request, caller);
               }) {
  const std::string services = Ip(kServicesHost);
  const std::string origin = services + ":" + std::to_string(kEndpointPort);
  m_origin.Listen(origin);
  std::vector<StandinEntry> entries{VersionEntry()};
  for (std::size_t i = 0; i < m_options.agents; ++i) {
    Host& host =
        m_hosts.emplace_back(Host{.number = i + 1,
                                  .ip = Ip(i + 1),
                                  .random = kernel::Random(m_random.Next())});
    host.endpoint = std::make_unique<WeightsEndpoint>(
        m_context, host.ip + ":" + std::to_string(kEndpointPort),
        kernel::Random(m_random.Next()));
    host.endpoint->SetFaults(m_options.accesses);
    StartEndpoint(host);
    host.agent = std::make_unique<RunningProgram>("agent");
    host.agent->WriteSettings(SettingsText(host));
    entries.push_back(ListEntry(host));
  }
  m_store.emplace(
      services + ":" + std::to_string(kPeersPort), std::move(entries),
      std::vector<std::string>(),
      StandinEndpoint{
          .ip = services,
          .service_members =
              R"(, "engine": {"models": [{"name": "m"}]}},)"
              R"({"name": "weights", "zone": "a", "link_mbps": 9.9,)"
              R"("origin": ")" +
              origin + "\""});
  // The stand-in lists an endpoint of its own, which has no agent.
  m_store->Remove("servers/i-1");
  for (Host& host : m_hosts) {
    host.agent->Start();
  }
}

// Tests that run at the same time use different addresses.
std::string WeightsFleet::Ip(std::size_t number) const {
  const int process = getpid();
  return "127." + std::to_string(64 + process / 256 % 64) + "." +
         std::to_string(process % 256) + "." + std::to_string(number);
}

std::string WeightsFleet::EndpointKey(const Host& host) const {
  return "servers/i-" + std::to_string(host.number) + "-" +
         std::to_string(host.listed_id);
}

StandinEntry WeightsFleet::ListEntry(const Host& host) const {
  return {EndpointKey(host),
          R"({"service": "plain", "zone": "a", "slots": 16, "born": 1,)"
          R"("state": "ready", "address": ")" +
              host.ip + ":" + std::to_string(kEndpointPort) + "\"}"};
}

StandinEntry WeightsFleet::VersionEntry() const {
  return {"op/version/m",
          R"({"model": "m", "version": )" + std::to_string(m_version) + "}"};
}

std::string WeightsFleet::SettingsText(const Host& host) const {
  const nlohmann::json settings = {
      {"node", "n-" + std::to_string(host.number)},
      {"ip", host.ip},
      {"zone", "a"},
      {"region", "a"},
      {"zones", {{"a", "a"}}},
      {"internal_ports", {kPeersPort, kPeersPort + 1}},
      {"app", host.ip + ":" + std::to_string(kEndpointPort)},
      {"service", "plain"},
      {"limits", {{"link_mbps", 7.6}}},
      {"platform",
       {{"address", Ip(kServicesHost) + ":" + std::to_string(kPeersPort)}}},
      {"bounds", {{"version_ms", kSwitchLimit.count()}}}};
  return settings.dump();
}

void WeightsFleet::AnswerOrigin(
    const exchange::ReceivedRequest& request,
    const std::shared_ptr<exchange::CallerExchange>& caller) {
  const std::string& target = request.head.target;
  const std::uint64_t version =
      QueryNumber(target, "&version") + QueryNumber(target, "?version");
  // Only the two newest versions are kept.
  if (version + 2 <= m_version) {
    caller->Reply({kGone, {}}, {});
    return;
  }
  if (target.starts_with("/manifest/")) {
    nlohmann::json list = {{"model", kWeightsModel},
                           {"version", version},
                           {"chunk_bytes", kWeightsPieceBytes},
                           {"digests", nlohmann::json::array()}};
    for (std::uint32_t i = 0; i < kWeightsPieces; ++i) {
      constexpr std::string_view kAlgorithm = "sha256:";
      list["digests"].push_back(
          weights::ToText(weights::Sha256(MakeWeightsPiece(version, i)))
              .substr(kAlgorithm.size()));
    }
    caller->Reply({kOk, {}}, list.dump());
    return;
  }
  std::string bytes = MakeWeightsPiece(
      version, static_cast<std::uint32_t>(QueryNumber(target, "sample_count")));
  if (!m_faults_end && m_origin_random.Chance(kCorruptAnswers)) {
    bytes.back() = '?';
  }
  caller->Reply({kOk, {}}, bytes);
}

// Short intervals are as frequent as long ones on a logarithmic scale, so that
// some versions are declared in a burst.
void WeightsFleet::DeclareVersions() {
  const double range = static_cast<double>(kMaximumVersionInterval.count()) /
                       static_cast<double>(kMinimumVersionInterval.count());
  const auto interval = std::chrono::duration_cast<milliseconds>(
      kMinimumVersionInterval * std::pow(range, m_version_random.Uniform()));
  RunAfter(m_context, interval, [this] {
    if (!m_faults_end) {
      ++m_version;
      m_store->Write(VersionEntry());
      DeclareVersions();
    }
  });
}

bool WeightsFleet::IsDue(Host& host, double interval) {
  const double factor = kernel::Now() < host.series_until ? kSeriesFactor : 1;
  const double step = std::chrono::duration<double>(kStep).count();
  return interval > 0 && host.random.Chance(factor * step / interval);
}

void WeightsFleet::DrawFaults(Host& host) {
  if (!host.agent_killed && !host.agent->IsRunning()) {
    m_result.other_findings.push_back("agent " + std::to_string(host.number) +
                                      " ended: " + host.agent->LastRecord(""));
    host.agent->Start();
  }
  if (m_faults_end) {
    return;
  }
  const FaultIntervals& intervals = m_options.intervals;
  const std::size_t faults = m_result.faults;
  if (IsDue(host, intervals.crash)) {
    CrashEndpoint(host, /*keeps_staged=*/true);
  }
  if (IsDue(host, intervals.power_loss)) {
    CrashEndpoint(host, /*keeps_staged=*/false);
  }
  if (IsDue(host, intervals.freeze)) {
    ++m_result.faults;
    host.endpoint->Freeze(Draw(host.random, kMinimumOutage, kMaximumFreeze));
  }
  if (IsDue(host, intervals.corruption)) {
    ++m_result.faults;
    host.endpoint->CorruptPiece();
  }
  if (IsDue(host, intervals.agent_pause)) {
    PauseAgent(host);
  }
  if (IsDue(host, intervals.agent_kill)) {
    KillAgent(host);
  }
  const kernel::Time now = kernel::Now();
  if (m_result.faults > faults && now >= host.series_until &&
      host.random.Chance(kSeriesShare)) {
    host.series_until = now + kSeriesTime;
  }
  RunAfter(m_context, kStep, [this, &host] { DrawFaults(host); });
}

void WeightsFleet::StartEndpoint(Host& host) {
  if (const std::error_code error = host.endpoint->Start()) {
    m_result.other_findings.push_back("endpoint " +
                                      std::to_string(host.number) +
                                      " cannot listen: " + error.message());
  }
}

void WeightsFleet::CrashEndpoint(Host& host, bool keeps_staged) {
  if (!host.endpoint->IsUp()) {
    return;
  }
  ++m_result.faults;
  host.endpoint->Crash(keeps_staged);
  const bool same_id = host.random.Chance(kSameIdShare);
  RunAfter(m_context, Draw(host.random, kMinimumOutage, kMaximumOutage),
           [this, &host, same_id] {
             StartEndpoint(host);
             if (!same_id) {
               m_store->Remove(EndpointKey(host));
               ++host.listed_id;
               m_store->Write(ListEntry(host));
             }
           });
}

void WeightsFleet::PauseAgent(Host& host) {
  if (host.agent_killed) {
    return;
  }
  ++m_result.faults;
  host.agent->Signal(SIGSTOP);
  RunAfter(m_context, Draw(host.random, kMinimumOutage, kMaximumFreeze),
           [&host] {
             if (host.agent->IsRunning()) {
               host.agent->Signal(SIGCONT);
             }
           });
}

void WeightsFleet::KillAgent(Host& host) {
  if (host.agent_killed) {
    return;
  }
  ++m_result.faults;
  host.agent_killed = true;
  host.agent->Signal(SIGKILL);
  host.agent->AwaitExit(kKillLimit);
  RunAfter(m_context, Draw(host.random, kMinimumOutage, kMaximumOutage),
           [&host] {
             host.agent->Start();
             host.agent_killed = false;
           });
}

bool WeightsFleet::AllRun(std::uint64_t version) const {
  return std::ranges::all_of(m_hosts, [version](const Host& host) {
    return host.endpoint->LoadedVersion() == version;
  });
}

WeightsFleetResult WeightsFleet::Run() {
  DeclareVersions();
  for (Host& host : m_hosts) {
    DrawFaults(host);
  }
  m_context.run_for(m_options.fault_time);
  m_faults_end = true;
  for (const Host& host : m_hosts) {
    host.endpoint->SetFaults({});
  }
  // Outages and accesses that have begun end by themselves.
  m_context.run_for(kMaximumFreeze);
  ++m_version;
  m_store->Write(VersionEntry());
  const kernel::Time end =
      kernel::Now() + kSwitchLimit + kMaximumLoadTime + kDeliveryLimit;
  while (!AllRun(m_version) && kernel::Now() < end) {
    m_context.run_for(kStep);
  }
  Collect();
  return std::move(m_result);
}

void WeightsFleet::Collect() {
  m_result.versions = m_version;
  for (const Host& host : m_hosts) {
    const std::string name = "agent " + std::to_string(host.number);
    const auto loaded = host.endpoint->LoadedVersion();
    m_result.loads += host.endpoint->Loads();
    if (loaded != m_version) {
      m_result.other_findings.push_back(
          name + ": the endpoint runs version " + std::to_string(loaded) +
          ", declared is " + std::to_string(m_version) + "; last record: " +
          host.agent->LastRecord("") + host.endpoint->History(/*index=*/0));
    }
    for (const std::string& wrong : host.endpoint->WrongLoads()) {
      std::string& finding = m_result.wrong_loads.emplace_back(name);
      finding += ": ";
      finding += wrong;
    }
    const bool has_finding =
        loaded != m_version || !host.endpoint->WrongLoads().empty();
    if (has_finding && !m_options.log_directory.empty()) {
      host.agent->CopyLog(m_options.log_directory + "/seed-" +
                          std::to_string(m_options.seed) + "-agent-" +
                          std::to_string(host.number) + ".log");
    }
  }
}

}  // namespace radishrudder::platform
