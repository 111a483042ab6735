#include "tests/platform/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollTime{5};
constexpr milliseconds kReconnectTime{200};
constexpr int kSmallBuffer = 4096;
constexpr std::string_view kStatusLine = "HTTP/1.1 ";
constexpr std::string_view kRefusal = "HTTP/1.1 503 ";
constexpr std::string_view kAttemptId = "Radishrudder-Attempt-Id: ";

}  // namespace

ClientCrowd::ClientCrowd(std::string_view address,
                         ClientForm form,
                         std::size_t clients)
    : m_address(address), m_form(std::move(form)), m_clients(clients) {}

ClientCrowd::~ClientCrowd() {
  Disconnect();
}

void ClientCrowd::Run(milliseconds time, const std::function<void()>& observe) {
  const auto end = Clock::now() + time;
  std::vector<pollfd> handles;
  while (Clock::now() < end) {
    handles.clear();
    const auto now = Clock::now();
    for (Client& client : m_clients) {
      if (client.socket < 0 && now >= client.next) {
        Connect(client);
      }
      const bool sends =
          !client.send_failed && HasMore(client) && now >= client.next;
      short events = m_form.reads || client.send_failed ? POLLIN : 0;
      if (sends) {
        events = static_cast<short>(events | POLLOUT);
      }
      handles.push_back({client.socket, events, 0});
    }
    poll(handles.data(), handles.size(), static_cast<int>(kPollTime.count()));
    for (std::size_t i = 0; i < handles.size(); ++i) {
      Client& client = m_clients[i];
      if (client.socket >= 0 && (handles[i].revents & POLLOUT) != 0) {
        Send(client);
      }
      if (client.socket >= 0 &&
          (handles[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        Read(client);
      }
    }
    observe();
  }
}

void ClientCrowd::Disconnect() {
  for (Client& client : m_clients) {
    if (client.socket >= 0) {
      close(client.socket);
    }
    client = {};
  }
}

void ClientCrowd::Connect(Client& client) const {
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(m_address.substr(m_address.find(':') + 1))));
  client = {.socket =
                socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
  if (!m_form.reads) {
    setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer,
               sizeof(kSmallBuffer));
  }
  // Not complete yet; an error shows when the client sends.
  static_cast<void>(connect(
      client.socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)));
}

std::string_view ClientCrowd::BytesAt(std::size_t position) const {
  const std::string_view start = m_form.start;
  if (position < start.size()) {
    return start.substr(position);
  }
  const std::size_t offset = position - start.size();
  return std::string_view(m_form.repeated)
      .substr(offset % m_form.repeated.size(), m_form.repeated_bytes - offset);
}

void ClientCrowd::SendRequests(Client& client) {
  if (client.sent == client.request.size()) {
    client.request = m_form.make_request(m_made++);
    client.sent = 0;
  }
  const ssize_t sent = send(client.socket, client.request.data() + client.sent,
                            client.request.size() - client.sent, MSG_NOSIGNAL);
  if (sent < 0) {
    client.send_failed = errno != EAGAIN && errno != EINPROGRESS;
    return;
  }
  client.sent += static_cast<std::size_t>(sent);
}

void ClientCrowd::Send(Client& client) {
  if (m_form.make_request) {
    SendRequests(client);
    return;
  }
  std::size_t left = TotalBytes();
  if (m_form.piece_bytes > 0) {
    left = client.sent < m_form.start.size() ? m_form.start.size() - client.sent
                                             : m_form.piece_bytes;
  }
  while (left > 0 && client.sent < TotalBytes()) {
    const std::string_view bytes = BytesAt(client.sent).substr(0, left);
    const ssize_t sent =
        send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      client.send_failed = errno != EAGAIN && errno != EINPROGRESS;
      return;
    }
    client.sent += static_cast<std::size_t>(sent);
    left -= static_cast<std::size_t>(sent);
  }
  client.next = Clock::now() + m_form.pause;
}

void ClientCrowd::Read(Client& client) {
  std::array<char, 16384> buffer{};
  const ssize_t size = recv(client.socket, buffer.data(), buffer.size(), 0);
  if (size < 0 && errno == EAGAIN) {
    return;
  }
  if (size <= 0) {
    End(client);
    return;
  }
  client.answers.append(buffer.data(), static_cast<std::size_t>(size));
  ReadLines(client);
}

void ClientCrowd::ReadLines(Client& client) {
  std::string_view rest = client.answers;
  for (std::size_t end = rest.find("\r\n"); end != std::string_view::npos;
       end = rest.find("\r\n")) {
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    if (line.find(kStatusLine) != std::string_view::npos) {
      client.in_refusal = line.find(kRefusal) != std::string_view::npos;
      client.refused = client.refused || client.in_refusal;
    } else if (client.in_refusal && line.starts_with(kAttemptId)) {
      m_refused_ids.emplace_back(line.substr(kAttemptId.size()));
    }
  }
  client.answers.erase(0, client.answers.size() - rest.size());
}

void ClientCrowd::End(Client& client) {
  ++m_ended;
  m_refused += client.refused ? 1 : 0;
  close(client.socket);
  client = {.next = Clock::now() + kReconnectTime};
}

}  // namespace radishrudder::platform
