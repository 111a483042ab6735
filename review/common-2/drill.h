// Stand-ins for the cases of the second review: the platform's store, runners
// and clients as threads of one process, and the project's programs as
// processes of their own. They speak what the users' page PROTOCOL.md says.
// Blocking sockets, one thread for each connection.
#ifndef REVIEW_COMMON_2_DRILL_H_
#define REVIEW_COMMON_2_DRILL_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

// Seconds since the start of the drill, on the steady clock.
inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepUntil(double time) {
  const double left = time - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

inline void Sleep(double seconds) {
  SleepUntil(Now() + seconds);
}

// The record of what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path) { m_file.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.3f ", Now());
    const std::lock_guard lock(m_mutex);
    m_file << time.data() << text << '\n';
    m_file.flush();
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

inline Record& TheRecord() {
  static Record record;
  return record;
}

inline void Note(const std::string& text) {
  TheRecord().Line(text);
}

// Notes the line and shows it.
inline void Say(const std::string& text) {
  Note(text);
  std::cout << text << std::endl;
}

inline std::string RandomHex(int digits) {
  static std::mutex mutex;
  static std::mt19937_64 generator(std::random_device{}());
  const std::lock_guard lock(mutex);
  std::string text;
  for (int i = 0; i < digits; ++i) {
    text += "0123456789abcdef"[generator() % 16];
  }
  return text;
}

inline bool EqualNames(std::string_view first, std::string_view second) {
  if (first.size() != second.size()) {
    return false;
  }
  for (std::size_t i = 0; i < first.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(first[i])) !=
        std::tolower(static_cast<unsigned char>(second[i]))) {
      return false;
    }
  }
  return true;
}

// The head of a request or an answer.
struct Head {
  std::string first_line{};
  std::vector<std::pair<std::string, std::string>> headers{};

