#include "tests/platform/platform_standin.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <map>
#include <memory>
#include <utility>

#include "radishrudder/exchange/message_reader.h"
#include "radishrudder/http/header.h"
#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kServiceTime{20};
constexpr milliseconds kWatchTime{300};
constexpr milliseconds kFaultDelay{150};
constexpr milliseconds kEventInterval{100};
constexpr milliseconds kAnswerLimit{8000};
// More than the buffers of two sockets hold.
constexpr std::size_t kLargeBytes = 32U << 20U;
constexpr std::size_t kMediumBytes = 4U << 20U;
constexpr int kUnavailable = 503;
constexpr std::size_t kPrefixSize = 3;  // Of a route, such as "/t/".

std::string FreeAddress(asio::io_context& context, const std::string& ip) {
  const asio::ip::tcp::acceptor acceptor(
      context, {asio::ip::make_address(ip), std::uint16_t{0}});
  return ip + ":" + std::to_string(acceptor.local_endpoint().port());
}

std::string EncodeBase64(std::string_view bytes) {
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

// Returns the time for which a watch wants to wait.
milliseconds WaitOf(std::string_view target) {
  constexpr std::string_view kWait = "wait_ms=";
  const std::size_t position = target.find(kWait);
  if (position == std::string_view::npos) {
    return kWatchTime;
  }
  long wait = 0;
  std::from_chars(target.data() + position + kWait.size(),
                  target.data() + target.size(), wait);
  return milliseconds(wait);
}

// Returns a connected socket, or -1.
int Connect(std::string_view address, milliseconds limit) {
  const std::size_t colon = address.find(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(std::string(address.substr(colon + 1)))));
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval time{.tv_sec = limit.count() / 1000,
                     .tv_usec = limit.count() % 1000 * 1000};
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  if (connect(handle, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
      0) {
    close(handle);
    return -1;
  }
  return handle;
}

}  // namespace

PlatformStandin::PlatformStandin(std::string_view store_address,
                                 std::vector<StandinEntry> more_entries,
                                 std::vector<std::string> watch_bodies,
                                 StandinEndpoint endpoint)
    : m_store(m_context,
              [this](const exchange::ReceivedRequest& request,
                     const Exchange& caller) { AnswerStore(request, caller); }),
      m_endpoint(
          m_context,
          [this](const exchange::ReceivedRequest& request,
                 const Exchange& caller) { AnswerCall(request, caller); }),
      m_endpoint_settings(std::move(endpoint)),
      m_endpoint_address(FreeAddress(m_context, m_endpoint_settings.ip)),
      m_entries(std::move(more_entries)),
      m_watch_bodies(std::move(watch_bodies)) {
  m_entries.push_back(
      {"op/config",
       R"({"version": 3, "routes": [{"name": "r", "host": "h.example",)"
       R"("prefix": "/s/", "kind": "idempotent", "service": "plain",)"
       R"("max_attempts": 2, "timeout_ms": 5000,)"
       R"("target_latency_ms": 1000}, {"name": "t", "host": "h.example",)"
       R"("prefix": "/t/", "kind": "streaming", "service": "plain",)"
       R"("max_attempts": 2, "timeout_ms": 6000, "target_latency_ms": 1000,)"
       R"("resumable": true}, {"name": "n", "host": "h.example",)"
       R"("prefix": "/n/", "kind": "non_idempotent", "service": "plain",)"
       R"("max_attempts": 2, "timeout_ms": 20000,)"
       R"("target_latency_ms": 1000}, {"name": "u", "host": "h.example",)"
       R"("prefix": "/u/", "kind": "streaming", "service": "plain",)"
       R"("max_attempts": 2, "timeout_ms": 20000,)"
       R"("target_latency_ms": 1000}], "services": [{"name": "plain",)"
       R"("max_connections": 64)" +
           m_endpoint_settings.service_members + R"(}], "limits": {}})"});
  m_entries.push_back(
      {"servers/i-1", R"({"service": "plain", "zone": "a", "slots": )" +
                          std::to_string(m_endpoint_settings.slots) +
                          R"(, "state": "ready", "born": 1, "address": ")" +
                          m_endpoint_address + "\"" +
                          m_endpoint_settings.listed_members + "}"});
  m_store.Listen(store_address);
  m_endpoint.Listen(m_endpoint_address);
  m_thread = std::thread([this] { m_context.run(); });
}

