// Small stand-ins for the cases of this review: the platform's store, runners
// and clients over plain blocking sockets, and the project's programs as
// separate processes. Everything stays on loopback addresses.
#ifndef REVIEW_COMMON_3_KIT_H_
#define REVIEW_COMMON_3_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
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
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// What was sent, answered and run, with the seconds since the start.
class Record {
 public:
  void Open(const std::string& path) { m_file.open(path, std::ios::trunc); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    char stamp[32];
    snprintf(stamp, sizeof(stamp), "%9.3f ", Seconds());
    const std::lock_guard lock(m_mutex);
    m_file << stamp << text << "\n" << std::flush;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};
inline Record record;

// Ends the case: 1 broken, 0 held, 2 could not run. The destructors of
// programs do not run, so `Programs` are ended by `AtEnd`.
inline std::function<void()> at_end;
[[noreturn]] inline void Finish(int code, const std::string& why) {
  record.Line("result %d: %s", code, why.c_str());
  std::cout << (code == 1   ? "BROKEN: "
                : code == 0 ? "held: "
                            : "could not run: ")
            << why << std::endl;
  if (at_end) {
    at_end();
  }
  _exit(code);
}

// Sockets.

inline sockaddr_in Address(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

// Listens on a free port, or on the stated one. Returns the handle.
inline int Listen(const std::string& ip, int& port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = Address(ip + ":" + std::to_string(port));
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(handle, 1024) != 0) {
    Finish(2, "no port to listen on");
  }
  socklen_t size = sizeof(address);
  getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return handle;
}

// The first of `count` successive free ports.
inline int FreePorts(const std::string& ip, int count) {
  static int next = 10000 + static_cast<int>(getpid() % 900) * 24;
  for (int tries = 0; tries < 2000; ++tries) {
    next += count;
    if (next + count >= 32000) {
      next = 10000;
    }
    bool all = true;
    for (int i = 0; i < count && all; ++i) {
      const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = Address(ip + ":" + std::to_string(next + i));
      all = bind(handle, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0;
      close(handle);
    }
    if (all) {
      return next;
    }
  }
  Finish(2, "no free ports");
}

inline int Connect(const std::string& to) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(to);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(handle);
    return -1;
  }
  const int one = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return handle;
}

