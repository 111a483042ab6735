#include "tests/platform/running_program.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{10};
constexpr int kPorts = 6;

bool IsFree(int port) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context);
  std::error_code error;
  acceptor.open(asio::ip::tcp::v4(), error);
  acceptor.bind({asio::ip::make_address("127.0.0.1"),
                 static_cast<asio::ip::port_type>(port)},
                error);
  return !error;
}

// Returns a handle that keeps other tests of this machine from using the ports
// until it is closed, or -1 if another test has them.
int LockPorts(int first) {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("radishrudder-ports-" + std::to_string(first));
  const int handle = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (handle >= 0 && flock(handle, LOCK_EX | LOCK_NB) != 0) {
    close(handle);
    return -1;
  }
  return handle;
}

// Returns the first of `kPorts` consecutive ports that are free, and sets the
// handle of their lock. Processes of tests that run at the same time begin
// their search at different ports.
int FindPorts(int& lock) {
  constexpr int kFirst = 20000;
  constexpr int kRange = 10000;
  for (int step = 0; step < kRange; ++step) {
    // A multiple of `kPorts`, so that ranges are the same or disjoint.
    const int first =
        kFirst + (getpid() + step) * kPorts % (kRange / kPorts * kPorts);
    lock = LockPorts(first);
    bool all_free = lock >= 0;
    for (int port = first; port < first + kPorts; ++port) {
      all_free = all_free && IsFree(port);
    }
    if (all_free) {
      return first;
    }
    if (lock >= 0) {
      close(std::exchange(lock, -1));
    }
  }
  return kFirst;
}

}  // namespace

RunningProgram::RunningProgram(std::string_view role)
    : RunningProgram("radishrudder-platform-" + std::string(role),
                     std::vector<std::string>()) {
  m_arguments = {"--settings=" + m_directory + "/settings.json"};
}

RunningProgram::RunningProgram(std::string_view program,
                               std::vector<std::string> arguments)
    : m_program(program),
      m_arguments(std::move(arguments)),
      m_first_port(FindPorts(m_ports_lock)) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "radishrudder-XXXXXX";
  m_directory = mkdtemp(pattern.data());
}

RunningProgram::~RunningProgram() {
  if (IsRunning()) {
    Signal(SIGKILL);
    AwaitExit(milliseconds(2000));
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
  if (m_ports_lock >= 0) {
    close(m_ports_lock);
  }
}

std::string RunningProgram::Address(int offset) const {
  return "127.0.0.1:" + std::to_string(m_first_port + offset);
}

std::string RunningProgram::SettingsText(std::string_view bounds) const {
  const auto address = [this](int offset) {
    return "\"" + Address(offset) + "\"";
  };
  std::ostringstream text;
  text << R"({"node": "n-1", "ip": "127.0.0.1", "zone": "a", "region": "a",)"
       << R"("zones": {"a": "a"},)"
       << R"("listen": {"front": )" << address(kCallersPort) << R"(, "ready": )"
       << address(kReadinessPort) << R"(, "control": )" << address(kControlPort)
       << "},"
       << R"("internal_ports": [)" << m_first_port + kPeersPort << ", "
       << m_first_port + kMetricsPort << "],"
       << R"("seeds": [], "app": )" << address(kStorePort)
       << R"(, "service": "draft", "limits": {"link_mbps": 7.6},)"
       << R"("platform": {"address": )" << address(kStorePort) << "},"
       << R"("bounds": {)" << bounds << "}}";
  return text.str();
}

void RunningProgram::WriteSettings(
    const std::optional<std::string>& text) const {
  const std::string path = m_directory + "/settings.json";
  if (text) {
    std::ofstream(path) << *text;
  } else {
    std::filesystem::remove(path);
  }
}

void RunningProgram::Start() {
  const std::string program =
      std::string(RADISHRUDDER_PROGRAM_DIRECTORY) + "/" + m_program;
  std::vector<std::string> words{program};
  words.insert(words.end(), m_arguments.begin(), m_arguments.end());
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string log = m_directory + "/log";
  m_status.reset();
  m_pid = -1;
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A listener that the program inherited would outlive the test's own.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(),
              environ);
  posix_spawn_file_actions_destroy(&actions);
}

void RunningProgram::Signal(int number) const {
  kill(m_pid, number);
}

std::size_t RunningProgram::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t RunningProgram::PeakResidentBytes() const {
  constexpr std::string_view kPeak = "VmHWM:";
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kPeak)) {
      return std::stoull(line.substr(kPeak.size())) << 10U;
    }
  }
  return 0;
}

std::size_t RunningProgram::UnreadBytes() const {
  constexpr int kHexadecimal = 16;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);  // Names of the columns.
  std::size_t unread = 0;
  while (std::getline(file, line)) {
    std::istringstream columns(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;  // "SEND:RECEIVE"
    columns >> number >> local >> remote >> state >> queues;
    constexpr std::string_view kListening = "0A";
    const int port =
        std::stoi(local.substr(local.find(':') + 1), nullptr, kHexadecimal);
    if (state != kListening && port >= m_first_port &&
        port < m_first_port + kStorePort) {
      unread += std::stoull(queues.substr(queues.find(':') + 1), nullptr,
                            kHexadecimal);
    }
  }
  return unread;
}

std::size_t RunningProgram::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator handles(
      "/proc/" + std::to_string(m_pid) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(handles), end(handles)));
}

std::size_t RunningProgram::OpenSockets() const {
  std::error_code error;
  std::size_t sockets = 0;
  for (const auto& handle : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(m_pid) + "/fd", error)) {
    // One that was closed meanwhile has no target.
    std::error_code closed;
    sockets += std::filesystem::read_symlink(handle.path(), closed)
                       .native()
                       .starts_with("socket:")
                   ? 1
                   : 0;
  }
  return sockets;
}

std::string RunningProgram::ReadLog() const {
  std::ifstream file(m_directory + "/log");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::size_t RunningProgram::CountRecords(std::string_view text) const {
  std::istringstream log(ReadLog());
  std::size_t found = 0;
  for (std::string line; std::getline(log, line);) {
    found += line.find(text) != std::string::npos ? 1 : 0;
  }
  return found;
}

bool RunningProgram::AwaitLog(std::string_view text,
                              std::size_t count,
                              milliseconds limit) const {
  const auto end = std::chrono::steady_clock::now() + limit;
  for (;;) {
    if (CountRecords(text) >= count) {
      return true;
    }
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void RunningProgram::CopyLog(const std::string& path) const {
  std::ofstream(path) << ReadLog();
}

std::string RunningProgram::LastRecord(std::string_view text) const {
  std::istringstream log(ReadLog());
  std::string last;
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) {
      last = line;
    }
  }
  return last;
}

std::optional<int> RunningProgram::AwaitExit(milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  if (m_status && WIFEXITED(*m_status)) {
    return WEXITSTATUS(*m_status);
  }
  return std::nullopt;
}

bool RunningProgram::IsRunning() {
  if (m_pid > 0 && !m_status) {
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_status = status;
    }
  }
  return m_pid > 0 && !m_status;
}

}  // namespace radishrudder::platform
