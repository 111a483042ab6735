#include "radishrudder/http/server.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <shared_mutex>
#include <stdexcept>
#include <thread>
#include <utility>

#include "radishrudder/http/header.h"
#include "source/radishrudder/http/connection_share.h"
#include "source/radishrudder/http/connection_table.h"
#include "source/radishrudder/http/counted_socket.h"

namespace radishrudder::http {
namespace {

// A connection whose request is being answered is read on, so that its end is
// noticed.
constexpr std::size_t kPipelinedRequests = 2;
constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr std::chrono::hours kConnectionLimit{1};
constexpr std::chrono::seconds kFlushLimit{2};
// Between two looks for the end of connections that are not read at present.
constexpr std::chrono::milliseconds kCheckInterval{250};

// Counts finished answers whose bytes are not yet written.
class FlushCounter {
 public:
  // Counted until its last copy is destroyed.
  std::shared_ptr<void> Begin() {
    {
      const std::lock_guard lock(m_mutex);
      ++m_pending;
    }
    return {this, [](FlushCounter* counter) { counter->End(); }};
  }

  void WaitUntilFlushed() {
    std::unique_lock lock(m_mutex);
    m_flushed.wait_for(lock, kFlushLimit, [this] { return m_pending == 0; });
  }

 private:
  void End() {
    const std::lock_guard lock(m_mutex);
    --m_pending;
    m_flushed.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_flushed;
  std::size_t m_pending = 0;
};

// What answers share with their server; outlives it if they do.
struct Shared {
  ConnectionTable connections;
  FlushCounter flushes;
  std::atomic<bool> accepting = true;
  // Guards `stopped`: nothing is posted once it is set.
  std::shared_mutex stop_mutex;
  bool stopped = false;
  // Last, for its queue refers to the members above.
  asio::io_context context;
};

struct StateListener {
  std::weak_ptr<Shared> shared;

  void state_changed(  // NOLINT(readability-identifier-naming)
      const restinio::connection_state::notice_t& notice) {
    const auto cause = notice.cause();
    if (!std::holds_alternative<restinio::connection_state::closed_t>(cause)) {
      return;
    }
    if (const auto state = shared.lock()) {
      state->connections.Close(notice.connection_id());
    }
  }
};

struct Traits : restinio::default_traits_t {
  using connection_state_listener_t = StateListener;
  using stream_socket_t = CountedSocket;
};

// Memory that a request in progress holds.
class HeldRequest {
 public:
  // `held`: as `ConnectionShare::OnRequest` returned it.
  HeldRequest(std::shared_ptr<ConnectionShare> share, std::size_t held)
      : m_share(std::move(share)), m_held(held) {}
  ~HeldRequest() { m_share->OnRequestEnded(m_held); }
  HeldRequest(const HeldRequest&) = delete;
  HeldRequest& operator=(const HeldRequest&) = delete;

  void OnQueued(std::size_t bytes) { m_share->OnQueued(bytes); }
  bool HasCallerLeft() { return m_share->HasCallerLeft(); }