PlatformStandin::~PlatformStandin() {
  m_context.stop();
  m_thread.join();
}

void PlatformStandin::Write(StandinEntry entry) {
  asio::post(m_context,
             [this, entry = std::move(entry)] { ApplyWrite(entry); });
}

void PlatformStandin::Remove(std::string key) {
  asio::post(m_context, [this, key = std::move(key)] { ApplyRemoval(key); });
}

void PlatformStandin::FailWatches(std::vector<std::string> prefixes,
                                  WatchFault fault,
                                  std::size_t interval) {
  asio::post(m_context,
             [this, prefixes = std::move(prefixes), fault, interval] {
               m_fault = fault;
               m_fault_interval = interval;
               m_fault_counts.clear();
               for (const std::string& prefix : prefixes) {
                 m_fault_counts.emplace(prefix, 0);
               }
             });
}

WatchFault PlatformStandin::NextFault(std::string_view prefix) {
  const auto found = m_fault_counts.find(prefix);
  if (found == m_fault_counts.end()) {
    return WatchFault::kNone;
  }
  return ++found->second % m_fault_interval == 0 ? m_fault : WatchFault::kNone;
}

void PlatformStandin::FailLater(WatchFault fault, const Exchange& caller) {
  const auto timer =
      std::make_shared<asio::steady_timer>(m_context, kFaultDelay);
  timer->async_wait([this, timer, fault, caller](std::error_code) {
    switch (fault) {
      case WatchFault::kUnavailable:
        caller->Reply({503, {}}, "");
        break;
      case WatchFault::kHistoryGone:
        caller->Reply({410, {}}, "");
        break;
      case WatchFault::kBrokenOff:
        caller->Begin({200, {}});
        caller->Write(R"({"at": )");
        caller->Abort();
        break;
      case WatchFault::kNoAnswer:
        m_unanswered.push_back(caller);
        break;
      case WatchFault::kCut:
      case WatchFault::kNone:
        caller->Abort();
        break;
    }
  });
}

void PlatformStandin::ApplyWrite(const StandinEntry& entry) {
  ++m_revision;
  std::erase_if(m_entries, [&entry](const StandinEntry& known) {
    return known.key == entry.key;
  });
  m_entries.push_back(entry);
  m_changes.push_back({m_revision, entry.key,
                       R"({"key": ")" + entry.key + R"(", "revision": )" +
                           std::to_string(m_revision) + R"(, "value": ")" +
                           EncodeBase64(entry.value) + "\"}"});
}

void PlatformStandin::ApplyRemoval(const std::string& key) {
  ++m_revision;
  std::erase_if(m_entries,
                [&key](const StandinEntry& entry) { return entry.key == key; });
  m_changes.push_back({m_revision, key,
                       R"({"key": ")" + key + R"(", "revision": )" +
                           std::to_string(m_revision) +
                           R"(, "tombstone": true})"});
}

std::string PlatformStandin::WatchBody(std::string_view prefix,
                                       std::uint64_t after) const {
  std::string events;
  for (const Change& change : m_changes) {
    if (change.revision > after && change.key.starts_with(prefix)) {
      events += (events.empty() ? "" : ", ") + change.event;
    }
  }
  return R"({"at": )" + std::to_string(m_revision) + R"(, "events": [)" +
         events + "]}";
}

void PlatformStandin::AnswerStore(const exchange::ReceivedRequest& request,
                                  const Exchange& caller) {
  const std::string& target = request.head.target;
  const std::string_view prefix =
      target.find("servers") == std::string::npos ? "op/" : "servers/";
  if (target.starts_with("/kv-watch")) {
    constexpr std::string_view kAfter = "&after=";
    const std::size_t position = target.find(kAfter);
    std::string body = WatchBody(
        prefix, position == std::string::npos
                    ? 0
                    : std::stoull(target.substr(position + kAfter.size())));
    if (m_watches < m_watch_bodies.size()) {
      body = m_watch_bodies[m_watches++];
    }
    const milliseconds wait = WaitOf(target);
    const WatchFault fault =
        wait < kWatchTime ? WatchFault::kNone : NextFault(prefix);
    if (fault != WatchFault::kNone) {
      FailLater(fault, caller);
      return;
    }
    ReplyLater(m_watches < m_watch_bodies.size() ? kServiceTime
                                                 : std::min(wait, kWatchTime),
               caller, {200, {}}, std::move(body));
    return;
  }
  caller->Reply({200, {}}, PageBody(prefix, target));
}