inline bool SendAll(int handle, std::string_view text) {
  while (!text.empty()) {
    const ssize_t sent = send(handle, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads more bytes. Returns 1, 0 at the end of the connection, -1 after a
// reset, and -2 if nothing came in time.
inline int ReadMore(int handle, std::string& buffer, int timeout_ms) {
  pollfd state{handle, POLLIN, 0};
  if (poll(&state, 1, timeout_ms) <= 0) {
    return -2;
  }
  char bytes[16384];
  const ssize_t size = recv(handle, bytes, sizeof(bytes), 0);
  if (size > 0) {
    buffer.append(bytes, static_cast<std::size_t>(size));
    return 1;
  }
  return size == 0 ? 0 : -1;
}

// The close of the connection will reset it.
inline void ResetAtClose(int handle) {
  const linger option{1, 0};
  setsockopt(handle, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

// Messages.

struct Message {
  std::string first{};  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers{};
  std::string body{};
  bool whole = false;

  std::string Header(std::string_view name) const {
    for (const auto& [known, value] : headers) {
      if (strcasecmp(known.c_str(), std::string(name).c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  std::string Path() const {
    const std::string target = Target();
    return target.substr(0, target.find('?'));
  }
  std::string Query(const std::string& name) const {
    const std::string target = Target();
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string part = target.substr(begin, at - begin);
      if (part.rfind(name + "=", 0) == 0) {
        return part.substr(name.size() + 1);
      }
    }
    return {};
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
};

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, /*base=*/16));
      i += 2;
    } else {
      plain += text[i] == '+' ? ' ' : text[i];
    }
  }
  return plain;
}

// Reads one message; what follows it stays in `buffer`. `response`: without a
// length, its body ends with the connection. Returns false if the connection
// ended, was reset or was silent for the time; the message then holds what
// came.
inline bool ReadMessage(int handle,
                        std::string& buffer,
                        Message& message,
                        int timeout_ms,
                        bool response = false) {
  message = {};
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (ReadMore(handle, buffer, timeout_ms) != 1) {
      return false;
    }
  }
  std::istringstream head(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.first.empty()) {
      message.first = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers.emplace_back(line.substr(0, colon), value);
  }
  if (response && message.Status() < 200) {
    return ReadMessage(handle, buffer, message, timeout_ms, response);
  }
  const auto need = [&](std::size_t size) {
    while (buffer.size() < size) {
      if (ReadMore(handle, buffer, timeout_ms) != 1) {
        return false;
      }
    }
    return true;
  };
  if (message.Header("Transfer-Encoding") == "chunked") {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = buffer.find("\r\n")) == std::string::npos) {
        if (ReadMore(handle, buffer, timeout_ms) != 1) {
          return false;
        }
      }
      const std::size_t size =
          std::strtoul(buffer.c_str(), nullptr, /*base=*/16);
      buffer.erase(0, line_end + 2);
      if (!need(size + 2)) {
        message.body += buffer.substr(0, size);
        return false;
      }
      message.body += buffer.substr(0, size);
      buffer.erase(0, size + 2);
      if (size == 0) {
        message.whole = true;
        return true;
      }
    }
  }
  const std::string length = message.Header("Content-Length");
  if (length.empty() && response) {
    int result = 1;
    while ((result = ReadMore(handle, buffer, timeout_ms)) == 1) {
    }
    message.body = std::exchange(buffer, {});
    message.whole = result == 0;
    return message.whole;
  }
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  if (!need(size)) {
    message.body = buffer;
    return false;
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  message.whole = true;
  return true;
}

// A server with a thread for each connection. The handler answers on the
// handle and returns whether the connection may be kept.
class Server {
 public:
  using Handler = std::function<bool(int, const Message&)>;

  Server(const std::string& ip, Handler handler, int port = 0)
      : m_handler(std::move(handler)), m_port(port) {
    m_handle = kit::Listen(ip, m_port);
    m_address = ip + ":" + std::to_string(m_port);
    std::thread([this] { Accept(); }).detach();
  }
  const std::string& Address() const { return m_address; }
  // Channels are numbered in the order in which they are accepted.
  std::uint64_t NextChannel() const { return m_next_channel; }
  // The channel whose request is being handled on this thread.
  static std::uint64_t& CurrentChannel() {
    thread_local std::uint64_t channel = 0;
    return channel;
  }

 private:
  void Accept() {
    while (true) {
      const int handle = accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        Sleep(10);
        continue;
      }
      const int one = 1;
      setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, handle, channel = m_next_channel++] {
        CurrentChannel() = channel;
        std::string buffer;
        Message message;
        while (ReadMessage(handle, buffer, message, 60000)) {
          if (!m_handler(handle, message)) {
            break;
          }
        }
        close(handle);
      }).detach();
    }
  }

  Handler m_handler;
  int m_handle = -1;
  int m_port = 0;
  std::string m_address;
  std::atomic<std::uint64_t> m_next_channel = 0;
};