 private:
  std::shared_ptr<ConnectionShare> m_share;
  std::size_t m_held;
};

using ChunkedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t StatusLine(int status) {
  return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
          std::string(ReasonPhrase(status))};
}

template <typename Response>
void AddHeaders(Response& response, const std::vector<Header>& headers) {
  for (const Header& header : headers) {
    if (IsSendable(header)) {
      response.append_header(header.name, header.value);
    }
  }
}

// Answer on one RESTinio request. Its steps run one after the other on a
// strand of its own: RESTinio would let a step taken on the connection's
// thread overtake an earlier one of another thread.
class RestinioResponder final
    : public Responder,
      public GoneListener,
      public std::enable_shared_from_this<RestinioResponder> {
 public:
  // `held`: null if the memory of callers has no limit.
  RestinioResponder(std::shared_ptr<Shared> shared,
                    restinio::request_handle_t request,
                    std::unique_ptr<HeldRequest> held)
      : m_shared(std::move(shared)),
        m_request(std::move(request)),
        m_held(std::move(held)),
        m_strand(asio::make_strand(m_shared->context)) {}

  void Reply(int status,
             std::vector<Header> headers,
             std::string body) override {
    Run([this, status, headers = std::move(headers), body = std::move(body),
         flush = m_shared->flushes.Begin()]() mutable {
      DoReply(status, headers, std::move(body), std::move(flush));
    });
  }

  void Begin(int status, std::vector<Header> headers) override {
    Run([this, status, headers = std::move(headers)] {
      DoBegin(status, headers);
    });
  }

  void Write(std::string data) override {
    Run([this, data = std::move(data)]() mutable { DoWrite(std::move(data)); });
  }

  void Finish() override {
    Run([this, flush = m_shared->flushes.Begin()]() mutable {
      DoFinish(std::move(flush));
    });
  }

  void Abort() override {
    Run([this] { DoAbort(); });
  }

  void OnGone(std::function<void()> handler) override {
    Run([this, handler = std::move(handler)]() mutable {
      m_gone_handler = std::move(handler);
      TellIfGone();
    });
  }

  bool HasCallerLeft() override { return m_held && m_held->HasCallerLeft(); }

  void CheckConnection() override {
    if (!HasCallerLeft()) {
      return;
    }
    Run([this] {
      m_gone = true;
      TellIfGone();
      // RESTinio may read nothing at present, and would keep the connection.
      DoAbort();
    });
  }

  void OnConnectionClosed() override {
    Run([this] {
      m_gone = true;
      TellIfGone();
    });
  }

 private:
  template <typename Step>
  void Run(Step step) {
    const std::shared_lock lock(m_shared->stop_mutex);
    if (m_shared->stopped) {
      return;
    }
    asio::post(m_strand, [self = shared_from_this(),
                          step = std::move(step)]() mutable { step(); });
  }

  void TellIfGone() {
    if (!m_gone || m_ended) {
      return;
    }
    if (const auto handler = std::exchange(m_gone_handler, nullptr)) {
      handler();
    }
  }

  void NoteQueued(std::size_t bytes) {
    if (m_held) {
      m_held->OnQueued(bytes);
    }
  }

  template <typename Response>
  void Prepare(Response& response, const std::vector<Header>& headers) {
    AddHeaders(response, headers);
    if (!m_shared->accepting) {
      response.connection_close();
    }
  }

  void DoReply(int status,
               const std::vector<Header>& headers,
               std::string body,
               std::shared_ptr<void> flush) {
    if (m_ended || m_chunked) {
      return;
    }
    m_ended = true;
    m_gone_handler = nullptr;
    auto response = m_request->create_response(StatusLine(status));
    Prepare(response, headers);
    if (m_request->header().method() != restinio::http_method_head()) {
      NoteQueued(body.size());
      response.set_body(std::move(body));
    }
    response.done([flush = std::move(flush)](const auto&) {});
  }

  void DoBegin(int status, const std::vector<Header>& headers) {
    if (m_ended || m_chunked) {
      return;
    }
    m_chunked.emplace(m_request->create_response<restinio::chunked_output_t>(
        StatusLine(status)));
    Prepare(*m_chunked, headers);
    m_chunked->flush();
  }

  void DoWrite(std::string data) {
    if (m_ended || !m_chunked || data.empty()) {
      return;
    }
    NoteQueued(data.size());
    m_chunked->append_chunk(std::move(data));
    m_chunked->flush();
  }

  void DoFinish(std::shared_ptr<void> flush) {
    if (m_ended || !m_chunked) {
      return;
    }
    m_ended = true;
    m_gone_handler = nullptr;
    m_chunked->done([flush = std::move(flush)](const auto&) {});
  }

  // RESTinio closes a connection whose write notification throws, after what
  // was written before.
  void DoAbort() {
    if (m_ended) {
      return;
    }
    m_ended = true;
    m_gone_handler = nullptr;
    if (!m_chunked) {
      m_chunked.emplace(m_request->create_response<restinio::chunked_output_t>(
          StatusLine(500)));  // NOLINT(readability-magic-numbers)
    }
    m_chunked->flush([](const auto& error) {
      if (!error) {
        throw std::runtime_error("answer aborted");
      }
    });
  }

  std::shared_ptr<Shared> m_shared;
  restinio::request_handle_t m_request;
  std::unique_ptr<HeldRequest> m_held;
  asio::strand<asio::io_context::executor_type> m_strand;
  std::optional<ChunkedResponse> m_chunked;
  std::function<void()> m_gone_handler;
  bool m_gone = false;
  bool m_ended = false;
};

std::string_view View(restinio::string_view_t text) {
  return {text.data(), text.size()};
}

Request Translate(const restinio::request_t& source) {
  const auto& header = source.header();
  Request request{.method = header.method().c_str(),
                  .target = header.request_target(),
                  .path = std::string(View(header.path())),
                  .query = std::string(View(header.query())),
                  .headers = {},
                  .body = source.body()};
  header.for_each_field([&](const auto& field) {
    request.headers.push_back({field.name(), field.value()});
  });
  return request;
}

}  // namespace

struct Server::Implementation {
  using RestinioServer = restinio::http_server_t<Traits>;