std::string PlatformStandin::PageBody(std::string_view prefix,
                                      std::string_view target) const {
  constexpr std::size_t kMaximumItems = 500;
  constexpr std::size_t kMaximumBytes = 1'000'000;
  constexpr std::string_view kAfter = "&after=";
  std::string_view after;
  if (const auto position = target.find(kAfter);
      position != std::string_view::npos) {
    after = target.substr(position + kAfter.size());
    after = after.substr(0, after.find('&'));
  }
  std::map<std::string_view, const StandinEntry*> following;
  for (const StandinEntry& entry : m_entries) {
    if (entry.key.starts_with(prefix) && entry.key > after) {
      following.emplace(entry.key, &entry);
    }
  }
  std::string items;
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const auto& [key, entry] : following) {
    if (count == kMaximumItems ||
        (count > 0 && bytes + entry->value.size() > kMaximumBytes)) {
      break;
    }
    items += count == 0 ? "" : ", ";
    items += R"({"key": ")" + entry->key + R"(", "revision": 7, "value": ")" +
             EncodeBase64(entry->value) + "\"}";
    ++count;
    bytes += entry->value.size();
  }
  return R"({"at": )" + std::to_string(m_revision) + R"(, "has_more": )" +
         (count < following.size() ? "true" : "false") + R"(, "items": [)" +
         items + "]}";
}

void PlatformStandin::AnswerCall(const exchange::ReceivedRequest& request,
                                 const Exchange& caller) {
  if (request.head.target == "/report") {
    caller->Reply({200, {}}, m_endpoint_settings.report);
    return;
  }
  constexpr std::string_view kAttemptId = "Radishrudder-Attempt-Id";
  exchange::AnswerHead head{
      .status = 200, .headers = {{"Radishrudder-Response-Signature", "proof"}}};
  head.headers.push_back(
      {std::string(kAttemptId),
       std::string(http::FindHeader(request.head.headers, kAttemptId))});
  const std::string attempt_id = head.headers.back().value;
  const auto note_ended = [this, attempt_id, run = NoteRun(attempt_id)] {
    NoteRunEnded(attempt_id, run);
  };
  caller->OnDisconnected(note_ended);
  if (!m_endpoint_settings.load_header.empty()) {
    head.headers.push_back(
        {"Radishrudder-Instance-Load", m_endpoint_settings.load_header});
  }
  const std::string& target = request.head.target;
  const auto time = [&target] {
    return milliseconds(std::stol(target.substr(kPrefixSize)));
  };
  if (target.starts_with("/t/") || target.starts_with("/u/")) {
    head.headers.push_back({"Content-Type", "text/event-stream"});
    caller->Begin(head);
    StreamEvents(caller, /*event=*/1, kernel::Now() + time(), note_ended);
    return;
  }
  if (target.ends_with("?refuse")) {
    head.status = kUnavailable;
    head.headers.push_back({"Radishrudder-Not-Executed", "1"});
  }
  ReplyLater(target.starts_with("/n/") ? time() : kServiceTime, caller,
             std::move(head),
             target.ends_with("?large") ? std::string(kLargeBytes, 'x')
             : target.ends_with("?4MB") ? std::string(kMediumBytes, 'x')
                                        : std::string("done"),
             note_ended);
}

std::size_t PlatformStandin::NoteRun(const std::string& attempt_id) {
  const std::lock_guard lock(m_runs_mutex);
  std::vector<StandinRun>& runs = m_runs[attempt_id];
  runs.push_back({.began = std::chrono::steady_clock::now()});
  return runs.size() - 1;
}

void PlatformStandin::NoteRunEnded(const std::string& attempt_id,
                                   std::size_t run) {
  const std::lock_guard lock(m_runs_mutex);
  std::optional<std::chrono::steady_clock::time_point>& ended =
      m_runs[attempt_id][run].ended;
  ended = ended.value_or(std::chrono::steady_clock::now());
}

