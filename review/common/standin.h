// Small stand-ins for the review's scripts: an HTTP/1.1 server, the platform's
// store, a caller, and the entry program as a separate process. Loopback only,
// one thread a connection, real clock.
#ifndef REVIEW_COMMON_STANDIN_H_
#define REVIEW_COMMON_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point g_start = Clock::now();
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - g_start).count();
}
inline void SleepUntil(double at) {
  std::this_thread::sleep_until(g_start +
                                std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double>(at)));
}
inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Writes record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(fopen(path.c_str(), "w")) {}
  ~Record() { fclose(m_file); }
  void Line(const char* format, ...) {
    const std::lock_guard lock(m_mutex);
    fprintf(m_file, "%9.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    vfprintf(m_file, format, arguments);
    va_end(arguments);
    fputc('\n', m_file);
    fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  FILE* m_file;
};

inline std::string Concat(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += part;
  }
  return text;
}

inline std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string first_line{};
  std::map<std::string, std::string> headers{};  // Names in lower case.
  std::string body{};
  std::string method{};
  std::string target{};
  int status = 0;
  bool complete = false;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? std::string() : found->second;
  }
};

// One end of a connection.
class Channel {
 public:
  explicit Channel(int socket) : m_socket(socket) {
    const int one = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Channel() { close(m_socket); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  int Socket() const { return m_socket; }
  void Cut() { shutdown(m_socket, SHUT_RDWR); }
  // Ends the connection with a reset, as a crash of the peer would.
  void SetReset() {
    const linger option{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t sent =
          send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  // Reads one request or answer; nothing if the connection ended before its
  // head was complete. `complete` is false if it ended within the body.
  std::optional<Message> Read() {
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return std::nullopt;
      }
    }
    Message message;
    const std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    std::size_t from = 0;
    for (bool first = true; from < head.size(); first = false) {
      const std::size_t stop = head.find("\r\n", from);
      const std::string line = head.substr(from, stop - from);
      from = stop + 2;
      if (first) {
        message.first_line = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    const std::size_t space = message.first_line.find(' ');
    const std::size_t second = message.first_line.find(' ', space + 1);
    message.method = message.first_line.substr(0, space);
    message.target = message.first_line.substr(space + 1, second - space - 1);
    if (message.first_line.starts_with("HTTP/")) {
      message.status = std::atoi(message.target.c_str());
    }
    message.complete = ReadBody(message);
    return message;
  }

 private:
  bool More() {
    char bytes[16384];
    const ssize_t size = recv(m_socket, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool Need(std::size_t size) {
    while (m_buffer.size() < size) {
      if (!More()) {
        return false;
      }
    }
    return true;
  }
  bool ReadBody(Message& message) {
    if (Lower(message.Header("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
          if (!More()) {
            return false;
          }
        }
        const std::size_t size =
            std::stoul(m_buffer.substr(0, end), nullptr, 16);
        if (!Need(end + 2 + size + 2)) {
          return false;
        }
        message.body += m_buffer.substr(end + 2, size);
        m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
          return true;
        }
      }
    }
    const std::size_t size =
        std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
    if (!Need(size)) {
      return false;
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

  int m_socket;
  std::string m_buffer;
};

inline sockaddr_in AddressOf(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Returns ports that are free. They lie below the range from which the kernel
// picks ports for connections.
inline std::vector<int> FreePorts(std::size_t count) {
  std::vector<int> ports;
  std::vector<int> sockets;
  static int port = 10000 + getpid() * 37 % 20000;
  while (ports.size() < count) {
    port = port >= 31000 ? 10000 : port + 1;  // None is returned twice.
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(port);
    if (bind(handle, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      ports.push_back(port);
      sockets.push_back(handle);
    } else {
      close(handle);
    }
  }
  for (const int handle : sockets) {
    close(handle);
  }
  return ports;
}

inline std::shared_ptr<Channel> Connect(int port,
                                        const char* ip = "127.0.0.1") {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(port);
  inet_pton(AF_INET, ip, &address.sin_addr);
  const timeval time{1, 0};
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  if (connect(handle, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(handle);
    return nullptr;
  }
  return std::make_shared<Channel>(handle);
}

// Answers requests, one at a time on each connection.
class Server {
 public:
  // Returns whether the connection is kept.
  using Handler = std::function<bool(Channel&, const Message&)>;

  Server(int port, Handler handler)
      : m_port(port), m_handler(std::move(handler)) {
    Open();
  }
  ~Server() {
    Away();
    while (m_threads > 0) {
      Sleep(0.01);
    }
  }
  int Port() const { return m_port; }

  void Open() {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = AddressOf(m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 512) != 0) {
      fprintf(stderr, "cannot listen on port %d\n", m_port);
      std::_Exit(kCouldNotRun);
    }
    m_away = false;
    m_accepting = std::thread([this, listener = m_listener] {
      while (true) {
        const int handle = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
          return;
        }
        const auto channel = std::make_shared<Channel>(handle);
        const std::lock_guard lock(m_mutex);
        if (m_away) {
          continue;
        }
        m_channels.insert(channel);
        ++m_threads;
        std::thread([this, channel] { Serve(channel); }).detach();
      }
    });
  }
  // Closes the port and all connections.
  void Away() {
    {
      const std::lock_guard lock(m_mutex);
      if (m_away) {
        return;
      }
      m_away = true;
      for (const auto& channel : m_channels) {
        channel->Cut();
      }
    }
    shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    close(m_listener);
  }

 private:
  void Serve(const std::shared_ptr<Channel>& channel) {
    while (const auto request = channel->Read()) {
      if (!request->complete || !m_handler(*channel, *request)) {
        break;
      }
    }
    {
      const std::lock_guard lock(m_mutex);
      m_channels.erase(channel);
    }
    --m_threads;
  }

  int m_port;
  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_away = true;
  std::mutex m_mutex;
  std::set<std::shared_ptr<Channel>> m_channels;
  std::atomic<int> m_threads = 0;
  std::thread m_accepting;
};

inline std::string Answer(int status,
                          const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = group << 8U |
              (j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kDigits[group >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

// The platform's store: pages, watches, revisions and eras.
class Store {
 public:
  struct Item {
    std::string value{};
    std::uint64_t revision = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key{};
    std::optional<std::string> value{};  // Nothing: a tombstone.
  };
  struct Copy {
    std::uint64_t revision = 0;
    std::map<std::string, Item> items{};
    std::vector<Change> changes{};
  };

  explicit Store(int port, std::uint64_t era)
      : m_era(era), m_server(port, [this](Channel& channel, const Message& m) {
          return Handle(channel, m);
        }) {}
  ~Store() { Stop(); }

  // Each returns the revision of the change: the acknowledgement.
  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_data.items[key] = {value, ++m_data.revision};
    m_data.changes.push_back({m_data.revision, key, value});
    m_changed.notify_all();
    return m_data.revision;
  }
  std::uint64_t Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_data.items.erase(key);
    m_data.changes.push_back({++m_data.revision, key, std::nullopt});
    m_changed.notify_all();
    return m_data.revision;
  }
  std::uint64_t Revision() {
    const std::lock_guard lock(m_mutex);
    return m_data.revision;
  }
  Copy MakeCopy() {
    const std::lock_guard lock(m_mutex);
    return m_data;
  }
  bool IsAway() const { return m_away; }
  void Away() {
    m_away = true;
    m_changed.notify_all();
    m_server.Away();
  }
  // Comes back, from an older copy if there is one.
  void Return(const Copy* copy) {
    {
      const std::lock_guard lock(m_mutex);
      if (copy != nullptr) {
        m_data = *copy;
        ++m_era;
      }
    }
    m_away = false;
    m_server.Open();
  }
  // Cuts the watches of this prefix that are waiting; returns how many.
  int CutWatches(const std::string& prefix) {
    const std::lock_guard lock(m_mutex);
    int cut = 0;
    for (const auto& [channel, watched] : m_waiting) {
      if (watched == prefix) {
        channel->Cut();
        m_cut.insert(channel);
        ++cut;
      }
    }
    m_changed.notify_all();
    return cut;
  }
  void Stop() {
    if (!m_away) {
      Away();
    }
  }

 private:
  static std::string Query(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string part =
          target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.starts_with(name + "=")) {
        std::string value;
        const std::string raw = part.substr(name.size() + 1);
        for (std::size_t i = 0; i < raw.size(); ++i) {
          if (raw[i] == '%') {
            value +=
                static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            value += raw[i];
          }
        }
        return value;
      }
      at = end;
    }
    return {};
  }
  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", EncodeBase64(item.value)},
            {"revision", item.revision},
            {"created_at", item.revision},
            {"lease", 0}};
  }
  std::string Headers() const {
    return "Content-Type: application/json\r\nStore-Era: " +
           std::to_string(m_era) + "\r\n";
  }

  bool Handle(Channel& channel, const Message& request) {
    std::unique_lock lock(m_mutex);
    const std::string& target = request.target;
    const std::string prefix = Query(target, "prefix");
    if (target.starts_with("/kv-range")) {
      const std::string after = Query(target, "after");
      Json items = Json::array();
      bool has_more = false;
      for (const auto& [key, item] : m_data.items) {
        if (key.starts_with(prefix) && key > after) {
          if (items.size() == 500) {
            has_more = true;
            break;
          }
          items.push_back(ToJson(key, item));
        }
      }
      const Json body{
          {"items", items}, {"has_more", has_more}, {"at", m_data.revision}};
      const std::string answer = Answer(200, Headers(), body.dump());
      lock.unlock();
      return channel.Write(answer);
    }
    if (!target.starts_with("/kv-watch")) {
      const std::string answer = Answer(404, Headers(), "{}");
      lock.unlock();
      return channel.Write(answer);
    }
    const std::uint64_t after = std::stoull(Query(target, "after"));
    const auto end =
        Clock::now() + milliseconds(std::stoll(Query(target, "wait_ms")));
    if (after > m_data.revision) {
      const std::string answer = Answer(410, Headers(), "{}");
      lock.unlock();
      return channel.Write(answer);
    }
    const auto find = [&] {
      Json events = Json::array();
      for (const Change& change : m_data.changes) {
        if (change.revision > after && change.key.starts_with(prefix)) {
          if (change.value) {
            events.push_back(
                ToJson(change.key, {*change.value, change.revision}));
          } else {
            events.push_back({{"key", change.key},
                              {"revision", change.revision},
                              {"tombstone", true}});
          }
        }
      }
      return events;
    };
    m_waiting.emplace(&channel, prefix);
    Json events = find();
    bool cut = false;
    while (events.empty() && !m_away && !cut &&
           m_changed.wait_until(lock, end) == std::cv_status::no_timeout) {
      cut = m_cut.erase(&channel) > 0;
      events = find();
    }
    cut = m_cut.erase(&channel) > 0 || cut;
    m_waiting.erase(&channel);
    if (m_away || cut) {
      return false;
    }
    const Json body{{"events", events}, {"at", m_data.revision}};
    const std::string answer = Answer(200, Headers(), body.dump());
    lock.unlock();
    return channel.Write(answer);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Copy m_data{};
  std::uint64_t m_era;
  std::atomic<bool> m_away = false;
  std::map<Channel*, std::string> m_waiting;
  std::set<Channel*> m_cut;
  Server m_server;
};

// The entry program as a separate process, by the command of the deploy file.
class Entry {
 public:
  Entry(std::string root, std::string folder, std::string name, int store_port)
      : m_root(std::move(root)),
        m_folder(std::move(folder)),
        m_name(std::move(name)),
        m_store_port(store_port),
        m_ports(FreePorts(5)) {}
  ~Entry() { Kill(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  const std::string& Name() const { return m_name; }
  int Front() const { return m_ports[0]; }
  int Ready() const { return m_ports[1]; }
  int Control() const { return m_ports[2]; }
  std::string ControlAddress() const {
    return "127.0.0.1:" + std::to_string(Control());
  }

  // `bootstrap`: the whole system starts for the first time.
  void Start(const std::vector<std::string>& seeds, bool bootstrap = true) {
    const auto address = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const Json settings{{"node", m_name},
                        {"role", "entry"},
                        {"machine_class", "edge"},
                        {"serves", {"edge", "control"}},
                        {"ip", "127.0.0.1"},
                        {"zone", "sask-a"},
                        {"region", "sask"},
                        {"zones", {{"sask-a", "sask"}}},
                        {"listen",
                         {{"front", address(m_ports[0])},
                          {"ready", address(m_ports[1])},
                          {"control", address(m_ports[2])}}},
                        {"internal_ports", {m_ports[3], m_ports[4]}},
                        {"seeds", seeds},
                        {"bootstrap", bootstrap},
                        {"limits",
                         {{"cpu_share", 0.19},
                          {"cores", 1},
                          {"memory_mb", 260},
                          {"max_fds", 4200},
                          {"link_mbps", 1000.0},
                          {"disk_mb", 0}}},
                        {"data_dir", nullptr},
                        {"discovery", "platform"},
                        {"heartbeat_ms", 1200},
                        {"bounds",
                         {{"stability_ms", 3000},
                          {"ack_ms", 4000},
                          {"drain_ms", 2000},
                          {"grace_s", 8},
                          {"loss_slack_ms", 200},
                          {"config_apply_ms", 2000},
                          {"downgrade_slack_ms", 250},
                          {"max_skew_ms", 5000},
                          {"revoke_strict", true},
                          {"revoke_ms", 5000},
                          {"retry_budget_ratio", 0.2},
                          {"budget_window_s", 10},
                          {"budget_slack", 100},
                          {"recovery_s", 12},
                          {"version_ms", 8000}}},
                        {"platform",
                         {{"address", address(m_store_port)},
                          {"form", "read"},
                          {"reads_per_s", 2000},
                          {"history_s", 20},
                          {"value_bytes", 1048576}}}};
    const std::string path = m_folder + "/" + m_name + ".json";
    std::ofstream(path) << settings.dump(1);
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      if (chdir(m_root.c_str()) != 0) {
        _exit(127);
      }
      setenv("RADISHRUDDER_SETTINGS", path.c_str(), 1);
      execl("target/bin/radishrudder-platform-entry",
            "target/bin/radishrudder-platform-entry", nullptr);
      _exit(127);
    }
  }
  pid_t Pid() const { return m_pid; }
  void Signal(int number) const { kill(m_pid, number); }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  bool IsRunning() {
    if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
      m_pid = -1;
    }
    return m_pid > 0;
  }
  // As `waitpid` gave it, if the process has ended by itself.
  int EndStatus() const { return m_status; }
  bool IsReady() const {
    const auto channel = Connect(Ready());
    if (!channel || !channel->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = channel->Read();
    return answer && answer->status == 200;
  }
  bool AwaitReady(double seconds) const {
    const double end = Now() + seconds;
    while (Now() < end) {
      if (IsReady()) {
        return true;
      }
      Sleep(0.05);
    }
    return false;
  }
  // Peak of its resident memory in bytes.
  std::size_t PeakBytes() const { return Status("VmHWM:"); }
  std::size_t ResidentBytes() const { return Status("VmRSS:"); }

 private:
  std::size_t Status(std::string_view name) const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(name)) {
        return std::stoull(line.substr(name.size())) << 10U;
      }
    }
    return 0;
  }

  std::string m_root;
  std::string m_folder;
  std::string m_name;
  int m_store_port;
  std::vector<int> m_ports;
  pid_t m_pid = -1;
  int m_status = 0;
};

// Where a script runs: ROOT OUTPUT_FOLDER WORK_FOLDER on the command line.
struct Place {
  std::string root{};
  std::string output{};
  std::string work{};
  bool trouble = true;
};
inline Place ReadPlace(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: %s ROOT OUTPUT WORK\n", argv[0]);
    std::_Exit(kCouldNotRun);
  }
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = getenv("TROUBLE");
  return {argv[1], argv[2], argv[3],
          trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review

#endif  // REVIEW_COMMON_STANDIN_H_