  std::string Find(std::string_view name) const {
    for (const auto& [known, value] : headers) {
      if (EqualNames(known, name)) {
        return value;
      }
    }
    return {};
  }
  // The method, or the protocol of an answer.
  std::string Word(int index) const {
    std::istringstream words(first_line);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
};

// A connection. Reads return false once it has ended.
class Channel {
 public:
  explicit Channel(int handle) : m_handle(handle) {
    const int on = 1;
    setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Channel() { close(m_handle); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void SetTimeout(double seconds) const {
    timeval time{};
    time.tv_sec = static_cast<time_t>(seconds);
    time.tv_usec = static_cast<suseconds_t>(
        (seconds - static_cast<double>(time.tv_sec)) * 1e6);
    setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(m_handle, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  }

  bool Write(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t sent =
          send(m_handle, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  bool ReadLine(std::string& line) {
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill()) {
        return false;
      }
      end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }

  bool ReadExactly(std::size_t size, std::string& bytes) {
    while (m_buffer.size() < size) {
      if (!Fill()) {
        return false;
      }
    }
    bytes = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

  bool ReadHead(Head& head) {
    head = {};
    if (!ReadLine(head.first_line)) {
      return false;
    }
    std::string line;
    while (ReadLine(line)) {
      if (line.empty()) {
        return true;
      }
      const std::size_t colon = line.find(':');
      std::string value =
          colon == std::string::npos ? "" : line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      head.headers.emplace_back(line.substr(0, colon), value);
    }
    return false;
  }

  // Whether the peer has closed the connection; waits so long for that.
  bool IsClosedWithin(double seconds) const {
    pollfd entry{m_handle, POLLIN | POLLRDHUP, 0};
    if (poll(&entry, 1, static_cast<int>(seconds * 1000)) <= 0) {
      return false;
    }
    if ((entry.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
      return true;
    }
    char byte = 0;
    const ssize_t seen =
        recv(m_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
    return seen == 0;
  }

  // Ends the connection with a reset, as the crash of its process does.
  void Reset() const {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    // A connect to nowhere ends the connection at once, though another thread
    // reads from it.
    sockaddr nowhere{};
    nowhere.sa_family = AF_UNSPEC;
    connect(m_handle, &nowhere, sizeof(nowhere));
  }
  void Shutdown() const { shutdown(m_handle, SHUT_RDWR); }

 private:
  bool Fill() {
    std::array<char, 16384> bytes{};
    const ssize_t size = recv(m_handle, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  int m_handle;
  std::string m_buffer;
};

inline sockaddr_in ToSocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int BindSocket(const std::string& ip, int port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(ip, port);
  if (bind(handle, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    close(handle);
    return -1;
  }
  return handle;
}

// Returns the first of `count` ports that are free on all of the addresses.
inline int FindFreePorts(const std::vector<std::string>& ips, int count) {
  std::mt19937 generator(std::random_device{}());
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int first = 18000 + static_cast<int>(generator() % 1000) * 12;
    bool free = true;
    for (const std::string& ip : ips) {
      for (int port = first; free && port < first + count; ++port) {
        const int handle = BindSocket(ip, port);
        free = handle >= 0;
        if (free) {
          close(handle);
        }
      }
    }
    if (free) {
      return first;
    }
  }
  Say("no free ports");
  std::exit(kNotRun);
}

// Accepts connections; each is handled on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Channel&)>;

  Listener(const std::string& ip, int port, Handler handler)
      : m_handle(BindSocket(ip, port)), m_handler(std::move(handler)) {
    if (m_handle < 0 || listen(m_handle, 512) != 0) {
      Say("cannot listen on " + ip + ":" + std::to_string(port));
      std::exit(kNotRun);
    }
    m_thread = std::thread([this] { Run(); });
  }
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Closes the listener and resets its connections.
  void Stop() {
    if (m_stopped.exchange(true)) {
      return;
    }
    shutdown(m_handle, SHUT_RDWR);
    if (m_thread.get_id() == std::this_thread::get_id()) {
      m_thread.detach();
    } else {
      m_thread.join();
    }
    close(m_handle);
    ResetChannels();
  }

  void ResetChannels() {
    const std::lock_guard lock(m_mutex);
    for (const std::shared_ptr<Channel>& channel : m_channels) {
      channel->Reset();
    }
  }

 private:
  void Run() {
    while (!m_stopped) {
      const int handle = accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        continue;
      }
      const auto channel = std::make_shared<Channel>(handle);
      {
        const std::lock_guard lock(m_mutex);
        m_channels.insert(channel);
      }
      std::thread([this, channel] {
        m_handler(*channel);
        channel->Shutdown();
        const std::lock_guard lock(m_mutex);
        m_channels.erase(channel);
      }).detach();
    }
  }

  int m_handle;
  Handler m_handler;
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
  std::mutex m_mutex;
  std::set<std::shared_ptr<Channel>> m_channels;
};

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

// Returns a field of a query, with the two escapes that occur decoded.
inline std::string QueryField(const std::string& target,
                              const std::string& name) {
  std::size_t begin = target.find("?" + name + "=");
  if (begin == std::string::npos) {
    begin = target.find("&" + name + "=");
  }
  if (begin == std::string::npos) {
    return {};
  }
  begin += name.size() + 2;
  std::string value = target.substr(begin, target.find('&', begin) - begin);
  for (std::size_t at = value.find("%2F"); at != std::string::npos;
       at = value.find("%2F")) {
    value.replace(at, 3, "/");
  }
  return value;
}

// The platform's metadata store.
class Store {
 public:
  struct Item {
    std::string value{};
    std::uint64_t revision = 0;
  };
  // What a copy of the store holds.
  struct Copy {
    std::map<std::string, Item> items{};
    std::uint64_t revision = 0;
  };

  Store(const std::string& ip, int port)
      : m_address(ip + ":" + std::to_string(port)),
        m_listener(ip, port, [this](Channel& channel) { Serve(channel); }) {}

  const std::string& Address() const { return m_address; }

  // Writes an item and returns the time of the acknowledgement. Nothing can be
  // written while the store is away.
  std::optional<double> Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    if (m_away) {
      return std::nullopt;
    }
    m_content.items[key] = {value, ++m_content.revision};
    m_history.push_back({key, false, value, m_content.revision});
    m_changed.notify_all();
    return Now();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    if (!m_away && m_content.items.erase(key) > 0) {
      m_history.push_back({key, true, {}, ++m_content.revision});
      m_changed.notify_all();
    }
  }

  Copy MakeCopy() {
    const std::lock_guard lock(m_mutex);
    return m_content;
  }
  void GoAway() {
    {
      const std::lock_guard lock(m_mutex);
      m_away = true;
      m_changed.notify_all();
    }
    m_listener.ResetChannels();
  }
  // Comes back from an older copy, in the next era.
  void ComeBack(const Copy& copy) {
    const std::lock_guard lock(m_mutex);
    m_content = copy;
    m_history.clear();
    m_history_begin = copy.revision;
    ++m_era;
    m_away = false;
  }

 private:
  struct Change {
    std::string key{};
    bool removed = false;
    std::string value{};
    std::uint64_t revision = 0;
  };

  static std::string ItemText(const std::string& key,
                              const std::string& value,
                              std::uint64_t revision) {
    return R"({"key":")" + key + R"(","value":")" + EncodeBase64(value) +
           R"(","revision":)" + std::to_string(revision) + R"(,"created_at":)" +
           std::to_string(revision) + R"(,"lease":0})";
  }

  void Serve(Channel& channel) {
    Head head;
    while (channel.ReadHead(head)) {
      const std::string target = head.Word(1);
      int status = 200;
      std::string body;
      std::uint64_t era = 0;
      {
        std::unique_lock lock(m_mutex);
        if (m_away) {
          return;
        }
        if (target.starts_with("/kv-range")) {
          body = PageBody(target);
        } else if (target.starts_with("/kv-watch")) {
          status = Watch(target, lock, body);
        } else {
          status = 400;
        }
        if (m_away) {
          return;
        }
        era = m_era;
      }
      if (!channel.Write("HTTP/1.1 " + std::to_string(status) +
                         " Answer\r\nContent-Type: application/json\r\n"
                         "Store-Era: " +
                         std::to_string(era) + "\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::string PageBody(const std::string& target) const {
    const std::string prefix = QueryField(target, "prefix");
    const std::string after = QueryField(target, "after");
    std::string items;
    for (const auto& [key, item] : m_content.items) {
      if (key.starts_with(prefix) && key > after) {
        items += (items.empty() ? "" : ",") +
                 ItemText(key, item.value, item.revision);
      }
    }
    return R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
           std::to_string(m_content.revision) + "}";
  }

  int Watch(const std::string& target,
            std::unique_lock<std::mutex>& lock,
            std::string& body) {
    const std::string prefix = QueryField(target, "prefix");
    const std::uint64_t after = std::stoull(QueryField(target, "after"));
    const auto end =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::stoll(QueryField(target, "wait_ms")));
    const std::uint64_t era = m_era;
    std::string events;
    while (true) {
      if (m_era != era || after > m_content.revision ||
          after < m_history_begin) {
        return 410;
      }
      for (const Change& change : m_history) {
        if (change.revision > after && change.key.starts_with(prefix)) {
          events += events.empty() ? "" : ",";
          events += change.removed
                        ? R"({"key":")" + change.key + R"(","revision":)" +
                              std::to_string(change.revision) +
                              R"(,"tombstone":true})"
                        : ItemText(change.key, change.value, change.revision);
        }
      }
      if (!events.empty() || m_away ||
          m_changed.wait_until(lock, end) == std::cv_status::timeout) {
        break;
      }
    }
    body = R"({"events":[)" + events + R"(],"at":)" +
           std::to_string(m_content.revision) + "}";
    return 200;
  }

  std::string m_address;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  Copy m_content{.items = {}, .revision = 10};
  std::vector<Change> m_history;
  std::uint64_t m_history_begin = 0;
  std::uint64_t m_era = 1;
  bool m_away = false;
  Listener m_listener;
};

// A request as it reached a runner.
struct RunnerRequest {
  Head head{};
  std::string method{};
  std::string target{};
  std::string id{};
  std::string body{};
  double arrived = 0;
};

// One boot of a runner.
class Runner {
 public:
  using Behaviour =
      std::function<void(const RunnerRequest&, Channel&, Runner&)>;

  Runner(Store& store,
         std::string id,
         std::string service,
         std::string zone,
         const std::string& ip,
         int port,
         Behaviour behaviour)
      : m_store(store),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_address(ip + ":" + std::to_string(port)),
        m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_behaviour(std::move(behaviour)),
        m_listener(ip, port, [this](Channel& channel) { Serve(channel); }),
        m_heartbeat([this] { Beat(); }) {}
  ~Runner() { End(); }
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  const std::string& Id() const { return m_id; }
  const std::string& Address() const { return m_address; }
  // Members of the entry in the list, each preceded by a comma.
  void SetMembers(const std::string& members) {
    const std::lock_guard lock(m_mutex);
    m_members = members;
  }
  void SetSlots(int slots) { m_slots = slots; }
  void Drain() {
    m_draining = true;
    WriteEntry();
  }
  void WriteEntry() {
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
      return;
    }
    m_store.Put("servers/" + m_id,
                R"({"service":")" + m_service + R"(","address":")" + m_address +
                    R"(","zone":")" + m_zone + R"(","version":")" + m_software +
                    R"(","slots":)" + std::to_string(m_slots.load()) +
                    R"(,"state":")" + (m_draining ? "draining" : "ready") +
                    R"(","cold_remaining_ms":0,"sequence":)" +
                    std::to_string(++m_sequence) + R"(,"born":)" +
                    std::to_string(m_born) + m_members + "}");
  }
  void SetSoftware(const std::string& software) { m_software = software; }

  // Ends as by a crash: the list is not told.
  void Crash() {
    m_ended = true;
    m_listener.Stop();
  }
  bool HasEnded() const { return m_ended; }
  void RemoveEntry() { m_store.Remove("servers/" + m_id); }

  // The head of an answer that the runner gives itself, without its last line.
  static std::string AnswerHead(const RunnerRequest& request, int status) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nRadishrudder-Attempt-Id: " + request.id +
           "\r\nRadishrudder-Response-Signature: proof-" + request.id + "\r\n";
  }
  static bool Answer(const RunnerRequest& request,
                     Channel& channel,
                     int status,
                     const std::string& body) {
    return channel.Write(AnswerHead(request, status) + "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  static bool Shed(const RunnerRequest& request, Channel& channel) {
    return channel.Write(
        "HTTP/1.1 503 Unavailable\r\nRadishrudder-Not-Executed: 1\r\n"
        "Radishrudder-Attempt-Id: " +
        request.id + "\r\nContent-Length: 0\r\n\r\n");
  }

 private:
  void Serve(Channel& channel) {
    RunnerRequest request;
    while (channel.ReadHead(request.head)) {
      request.method = request.head.Word(0);
      request.target = request.head.Word(1);
      request.id = request.head.Find("Radishrudder-Attempt-Id");
      const std::string length = request.head.Find("Content-Length");
      if (!length.empty() &&
          !channel.ReadExactly(std::stoull(length), request.body)) {
        return;
      }
      request.arrived = Now();
      const std::string expected =
          request.head.Find("Radishrudder-Expect-Instance");
      if (!expected.empty() && expected != m_id) {
        channel.Write("HTTP/1.1 421 Misdirected\r\nRadishrudder-Served-By: " +
                      m_id + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      m_behaviour(request, channel, *this);
      request = {};
    }
  }

  void Beat() {
    constexpr double kHeartbeatSeconds = 1.2;
    double next = Now();
    while (!m_ended) {
      if (Now() >= next) {
        WriteEntry();
        next += kHeartbeatSeconds;
      }
      Sleep(0.02);
    }
  }

  void End() {
    m_ended = true;
    m_listener.Stop();
    if (m_heartbeat.joinable()) {
      m_heartbeat.join();
    }
  }

  Store& m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_address;
  std::int64_t m_born;
  Behaviour m_behaviour;
  std::mutex m_mutex;
  std::string m_members;
  std::string m_software = "v1";
  std::atomic<int> m_slots = 8;
  std::uint64_t m_sequence = 0;
  std::atomic<bool> m_draining = false;
  std::atomic<bool> m_ended = false;
  Listener m_listener;
  std::thread m_heartbeat;
};

// One machine of the deployment.
struct Machine {
  std::string name{};
  std::string zone{};
  std::string ip{};
};

// The settings that the platform gives a process.
struct SettingsInput {
  Machine machine{};
  bool is_entry = true;
  int first_port = 0;  // Of the ports that all machines have.
  std::string store{};
  std::vector<std::string> seeds{};
  std::string endpoint{};  // Of an agent.
  std::string service{};
};

constexpr int kFrontPort = 0;
constexpr int kReadyPort = 1;
constexpr int kControlPort = 2;
constexpr int kStorePort = 3;
constexpr int kRunnerPort = 4;
constexpr int kInternalPort = 5;
constexpr int kPortCount = 12;

inline std::string SettingsText(const SettingsInput& input) {
  const Machine& machine = input.machine;
  const auto address = [&](int offset) {
    return "\"" + machine.ip + ":" + std::to_string(input.first_port + offset) +
           "\"";
  };
  std::string seeds;
  for (const std::string& seed : input.seeds) {
    seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
  }
  const int internal = input.first_port + kInternalPort;
  std::string text =
      R"({"node":")" + machine.name + R"(","role":")" +
      (input.is_entry ? "entry" : "agent") + R"(","machine_class":")" +
      (input.is_entry ? "edge" : "side") + R"(","serves":)" +
      (input.is_entry ? R"(["edge","control"])" : R"(["side"])") +
      R"(,"ip":")" + machine.ip + R"(","zone":")" + machine.zone +
      R"(","region":")" + machine.zone.substr(0, machine.zone.find('-')) +
      R"(","zones":{"sask-a":"sask","mb-a":"mb","ab-a":"ab"},"listen":{)";
  if (input.is_entry) {
    text += R"("front":)" + address(kFrontPort) + R"(,"ready":)" +
            address(kReadyPort) + R"(,"control":)" + address(kControlPort);
  }
  text +=
      R"(},"internal_ports":[)" + std::to_string(internal) + "," +
      std::to_string(internal + 6) + R"(],"seeds":[)" + seeds +
      R"(],"bootstrap":true,"counts_as_loss":false,)"
      R"("limits":{"cpu_share":)" +
      (input.is_entry ? R"(0.19,"cores":1,"memory_mb":260,"max_fds":4200,)"
                        R"("link_mbps":1000.0)"
                      : R"(0.3,"cores":1,"memory_mb":128,"max_fds":2048,)"
                        R"("link_mbps":7.6)") +
      R"(,"disk_mb":0},"data_dir":null,"discovery":"platform","entry":"vip",)"
      R"("heartbeat_ms":1200,"contracts":["base","drain","config","cost",)"
      R"("retry","recover","engine","stream","tenants","platform","chunks"],)"
      R"("fault_tolerance":{"machines":2,"zones":0,"regions":0},)"
      R"("bounds":{"seed_lag_s":3,"reuse_after_s":2,"stability_ms":3000,)"
      R"("ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,)"
      R"("loss_slack_ms":200,"config_apply_ms":2000,)"
      R"("downgrade_slack_ms":250,"max_skew_ms":5000,"revoke_strict":true,)"
      R"("revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,)"
      R"("budget_slack":100,"recovery_s":12,"pass_ms":120,)"
      R"("retry_after_s":0,"version_ms":8000,"version_all_ms":0},)";
  if (!input.is_entry) {
    text += R"("app":")" + input.endpoint + R"(","service":")" + input.service +
            R"(",)";
  }
  return text + R"("platform":{"address":")" + input.store +
         R"(","form":"read","writes_per_s":400,"reads_per_s":2000,)"
         R"("history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}})";
}