  Implementation(ServerSettings server_settings, Handler request_handler)
      : settings(std::move(server_settings)),
        handler(std::move(request_handler)) {}

  restinio::request_handling_status_t Handle(
      const restinio::request_handle_t& request) const {
    std::unique_ptr<HeldRequest> held;
    if (settings.memory) {
      const auto share =
          FindShare(*settings.memory, request->remote_endpoint());
      const auto bytes = share ? share->OnRequest() : std::nullopt;
      if (!bytes) {
        // The connection has been refused or has ended.
        return restinio::request_rejected();
      }
      held = std::make_unique<HeldRequest>(share, *bytes);
    }
    auto responder =
        std::make_shared<RestinioResponder>(shared, request, std::move(held));
    shared->connections.Add(request->connection_id(), responder);
    if (request->body().size() > settings.maximum_body_bytes) {
      responder->Reply(
          413, {{"content-type", "text/plain"}},
          "the body has " + std::to_string(request->body().size()) +
              " bytes, at most " + std::to_string(settings.maximum_body_bytes) +
              " are allowed\n");
    } else {
      handler(Translate(*request), std::move(responder));
    }
    return restinio::request_accepted();
  }

  auto MakeRestinioSettings() {
    restinio::server_settings_t<Traits> result;
    result.address(settings.address)
        .port(settings.port)
        .buffer_size(kReadBufferBytes)
        .max_pipelined_requests(kPipelinedRequests)
        .read_next_http_message_timelimit(kConnectionLimit)
        .handle_request_timeout(kConnectionLimit)
        .write_http_response_timelimit(kConnectionLimit)
        // Bodies up to twice the limit are read and refused with a status;
        // for longer ones the connection is closed.
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                settings.maximum_body_bytes * 2))
        .connection_state_listener(
            std::make_shared<StateListener>(StateListener{shared}))
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          port = acceptor.local_endpoint().port();
        })
        .request_handler(
            [this](const auto& request) { return Handle(request); });
    return result;
  }

  void CheckConnectionsLater() {
    check_timer->expires_after(kCheckInterval);
    check_timer->async_wait([this](std::error_code error) {
      if (!error) {
        shared->connections.CheckAll();
        CheckConnectionsLater();
      }
    });
  }

  ServerSettings settings;
  Handler handler;
  std::shared_ptr<Shared> shared = std::make_shared<Shared>();
  std::optional<asio::steady_timer> check_timer;
  std::unique_ptr<RestinioServer> server;
  std::vector<std::thread> threads;
  std::uint16_t port = 0;
};

Server::Server(ServerSettings settings, Handler handler)
    : m_implementation(std::make_unique<Implementation>(std::move(settings),
                                                        std::move(handler))) {}

Server::~Server() {
  Stop();
}

std::error_code Server::Start() {
  Implementation& state = *m_implementation;
  try {
    // The context belongs to the shared state.
    asio::use_service<ConnectionMemoryService>(state.shared->context).memory =
        state.settings.memory;
    restinio::io_context_holder_t context(std::shared_ptr<asio::io_context>(
        state.shared, &state.shared->context));
    state.server = std::make_unique<Implementation::RestinioServer>(
        std::move(context), state.MakeRestinioSettings());
    state.server->open_sync();
  } catch (const std::system_error& error) {
    state.server.reset();
    // Asio's own category does not compare with std::errc.
    return {error.code().value(), std::system_category()};
  }
  state.check_timer.emplace(state.shared->context);
  state.CheckConnectionsLater();
  for (std::size_t i = 0; i < state.settings.threads; ++i) {
    state.threads.emplace_back([&state] { state.shared->context.run(); });
  }
  return {};
}

std::uint16_t Server::Port() const {
  return m_implementation->port;
}

void Server::StopAccepting() {
  Implementation& state = *m_implementation;
  if (state.server && state.shared->accepting.exchange(false)) {
    state.server->close_async([] {}, [](const std::exception_ptr&) {});
  }
}

void Server::Stop() {
  Implementation& state = *m_implementation;
  if (!state.server) {
    return;
  }
  StopAccepting();
  state.shared->flushes.WaitUntilFlushed();
  state.shared->connections.CloseAll();
  state.shared->context.stop();
  for (std::thread& thread : state.threads) {
    thread.join();
  }
  state.threads.clear();
  {
    const std::unique_lock lock(state.shared->stop_mutex);
    state.shared->stopped = true;
  }
  state.check_timer.reset();
  // Runs what was posted before, for it holds the answers.
  state.shared->context.restart();
  state.shared->context.poll();
  state.server.reset();
  // Its connections go with the context.
  state.shared.reset();
}

}  // namespace radishrudder::http