inline bool Answer(int handle,
                   int status,
                   const std::string& body,
                   const std::string& headers = {}) {
  return SendAll(handle, "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                             headers + "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
}

// The platform's store, read-only for the system.

inline std::string Base64(std::string_view bytes) {
  static const char* const kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          j <= bytes.size() - i ? kLetters[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

class Store {
 public:
  explicit Store(const std::string& ip = "127.0.0.1")
      : m_server(ip, [this](int handle, const Message& request) {
          return Handle(handle, request);
        }) {}
  const std::string& Address() const { return m_server.Address(); }

  // The time of the return is that of the ack.
  void Write(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Item& item = m_items[key];
    const std::uint64_t revision = ++m_revision;
    if (item.created == 0) {
      item.created = revision;
    }
    item.value = value;
    item.revision = revision;
    m_events.push_back({revision, key, Text(key, item)});
    m_changed.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_items.erase(key);
    const std::uint64_t revision = ++m_revision;
    m_events.push_back({revision, key,
                        "{\"key\":\"" + key + "\",\"revision\":" +
                            std::to_string(revision) + ",\"tombstone\":true}"});
    m_changed.notify_all();
  }
  // Changes that are older are not returned any more; 0: all are.
  int history_ms = 0;
  // From now on nothing comes on the channels that are open; new ones work.
  void SilenceOpenChannels() { m_first_channel = m_server.NextChannel(); }

 private:
  struct Item {
    std::string value{};
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key{};
    std::string text{};
    Clock::time_point at = Clock::now();
  };

  static std::string Text(const std::string& key, const Item& item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(item.value) +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created_at\":" + std::to_string(item.created) + ",\"lease\":0}";
  }

  // Takes what comes on a silent channel until its peer gives it up.
  bool IsHeld(int handle) {
    if (Server::CurrentChannel() >= m_first_channel) {
      return false;
    }
    std::string ignored;
    while (ReadMore(handle, ignored, 60000) == 1) {
    }
    return true;
  }

  bool Handle(int handle, const Message& request) {
    if (IsHeld(handle)) {
      return false;
    }
    const std::string path = request.Path();
    const std::string headers = "Content-Type: application/json\r\n";
    if (path == "/kv-key") {
      std::unique_lock lock(m_mutex);
      const auto found = m_items.find(Unescape(request.Query("key")));
      if (found == m_items.end()) {
        lock.unlock();
        return kit::Answer(handle, 404, "{}", headers);
      }
      std::string text = Text(found->first, found->second);
      text.pop_back();
      text += ",\"at\":" + std::to_string(m_revision) + "}";
      lock.unlock();
      return kit::Answer(handle, 200, text, headers);
    }
    if (path == "/kv-range") {
      const std::string prefix = Unescape(request.Query("prefix"));
      const std::string after = Unescape(request.Query("after"));
      std::unique_lock lock(m_mutex);
      std::string items;
      for (const auto& [key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
          items += (items.empty() ? "" : ",") + Text(key, item);
        }
      }
      const std::string text =
          "{\"items\":[" + items +
          "],\"has_more\":false,\"at\":" + std::to_string(m_revision) + "}";
      lock.unlock();
      return kit::Answer(handle, 200, text, headers);
    }
    if (path == "/kv-watch") {
      const std::string prefix = Unescape(request.Query("prefix"));
      const std::uint64_t after = std::stoull(request.Query("after"));
      const auto until =
          Clock::now() +
          std::chrono::milliseconds(std::stoll(request.Query("wait_ms")));
      std::unique_lock lock(m_mutex);
      std::string events;
      const auto oldest = Clock::now() - std::chrono::milliseconds(history_ms);
      while (history_ms > 0 && !m_events.empty() &&
             m_events.front().at < oldest) {
        m_forgotten = m_events.front().revision;
        m_events.pop_front();
      }
      if (after < m_forgotten) {
        lock.unlock();
        return kit::Answer(handle, 410, "{}", headers);
      }
      while (true) {
        for (const Event& event : m_events) {
          if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
            events += (events.empty() ? "" : ",") + event.text;
          }
        }
        if (!events.empty() ||
            m_changed.wait_until(lock, until) == std::cv_status::timeout) {
          break;
        }
      }
      const std::string text = "{\"events\":[" + events +
                               "],\"at\":" + std::to_string(m_revision) + "}";
      lock.unlock();
      if (IsHeld(handle)) {
        return false;
      }
      return kit::Answer(handle, 200, text, headers);
    }
    return kit::Answer(handle, 404, "{}", headers);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::deque<Event> m_events;
  std::uint64_t m_revision = 400;
  std::uint64_t m_forgotten = 0;  // Latest revision without history.
  std::atomic<std::uint64_t> m_first_channel = 0;  // That is not silent.
  Server m_server;
};

// A program of the deploy file as a process of its own.
class Program {
 public:
  // `role`: a role of deploy/system.toml.
  Program(std::string root, const std::string& role, std::string directory)
      : m_root(std::move(root)), m_directory(std::move(directory)) {
    std::ifstream file(m_root + "/deploy/system.toml");
    std::string line;
    bool here = false;
    while (std::getline(file, line)) {
      if (line.rfind("[roles.", 0) == 0) {
        here = line == "[roles." + role + "]";
      } else if (here && line.rfind("run = ", 0) == 0) {
        const auto first = line.find('"');
        m_run = line.substr(first + 1, line.rfind('"') - first - 1);
      }
    }
    if (m_run.empty() || access((m_root + "/" + m_run).c_str(), X_OK) != 0) {
      Finish(2, "no program for role " + role + ": build the deploy file");
    }
  }
  ~Program() { Kill(); }

  void WriteSettings(const std::string& text) {
    std::ofstream(m_directory + "/settings.json.new") << text;
    rename((m_directory + "/settings.json.new").c_str(),
           (m_directory + "/settings.json").c_str());
  }
  void Start() {
    const std::string settings =
        "RADISHRUDDER_SETTINGS=" + m_directory + "/settings.json";
    const std::string log = m_directory + "/log.txt";
    m_pid = fork();
    if (m_pid == 0) {
      // It ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int handle =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(handle, 1);
      dup2(handle, 2);
      if (chdir(m_root.c_str()) != 0) {
        _exit(127);
      }
      const char* const arguments[] = {m_run.c_str(), nullptr};
      const char* const environment[] = {settings.c_str(), "PATH=/usr/bin:/bin",
                                         nullptr};
      execve(m_run.c_str(), const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (m_pid > 0) {
      kill(m_pid, number);
    }
  }
  // Returns the wait status if the process has ended.
  std::optional<int> Ended() {
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = -1;
      m_status = status;
    }
    return m_pid > 0 ? std::nullopt : m_status;
  }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      int status = 0;
      waitpid(m_pid, &status, 0);
      m_pid = -1;
    }
  }
  pid_t Pid() const { return m_pid; }
  const std::string& Directory() const { return m_directory; }

 private:
  std::string m_root;
  std::string m_directory;
  std::string m_run;
  pid_t m_pid = -1;
  std::optional<int> m_status{};
};

inline std::string Settings(const std::string& node,
                            const std::string& machine_class,
                            const std::string& ip,
                            int first_port,
                            const std::string& store,
                            const std::string& extra,
                            const std::vector<std::string>& seeds = {}) {
  const auto at = [&](int offset) {
    return "\"" + ip + ":" + std::to_string(first_port + offset) + "\"";
  };
  const bool edge = machine_class == "edge";
  std::string seed_list;
  for (const std::string& seed : seeds) {
    seed_list += (seed_list.empty() ? "\"" : ",\"") + seed + "\"";
  }
  return "{\"node\":\"" + node + "\",\"role\":\"" + (edge ? "entry" : "agent") +
         "\",\"machine_class\":\"" + machine_class + "\",\"serves\":[" +
         (edge ? "\"edge\",\"control\"" : "\"side\"") + "],\"ip\":\"" + ip +
         "\",\"zone\":\"sask-a\",\"region\":\"sask\",\"zones\":{\"sask-a\":"
         "\"sask\"},\"listen\":{" +
         (edge ? "\"front\":" + at(0) + ",\"ready\":" + at(1) +
                     ",\"control\":" + at(2)
               : std::string()) +
         "},\"internal_ports\":[" + std::to_string(first_port + 3) + "," +
         std::to_string(first_port + 18) + "],\"seeds\":[" + seed_list +
         "],\"bootstrap\":true,\"counts_as_loss\":false,\"limits\":{"
         "\"cpu_share\":0.19,\"cores\":1,\"memory_mb\":" +
         (edge ? "260" : "128") + ",\"max_fds\":" + (edge ? "4200" : "2048") +
         ",\"link_mbps\":" + (edge ? "1000.0" : "7.6") +
         ",\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
         "\"entry\":\"vip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\","
         "\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
         "\"stream\",\"tenants\",\"platform\",\"chunks\"],\"fault_tolerance\":"
         "{\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{"
         "\"seed_lag_s\":3,\"reuse_after_s\":2,\"stability_ms\":3000,"
         "\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,"
         "\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
         "\"downgrade_slack_ms\":250,\"max_skew_ms\":5000,\"revoke_strict\":"
         "true,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
         "\"budget_window_s\":10,\"budget_slack\":100,\"recovery_s\":12,"
         "\"pass_ms\":120,\"retry_after_s\":0,\"version_ms\":8000,"
         "\"version_all_ms\":0}," +
         extra + "\"platform\":{\"address\":\"" + store +
         "\",\"form\":\"read\",\"writes_per_s\":400,\"reads_per_s\":2000,"
         "\"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000}}";
}

// Waits until the entry says that it is ready.
inline bool AwaitReady(const std::string& ready, int limit_ms) {
  for (int waited = 0; waited < limit_ms; waited += 50) {
    const int handle = Connect(ready);
    if (handle >= 0) {
      std::string buffer;
      Message answer;
      SendAll(handle, "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
      const bool ok = ReadMessage(handle, buffer, answer, 500, true) &&
                      answer.Status() == 200;
      close(handle);
      if (ok) {
        return true;
      }
    }
    Sleep(50);
  }
  return false;
}

struct Options {
  std::string root;    // Of the repository.
  std::string record;  // File of the record.
  std::string work;    // Temporary.
  bool trouble = true;
};

// ARGV: root, file of the record, temporary folder.
inline Options Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 4) {
    std::cerr << "usage: ROOT RECORD TEMPORARY\n";
    _exit(2);
  }
  Options options{argv[1], argv[2], argv[3]};
  const char* const trouble = getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::string(trouble) != "0";
  record.Open(options.record);
  record.Line("trouble %s", options.trouble ? "yes" : "no");
  return options;
}

}  // namespace kit

#endif  // REVIEW_COMMON_3_KIT_H_
