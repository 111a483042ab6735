#include "tests/http/response_forms.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <chrono>
#include <ostream>
#include <utility>

namespace radishrudder::http {
namespace {

constexpr int kReceiveBuffer = 4096;
constexpr std::size_t kPartBytes = 256;
// From a response to the end of its connection, so that the reader has the
// bytes before the end.
constexpr std::chrono::milliseconds kEndingDelay{60};
// Of a server that does not read on.
constexpr std::chrono::milliseconds kUnreadTime{400};

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Returns the value of a header in a request's head, or an empty text.
std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t header = head.find(name + ": ");
  if (header == std::string::npos) {
    return {};
  }
  const std::size_t begin = header + name.size() + 2;
  return head.substr(begin, head.find('\r', begin) - begin);
}

std::string WithLength(const std::string& status_line,
                       const std::string& lines = "") {
  return status_line + "\r\n@own" + lines + "Content-Length: 2\r\n\r\nok";
}

// With a body, its bytes would be taken for the next response.
std::string WithoutBody(const std::string& status_line) {
  return status_line + "\r\n@ownContent-Length: 0\r\n\r\n";
}

ResponseForm Sound(std::string name, std::string bytes) {
  return {.name = std::move(name), .bytes = std::move(bytes), .body = "ok"};
}

ResponseForm Unsound(std::string name, std::string bytes) {
  return {.name = std::move(name), .bytes = std::move(bytes)};
}

}  // namespace

void PrintTo(const ResponseForm& form, std::ostream* stream) {
  *stream << form.name;
}

std::string Fill(std::string bytes,
                 const std::string& id,
                 const std::string& own) {
  for (const auto& [mark, text] :
       {std::pair<std::string, std::string>{"@own", own}, {"@id", id}}) {
    for (std::size_t at = bytes.find(mark); at != std::string::npos;
         at = bytes.find(mark, at + text.size())) {
      bytes.replace(at, mark.size(), text);
    }
  }
  return bytes;
}