// One of the project's programs as a process. The destructor kills it.
class Program {
 public:
  Program(std::string path, const std::string& folder, SettingsInput settings)
      : m_path(std::move(path)),
        m_settings(std::move(settings)),
        m_file(folder + "/" + m_settings.machine.name + ".json"),
        m_log(folder + "/" + m_settings.machine.name + ".log") {
    std::ofstream(m_file) << SettingsText(m_settings);
  }
  ~Program() { Kill(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  const std::string& Name() const { return m_settings.machine.name; }
  const std::string& Ip() const { return m_settings.machine.ip; }

  void Start() {
    const std::string variable = "RADISHRUDDER_SETTINGS=" + m_file;
    const std::string path_variable = "PATH=/usr/bin:/bin";
    m_pid = fork();
    if (m_pid == 0) {
      const int log =
          open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      std::string path = m_path;
      std::string first = variable;
      std::string second = path_variable;
      std::array<char*, 2> arguments{path.data(), nullptr};
      std::array<char*, 3> environment{first.data(), second.data(), nullptr};
      execve(m_path.c_str(), arguments.data(), environment.data());
      _exit(127);
    }
    Note("process " + Name() + " started");
  }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
      Note("process " + Name() + " killed");
    }
  }
  bool IsRunning() const {
    return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == 0;
  }

