// Measures what one stream to a peer costs: memory, and the time of a message
// there and back. A second process takes the part of all peers; each is
// reached at a loopback address of its own, so that no connection is shared.
//
// measure_streams [--peers N,N,...]

#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "radishrudder/transport/peer_transport.h"

namespace radishrudder {
namespace {

constexpr std::size_t kBytesInMebibyte = 1U << 20U;
constexpr int kRounds = 20;
// The share of a node's 128 MB that streams to peers may take.
constexpr double kTargetMebibytes = 128;

using Milliseconds = std::chrono::duration<double, std::milli>;

double ResidentMebibytes() {
  malloc_trim(0);
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) /
         kBytesInMebibyte;
}

// Sends back every part it gets.
void RunPeers(int port_pipe, int stop_pipe) {
  transport::TransportSettings settings;
  settings.address = "0.0.0.0";
  std::unique_ptr<transport::PeerTransport> peers;
  transport::TransportHandlers handlers{
      [&](wire::Envelope message) {
        if (message.has_attempt_part()) {
          const std::string to = message.from().instance();
          peers->Send(to, std::move(message));
        }
      },
      [](const wire::ProcessKey&) {},
      [](const std::string&, const wire::Envelope&) {}};
  peers = std::make_unique<transport::PeerTransport>(
      settings, wire::ProcessKey{"peers", 1}, std::move(handlers));
  peers->Start();
  const std::uint16_t port = peers->Port();
  (void)!write(port_pipe, &port, sizeof(port));
  char stop = 0;
  (void)!read(stop_pipe, &stop, 1);
  peers->Stop();
}

// Counts the answers to one round of messages.
class Rounds {
 public:
  void OnAnswer() {
    const std::lock_guard lock(m_mutex);
    ++m_answers;
    m_changed.notify_all();
  }
  bool Await(std::size_t answers) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, std::chrono::seconds(30),
                              [&] { return m_answers >= answers; });
  }
  void Reset() {
    const std::lock_guard lock(m_mutex);
    m_answers = 0;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::size_t m_answers = 0;
};

std::string AddressOf(std::size_t peer, std::uint16_t port) {
  constexpr std::size_t kHosts = 250;
  return "127.0." + std::to_string(1 + peer / kHosts) + "." +
         std::to_string(1 + peer % kHosts) + ":" + std::to_string(port);
}

std::string NameOf(std::size_t peer) {
  return "peer-" + std::to_string(peer);
}

wire::Envelope SmallMessage() {
  constexpr std::size_t kTokenBytes = 200;
  wire::Envelope message;
  message.mutable_attempt_part()->set_data(std::string(kTokenBytes, 't'));
  return message;
}

nlohmann::json MeasureSize(std::size_t count, std::uint16_t port) {
  Rounds rounds;
  const double before = ResidentMebibytes();
  transport::PeerTransport hub(
      {}, {"hub-" + std::to_string(count), 1},
      {[&](const wire::Envelope& message) {
         if (message.has_attempt_part()) {
           rounds.OnAnswer();
         }
       },
       [](const wire::ProcessKey&) {},
       [](const std::string&, const wire::Envelope&) {}});
  hub.Start();
  for (std::size_t peer = 0; peer < count; ++peer) {
    hub.SetAddress(NameOf(peer), AddressOf(peer, port));
    hub.Send(NameOf(peer), SmallMessage());
  }
  const bool opened = rounds.Await(count);
  std::vector<double> times;
  for (int round = 0; round < kRounds; ++round) {
    rounds.Reset();
    const auto began = std::chrono::steady_clock::now();
    hub.Send(NameOf(static_cast<std::size_t>(round) % count), SmallMessage());
    rounds.Await(1);
    times.push_back(
        Milliseconds(std::chrono::steady_clock::now() - began).count());
  }
  std::sort(times.begin(), times.end());
  const double used = ResidentMebibytes() - before;
  hub.Stop();
  return {{"peers", count},
          {"opened", opened},
          {"mebibytes", used},
          {"round_trip_p50_ms", times[times.size() / 2]},
          {"round_trip_max_ms", times.back()}};
}

std::vector<std::size_t> ParseSizes(int argc, char** argv) {
  std::string text = "50,100,200,400";
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::string(argv[i]) == "--peers") {
      text = argv[i + 1];
    }
  }
  std::vector<std::size_t> sizes;
  std::istringstream stream(text);
  for (std::string size; std::getline(stream, size, ',');) {
    sizes.push_back(std::stoul(size));
  }
  return sizes;
}

// Measures one size in a process of its own, so that no earlier size counts.
nlohmann::json MeasureApart(std::size_t count, std::uint16_t port) {
  int result_pipe[2];
  (void)!pipe(result_pipe);
  const pid_t child = fork();
  if (child == 0) {
    const std::string result = MeasureSize(count, port).dump();
    (void)!write(result_pipe[1], result.data(), result.size());
    _exit(0);
  }
  close(result_pipe[1]);
  std::string text;
  char buffer[4096];
  for (ssize_t n = 0; (n = read(result_pipe[0], buffer, sizeof(buffer))) > 0;) {
    text.append(buffer, static_cast<std::size_t>(n));
  }
  close(result_pipe[0]);
  waitpid(child, nullptr, 0);
  return nlohmann::json::parse(text);
}

int Main(int argc, char** argv) {
  const std::vector<std::size_t> sizes = ParseSizes(argc, argv);
  int port_pipe[2];
  int stop_pipe[2];
  (void)!pipe(port_pipe);
  (void)!pipe(stop_pipe);
  const pid_t peers = fork();
  if (peers == 0) {
    RunPeers(port_pipe[1], stop_pipe[0]);
    _exit(0);
  }
  std::uint16_t port = 0;
  (void)!read(port_pipe[0], &port, sizeof(port));
  nlohmann::json points = nlohmann::json::array();
  for (const std::size_t size : sizes) {
    points.push_back(MeasureApart(size, port));
    std::cerr << points.back().dump() << "\n";
  }
  (void)!write(stop_pipe[1], "s", 1);
  waitpid(peers, nullptr, 0);
  const nlohmann::json& first = points.front();
  const nlohmann::json& last = points.back();
  const double slope =
      (last["mebibytes"].get<double>() - first["mebibytes"].get<double>()) /
      (last["peers"].get<double>() - first["peers"].get<double>());
  const double base =
      first["mebibytes"].get<double>() - slope * first["peers"].get<double>();
  std::cout << nlohmann::json{{"name", "streams"},
                              {"points", points},
                              {"base_mebibytes", base},
                              {"kibibytes_per_stream", slope * 1024},
                              {"streams_within_target",
                               (kTargetMebibytes - base) / slope},
                              {"target_mebibytes", kTargetMebibytes},
                              {"met", last["mebibytes"].get<double>() <=
                                          kTargetMebibytes}}
                   .dump()
            << "\n";
  return 0;
}

}  // namespace
}  // namespace radishrudder

int main(int argc, char** argv) {
  return radishrudder::Main(argc, argv);
}