std::vector<ResponseForm> HeadForms() {
  const std::string ok = "HTTP/1.1 200 OK";
  std::vector<ResponseForm> forms{
      Sound("Length", WithLength(ok)),
      Sound("Version10", WithLength("HTTP/1.0 200 OK")),
      Sound("NoReason", WithLength("HTTP/1.1 200 ")),
      Sound("NoBlankAfterStatus", WithLength("HTTP/1.1 200")),
      Sound("Chunks", ok + "\r\n@ownTransfer-Encoding: chunked\r\n\r\n"
                           "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
      Sound("ChunksAndTrailer", ok +
                                    "\r\n@ownTransfer-Encoding: chunked\r\n\r\n"
                                    "2\r\nok\r\n0\r\nX-A: 1\r\n\r\n"),
      Sound("InterimFirst",
            "HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n" + WithLength(ok)),
      Sound("BlanksAroundValue", WithLength(ok, "X-A: \t 1 \t\r\n")),
      Sound("EmptyValue", WithLength(ok, "X-A:\r\n")),
      Sound("BytesOver127InValue", WithLength(ok, "X-A: \xc3\xa9\r\n")),
      Sound("TabInValue", WithLength(ok, "X-A: 1\t2\r\n")),
      Sound("AllCharactersOfNames",
            WithLength(ok, "!#$%&'*+-.^_`|~09azAZ: 1\r\n")),
      Unsound("Status000", WithoutBody("HTTP/1.1 000 Unknown")),
      Unsound("Status099", WithoutBody("HTTP/1.1 099 Unknown")),
      Unsound("Status20", WithoutBody("HTTP/1.1 20 OK")),
      Unsound("Status2000", WithoutBody("HTTP/1.1 2000 OK")),
      Unsound("Status0200", WithoutBody("HTTP/1.1 0200 OK")),
      Unsound("Status600", WithoutBody("HTTP/1.1 600 Unknown")),
      Unsound("Status999", WithoutBody("HTTP/1.1 999 Unknown")),
      Unsound("StatusWithSign", WithoutBody("HTTP/1.1 +20 OK")),
      Unsound("StatusWithLetter", WithoutBody("HTTP/1.1 20x OK")),
      Unsound("NoStatus", WithLength("HTTP/1.1 OK")),
      Unsound("TwoBlanksBeforeStatus", WithLength("HTTP/1.1  200 OK")),
      Unsound("SwitchingProtocols",
              WithLength("HTTP/1.1 101 Switching Protocols",
                         "Connection: upgrade\r\nUpgrade: x\r\n")),
      Unsound("Version12", WithLength("HTTP/1.2 200 OK")),
      Unsound("Version20", WithLength("HTTP/2.0 200 OK")),
      Unsound("Version30", WithLength("HTTP/3.0 200 OK")),
      Unsound("Version09", WithLength("HTTP/0.9 200 OK")),
      Unsound("Version11111", WithLength("HTTP/1.11 200 OK")),
      Unsound("LowerCaseVersion", WithLength("http/1.1 200 OK")),
      Unsound("OtherProtocol", WithLength("ICY 200 OK")),
      Unsound("ControlByteInReason", WithLength("HTTP/1.1 200 O\x01K")),
      Unsound("BlankInName", WithLength(ok, "X A: 1\r\n")),
      Unsound("BlankBeforeColon", WithLength(ok, "X-A : 1\r\n")),
      Unsound("TabBeforeColon", WithLength(ok, "X-A\t: 1\r\n")),
      Unsound("BlankBeforeLength", ok + "\r\n@ownContent-Length : 2\r\n\r\nok"),
      Unsound("BlankBeforeName", WithLength(ok, "X-A: 1\r\n X-B: 2\r\n")),
      Unsound("TabBeforeName", WithLength(ok, "X-A: 1\r\n\tX-B: 2\r\n")),
      Unsound("BlankBeforeFirstName",
              ok + "\r\n X-A: 1\r\n@ownContent-Length: 2\r\n\r\nok"),
      Unsound("ContinuedLine", WithLength(ok, "X-A: 1\r\n 2\r\n")),
      Unsound("BlankLineOfBlanks", WithLength(ok, " \r\n")),
      Unsound("NoName", WithLength(ok, ": 1\r\n")),
      Unsound("NoColon", WithLength(ok, "X-A\r\n")),
      Unsound("ControlByteInName", WithLength(ok, "X\x01-A: 1\r\n")),
      Unsound("DeleteInName", WithLength(ok, "X\x7f-A: 1\r\n")),
      Unsound("ByteOver127InName", WithLength(ok, "X\xe9-A: 1\r\n")),
      Unsound("SeparatorInName", WithLength(ok, "X(A: 1\r\n")),
      Unsound("ControlByteInValue", WithLength(ok, "X-A: 1\x01\r\n")),
      Unsound("DeleteInValue", WithLength(ok, "X-A: 1\x7f\r\n")),
      Unsound("ReturnInValue", WithLength(ok, "X-A: 1\r2\r\n")),
      Unsound("NullInName",
              WithLength(ok, std::string("X") + '\0' + "-A: 1\r\n")),
      Unsound("NullInValue",
              WithLength(ok, std::string("X-A: 1") + '\0' + "\r\n")),
      Unsound("TwoLengths", WithLength(ok, "Content-Length: 1\r\n")),
      Unsound("TheSameLengthTwice", WithLength(ok, "Content-Length: 2\r\n")),
      Unsound("LengthWithSign", ok + "\r\n@ownContent-Length: +2\r\n\r\nok"),
      Unsound("NegativeLength", ok + "\r\n@ownContent-Length: -2\r\n\r\nok"),
      Unsound("HexadecimalLength",
              ok + "\r\n@ownContent-Length: 0x2\r\n\r\nok"),
      Unsound("ListOfLengths", ok + "\r\n@ownContent-Length: 2, 2\r\n\r\nok"),
      Unsound("EmptyLength", ok + "\r\n@ownContent-Length:\r\n\r\nok"),
      Unsound("LengthTooLarge",
              ok + "\r\n@ownContent-Length: 18446744073709551618\r\n\r\nok"),
      Unsound("LengthAndChunks",
              ok + "\r\n@ownContent-Length: 2\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
      Unsound("ChunksAndLength",
              ok + "\r\n@ownTransfer-Encoding: chunked\r\n"
                   "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
      Unsound("CompressedTransfer",
              ok + "\r\n@ownTransfer-Encoding: gzip, chunked\r\n\r\n"
                   "2\r\nok\r\n0\r\n\r\n"),
      Unsound("UnknownTransfer",
              ok + "\r\n@ownTransfer-Encoding: identity\r\n\r\nok"),
      Unsound("ChunkSizeWithSign",
              ok + "\r\n@ownTransfer-Encoding: chunked\r\n\r\n"
                   "+2\r\nok\r\n0\r\n\r\n"),
      Unsound("NotHttp", "\x01\x02garbage\r\n\r\n")};
  forms.push_back({.name = "UntilTheEnd",
                   .bytes = ok + "\r\n@own\r\nok",
                   .ending = Ending::kShutdown,
                   .body = "ok"});
  forms.push_back({.name = "ResetWithoutLength",
                   .bytes = ok + "\r\n@own\r\nok",
                   .ending = Ending::kReset});
  forms.push_back({.name = "ShorterThanItsLength",
                   .bytes = ok + "\r\n@ownContent-Length: 3\r\n\r\nok",
                   .ending = Ending::kShutdown});
  forms.push_back(
      {.name = "NoLastChunk",
       .bytes = ok + "\r\n@ownTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       .ending = Ending::kShutdown});
  forms.push_back({.name = "EndsInHead",
                   .bytes = ok + "\r\n@ownX-A: 1\r\n",
                   .ending = Ending::kShutdown});
  forms.push_back({.name = "EndsAfterInterim",
                   .bytes = "HTTP/1.1 102 Processing\r\n@own\r\n",
                   .ending = Ending::kShutdown});
  return forms;
}

std::vector<ResponseForm> EarlyForms() {
  const std::string part(kPartBytes, 'x');
  std::vector<ResponseForm> forms;
  for (const auto& [name, ending] :
       {std::pair<std::string, Ending>{"Reset", Ending::kReset},
        {"Close", Ending::kClose},
        {"Shutdown", Ending::kShutdown}}) {
    for (const auto& [status, line] :
         {std::pair<std::string, std::string>{"", "HTTP/1.1 200 OK"},
          {"Error", "HTTP/1.1 500 Internal Server Error"},
          {"Version10", "HTTP/1.0 200 OK"}}) {
      ResponseForm form{.name = "Early" + status,
                        .bytes = line,
                        .ending = ending,
                        .reading = Reading::kHead};
      form.name.append("WithoutLength").append(name);
      form.bytes.append("\r\n@own\r\n").append(part);
      forms.push_back(std::move(form));
    }
    forms.push_back(
        {.name = "EarlyEventStream" + name,
         .bytes = "HTTP/1.1 200 OK\r\n@ownContent-Type: text/event-stream\r\n"
                  "\r\nid: 1\ndata: x\n\n",
         .ending = ending,
         .reading = Reading::kHead});
    forms.push_back({.name = "EarlyShorterThanItsLength" + name,
                     .bytes = "HTTP/1.1 200 OK\r\n@ownContent-Length: 300\r\n"
                              "\r\n" +
                              part,
                     .ending = ending,
                     .reading = Reading::kHead});
    forms.push_back(
        {.name = "EarlyNoLastChunk" + name,
         .bytes = "HTTP/1.1 200 OK\r\n@ownTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n",
         .ending = ending,
         .reading = Reading::kHead});
  }
  forms.push_back(
      {.name = "EarlyWithLength",
       .bytes = WithLength("HTTP/1.1 200 OK", "Connection: close\r\n"),
       .ending = Ending::kShutdown,
       .reading = Reading::kHead,
       .body = "ok"});
  forms.push_back({.name = "EarlyErrorWithLength",
                   .bytes = WithLength("HTTP/1.1 413 Content Too Large",
                                       "Connection: close\r\n"),
                   .ending = Ending::kShutdown,
                   .reading = Reading::kHead,
                   .body = "ok"});
  forms.push_back({.name = "EarlyChunks",
                   .bytes =
                       "HTTP/1.1 200 OK\r\n@ownConnection: close\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                   .ending = Ending::kShutdown,
                   .reading = Reading::kHead,
                   .body = "ok"});
  forms.push_back({.name = "LateWithoutLength",
                   .bytes = "HTTP/1.1 200 OK\r\n@own\r\nok",
                   .ending = Ending::kShutdown,
                   .body = "ok"});
  return forms;
}

std::vector<ResponseForm> AllResponseForms() {
  std::vector<ResponseForm> forms = HeadForms();
  for (ResponseForm& form : EarlyForms()) {
    forms.push_back(std::move(form));
  }
  return forms;
}

FormServer::FormServer(ResponseForm form, std::string own_lines)
    : m_form(std::move(form)),
      m_own_lines(std::move(own_lines)),
      m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
             sizeof(kReceiveBuffer));
  sockaddr_in address = Loopback(0);
  EXPECT_EQ(
      bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  EXPECT_EQ(listen(m_listener, SOMAXCONN), 0);
  socklen_t size = sizeof(address);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

FormServer::~FormServer() {
  m_ended = true;
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  {
    const std::lock_guard lock(m_mutex);
    for (const int connection : m_connections) {
      shutdown(connection, SHUT_RDWR);
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  close(m_listener);
}

std::string FormServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void FormServer::Accept() {
  while (!m_ended) {
    const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.push_back(connection);
    m_threads.emplace_back([this, connection] { Serve(connection); });
  }
}

void FormServer::Serve(int connection) {
  bool open = true;
  std::string received;
  std::array<char, 4096> buffer{};
  const auto read = [&] {
    const ssize_t size = recv(connection, buffer.data(), buffer.size(), 0);
    if (size > 0) {
      received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    open = size > 0;
  };
  while (open) {
    while (open && received.find("\r\n\r\n") == std::string::npos) {
      read();
    }
    if (!open) {
      break;
    }
    ++m_requests;
    const std::size_t head_size = received.find("\r\n\r\n") + 4;
    const std::string head = received.substr(0, head_size);
    std::size_t length = 0;
    const std::string stated = HeaderOf(head, "Content-Length");
    std::from_chars(stated.data(), stated.data() + stated.size(), length);
    while (open && m_form.reading == Reading::kAll &&
           received.size() < head_size + length) {
      read();
    }
    received.erase(0, std::min(received.size(), head_size + length));
    const std::string bytes = Fill(
        m_form.bytes, HeaderOf(head, "Radishrudder-Attempt-Id"), m_own_lines);
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (m_form.ending == Ending::kKeep) {
      continue;
    }
    std::this_thread::sleep_for(kEndingDelay);
    if (m_form.ending == Ending::kShutdown) {
      shutdown(connection, SHUT_WR);
      pollfd ended{.fd = connection, .events = POLLRDHUP, .revents = 0};
      poll(&ended, 1, static_cast<int>(kUnreadTime.count()));
    }
    open = false;
  }
  const linger option{.l_onoff = m_form.ending == Ending::kReset ? 1 : 0,
                      .l_linger = 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  const std::lock_guard lock(m_mutex);
  std::erase(m_connections, connection);
  close(connection);
}

}  // namespace radishrudder::http