 private:
  std::string m_path;
  SettingsInput m_settings;
  std::string m_file;
  std::string m_log;
  pid_t m_pid = -1;
};

// A request of a client.
struct ClientRequest {
  std::string method = "POST";
  std::string host{};
  std::string target{};
  std::string id = RandomHex(16);
  std::string key{};
  std::string headers{};  // Further ones, whole lines.
  std::string body{};
  int deadline_ms = 5000;
  double give_up_s = 8;  // Longest pause of the answer that the client bears.
};

struct ClientAnswer {
  int status = 0;  // 0: none came.
  Head head{};
  std::string body{};
  bool complete = false;
  double sent = 0;
  double ended = 0;
};

inline std::unique_ptr<Channel> Connect(const std::string& ip, int port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{.tv_sec = 1, .tv_usec = 0};
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = ToSocketAddress(ip, port);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(handle);
    return nullptr;
  }
  return std::make_unique<Channel>(handle);
}

inline bool ReadBody(Channel& channel, const Head& head, std::string& body) {
  if (const std::string length = head.Find("Content-Length"); !length.empty()) {
    return channel.ReadExactly(std::stoull(length), body);
  }
  if (head.Find("Transfer-Encoding") != "chunked") {
    return true;
  }
  std::string line;
  while (channel.ReadLine(line)) {
    const std::size_t size = std::stoull(line, nullptr, 16);
    std::string chunk;
    std::string end;
    if (!channel.ReadExactly(size, chunk) || !channel.ReadExactly(2, end)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    body += chunk;
  }
  return false;
}

// Sends one request on a new connection and waits for its answer.
inline ClientAnswer Call(const std::string& ip,
                         int port,
                         const ClientRequest& request) {
  ClientAnswer answer;
  answer.sent = Now();
  const std::unique_ptr<Channel> channel = Connect(ip, port);
  if (!channel) {
    answer.ended = Now();
    return answer;
  }
  channel->SetTimeout(request.give_up_s);
  std::string text =
      request.method + " " + request.target + " HTTP/1.1\r\n" +
      "Host: " + request.host + "\r\nRadishrudder-Attempt-Id: " + request.id +
      "\r\nRadishrudder-Deadline-Ms: " + std::to_string(request.deadline_ms) +
      "\r\n";
  if (!request.key.empty()) {
    text += "Authorization: Token " + request.key + "\r\n";
  }
  text += request.headers;
  if (request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  answer.sent = Now();
  if (channel->Write(text + "\r\n" + request.body) &&
      channel->ReadHead(answer.head)) {
    answer.status = std::atoi(answer.head.Word(1).c_str());
    answer.complete = ReadBody(*channel, answer.head, answer.body);
  }
  answer.ended = Now();
  return answer;
}

inline bool AwaitReady(const Program& entry, int first_port) {
  for (int i = 0; i < 200; ++i) {
    ClientRequest question{
        .method = "GET", .host = "ready", .target = "/ready"};
    question.give_up_s = 1;
    if (Call(entry.Ip(), first_port + kReadyPort, question).status == 200) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

// Calls `action` on a thread of its own.
class Threads {
 public:
  ~Threads() { Join(); }
  void Add(std::function<void()> action) {
    m_threads.emplace_back(std::move(action));
  }
  void Join() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

 private:
  std::vector<std::thread> m_threads;
};

// What the command line of a drill says.
struct DrillSettings {
  std::string temporary{};  // Folder for settings and logs.
  bool trouble = true;
};

inline DrillSettings ParseDrill(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: " << argv[0]
              << " RECORD-FILE TEMPORARY-FOLDER TROUBLE\n";
    std::exit(kNotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  TheRecord().Open(argv[1]);
  Now();
  return {argv[2], std::string(argv[3]) != "0"};
}

// Ends the drill. Threads of stand-ins may still run, so nothing is destroyed.
[[noreturn]] inline void EndDrill(int result) {
  Say(result == kRuleBroken ? "the rule was broken"
      : result == kRuleHeld ? "the rule held"
                            : "the case could not run");
  std::cout.flush();
  _exit(result);
}

}  // namespace review

#endif  // REVIEW_COMMON_2_DRILL_H_