std::vector<StandinRun> PlatformStandin::RunsOf(
    const std::string& attempt_id) const {
  const std::lock_guard lock(m_runs_mutex);
  const auto found = m_runs.find(attempt_id);
  return found == m_runs.end() ? std::vector<StandinRun>() : found->second;
}

int PlatformStandin::Runs(const std::string& attempt_id) const {
  return static_cast<int>(RunsOf(attempt_id).size());
}

void PlatformStandin::StreamEvents(const Exchange& caller,
                                   int event,
                                   kernel::Time end,
                                   const std::function<void()>& done) {
  caller->Write("id: " + std::to_string(event) + "\ndata: x\n\n");
  const kernel::Time now = kernel::Now();
  if (now >= end) {
    caller->Finish();
    done();
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(
      m_context, std::min<kernel::Duration>(end - now, kEventInterval));
  timer->async_wait([this, timer, caller, event, end, done](std::error_code) {
    StreamEvents(caller, event + 1, end, done);
  });
}

void PlatformStandin::ReplyLater(milliseconds delay,
                                 const Exchange& caller,
                                 exchange::AnswerHead head,
                                 std::string body,
                                 std::function<void()> done) {
  const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, caller, head = std::move(head),
                     body = std::move(body),
                     done = std::move(done)](std::error_code) {
    caller->Reply(head, body);
    if (done) {
      done();
    }
  });
}

StandinCaller::~StandinCaller() {
  if (m_socket >= 0) {
    close(m_socket);
  }
}

StandinCaller::Result StandinCaller::Call(std::string_view request) {
  return CallInParts({&request, 1}, milliseconds(0));
}

StandinCaller::Result StandinCaller::CallInParts(
    std::span<const std::string_view> parts,
    milliseconds pause) {
  if (m_socket < 0) {
    m_socket = Connect(m_address, kAnswerLimit);
  }
  if (m_socket < 0) {
    return Result::kNotConnected;
  }
  const bool sent = Send(parts, pause);
  m_sent_at = std::chrono::steady_clock::now();
  const bool answered = ReadAnswer();
  m_ended_at = std::chrono::steady_clock::now();
  if (!answered) {
    close(std::exchange(m_socket, -1));
    return sent ? Result::kLost : Result::kNotSent;
  }
  return Result::kAnswered;
}

bool StandinCaller::Send(std::span<const std::string_view> parts,
                         milliseconds pause) const {
  for (std::size_t i = 0; i < parts.size(); ++i) {
    pollfd readable{.fd = m_socket, .events = POLLIN, .revents = 0};
    if (i > 0 && poll(&readable, 1, static_cast<int>(pause.count())) != 0) {
      return false;  // An early answer, or the end of the connection.
    }
    if (send(m_socket, parts[i].data(), parts[i].size(), MSG_NOSIGNAL) < 0) {
      return false;
    }
  }
  return true;
}

bool StandinCaller::ReadAnswer() {
  exchange::MessageReader reader(exchange::MessageReader::Kind::kResponse);
  std::array<char, 4096> buffer{};
  auto state = exchange::ReadState::kHead;
  while (state != exchange::ReadState::kComplete) {
    const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return false;
    }
    state = reader.Feed({buffer.data(), static_cast<std::size_t>(size)}).state;
    if (state == exchange::ReadState::kMalformed) {
      return false;
    }
  }
  m_status = reader.Response().status;
  if (!reader.Response().keep_alive) {
    close(std::exchange(m_socket, -1));
  }
  return true;
}

std::string SendParts(std::string_view address,
                      std::span<const std::string_view> parts,
                      milliseconds pause,
                      milliseconds limit) {
  std::string received;
  const int handle = Connect(address, limit);
  if (handle < 0) {
    return received;
  }
  for (const std::string_view part : parts) {
    send(handle, part.data(), part.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(pause);
  }
  std::array<char, 4096> buffer{};
  ssize_t size = 0;
  while ((size = recv(handle, buffer.data(), buffer.size(), 0)) > 0) {
    received.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(handle);
  return received;
}

}  // namespace radishrudder::platform
