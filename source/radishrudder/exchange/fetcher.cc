#include "radishrudder/exchange/fetcher.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace radishrudder::exchange {
namespace {

// Maximum body of an answer, in bytes. The largest that are asked for are pages
// of the platform's store: 1 MB of values, or one value of 1 MiB, in base64.
constexpr std::size_t kMaximumAnswerBytes = 8U << 20U;

}  // namespace

std::string EncodeRequest(std::string_view host, const FetchRequest& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  text += "Host: ";
  text += host;
  text += "\r\n";
  for (const http::Header& header : request.headers) {
    if (http::IsSendable(header)) {
      text += header.name + ": " + header.value + "\r\n";
    }
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT";
  if (has_body) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n";
  text += request.body;
  return text;
}

class Fetcher::Exchange : public AnswerListener,
                          public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Fetcher& fetcher, Done done)
      : m_fetcher(fetcher),
        m_timer(fetcher.m_context),
        m_done(std::move(done)) {}

  void Start(std::string_view address,
             const FetchRequest& request,
             std::chrono::milliseconds timeout) {
    StartTimer(timeout);
    m_id = m_fetcher.m_pool.Start(address, EncodeRequest(address, request),
                                  request.method == "HEAD", *this);
  }

  bool StartReserved(EndpointPool::ReservationId reservation,
                     std::string_view host,
                     const FetchRequest& request,
                     std::chrono::milliseconds timeout) {
    const auto id = m_fetcher.m_pool.StartReserved(
        reservation, EncodeRequest(host, request), *this);
    if (id) {
      m_id = *id;
      StartTimer(timeout);
    }
    return id.has_value();
  }

  void Stop() {
    m_done = nullptr;
    m_timer.cancel();
    m_fetcher.m_pool.Cancel(m_id);
  }

  HeadVerdict OnHead(const ResponseHead& head) override {
    m_answer.status = head.status;
    m_answer.headers = head.headers;
    return HeadVerdict::kAccept;
  }
  void OnBody(std::string data) override {
    if (m_answer.body.size() + data.size() <= kMaximumAnswerBytes) {
      m_answer.body += data;
      return;
    }
    // The pool must not be called from its own callback.
    if (!std::exchange(m_too_large, true)) {
      asio::post(m_fetcher.m_context, [self = shared_from_this()] {
        if (self->m_done) {
          self->m_fetcher.m_pool.Cancel(self->m_id);
          self->End(std::nullopt);
        }
      });
    }
  }
  void OnEnd() override {
    End(m_too_large ? std::nullopt : std::optional(std::move(m_answer)));
  }
  void OnFailure(Failure failure) override { End(std::nullopt); }

 private:
  void StartTimer(std::chrono::milliseconds timeout) {
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error && self->m_done) {
        self->m_fetcher.m_pool.Cancel(self->m_id);
        self->End(std::nullopt);
      }
    });
  }

  void End(std::optional<FetchedAnswer> answer) {
    const auto self = shared_from_this();
    m_timer.cancel();
    m_fetcher.m_exchanges.erase(self);
    if (const Done done = std::exchange(m_done, nullptr)) {
      done(std::move(answer));
    }
  }

  Fetcher& m_fetcher;
  asio::steady_timer m_timer;
  Done m_done;
  EndpointPool::ExchangeId m_id = 0;
  FetchedAnswer m_answer;
  bool m_too_large = false;
};

Fetcher::~Fetcher() {
  for (const auto& exchange : m_exchanges) {
    exchange->Stop();
  }
}

void Fetcher::Fetch(std::string_view address,
                    const FetchRequest& request,
                    std::chrono::milliseconds timeout,
                    Done done) {
  const auto exchange = std::make_shared<Exchange>(*this, std::move(done));
  m_exchanges.insert(exchange);
  exchange->Start(address, request, timeout);
}

bool Fetcher::FetchReserved(EndpointPool::ReservationId reservation,
                            std::string_view host,
                            const FetchRequest& request,
                            std::chrono::milliseconds timeout,
                            Done done) {
  const auto exchange = std::make_shared<Exchange>(*this, std::move(done));
  const bool sent =
      exchange->StartReserved(reservation, host, request, timeout);
  if (sent) {
    m_exchanges.insert(exchange);
  }
  return sent;
}

}  // namespace radishrudder::exchange
