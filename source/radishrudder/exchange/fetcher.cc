#include "radishrudder/exchange/fetcher.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::exchange {
namespace {

// Maximum of all answers that are read at the same time. One that makes them
// exceed it fails, unless it is smaller than the reserve.
constexpr std::size_t kMaximumHeldBytes = 24U << 20U;
constexpr std::size_t kReservedBytes = 256U << 10U;
// Bytes of an answer that count as progress.
constexpr std::size_t kProgressBytes = 4096;

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
             const FetchTimeouts& timeouts) {
    m_maximum_bytes = request.maximum_answer_bytes;
    StartTimer(timeouts);
    m_id = m_fetcher.m_pool.Start(address, EncodeRequest(address, request),
                                  request.method == "HEAD", *this);
  }

  bool StartReserved(EndpointPool::ReservationId reservation,
                     std::string_view host,
                     const FetchRequest& request,
                     const FetchTimeouts& timeouts) {
    m_maximum_bytes = request.maximum_answer_bytes;
    const auto id = m_fetcher.m_pool.StartReserved(
        reservation, EncodeRequest(host, request), *this);
    if (id) {
      m_id = *id;
      StartTimer(timeouts);
    }
    return id.has_value();
  }

  void Stop() {
    m_done = nullptr;
    m_timer.cancel();
    ReleaseBytes();
    m_fetcher.m_pool.Cancel(m_id);
  }

  HeadVerdict OnHead(const ResponseHead& head) override {
    m_progress_at = kernel::Now();
    m_answer.status = head.status;
    m_answer.headers = head.headers;
    return HeadVerdict::kAccept;
  }
  void OnBody(std::string data) override {
    if (TakeBytes(data)) {
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
    ReleaseBytes();
    End(m_too_large ? std::nullopt : std::optional(std::move(m_answer)));
  }
  void OnFailure(Failure failure) override { End(std::nullopt); }

 private:
  // Returns whether the answer may have these bytes as well.
  bool TakeBytes(std::string_view data) {
    const std::size_t size = m_answer.body.size() + data.size();
    std::size_t& held = m_fetcher.m_held_bytes;
    if (size > m_maximum_bytes ||
        (size > kReservedBytes && held + data.size() > kMaximumHeldBytes)) {
      return false;
    }
    m_answer.body += data;
    held += data.size();
    m_held_bytes += data.size();
    if (size - m_progress_bytes >= kProgressBytes) {
      m_progress_bytes = size;
      m_progress_at = kernel::Now();
    }
    return true;
  }

  void ReleaseBytes() {
    m_fetcher.m_held_bytes -= std::exchange(m_held_bytes, 0);
  }

  void StartTimer(const FetchTimeouts& timeouts) {
    m_progress_timeout = timeouts.progress;
    m_progress_at = kernel::Now();
    m_ends_at = m_progress_at + std::max(timeouts.progress, timeouts.total);
    AwaitTimeout();
  }

  void AwaitTimeout() {
    m_timer.expires_at(std::min(m_progress_at + m_progress_timeout, m_ends_at));
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
      if (error || !self->m_done) {
        return;
      }
      const kernel::Time now = kernel::Now();
      if (now < self->m_ends_at &&
          now < self->m_progress_at + self->m_progress_timeout) {
        self->AwaitTimeout();
        return;
      }
      self->m_fetcher.m_pool.Cancel(self->m_id);
      self->End(std::nullopt);
    });
  }

  void End(std::optional<FetchedAnswer> answer) {
    const auto self = shared_from_this();
    m_timer.cancel();
    ReleaseBytes();
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
  std::size_t m_maximum_bytes = 0;
  std::size_t m_held_bytes = 0;      // That count in the fetcher.
  std::size_t m_progress_bytes = 0;  // Of the body at the latest progress.
  kernel::Time m_progress_at{};
  std::chrono::milliseconds m_progress_timeout{};
  kernel::Time m_ends_at{};
  bool m_too_large = false;
};

Fetcher::~Fetcher() {
  for (const auto& exchange : m_exchanges) {
    exchange->Stop();
  }
}

void Fetcher::Fetch(std::string_view address,
                    const FetchRequest& request,
                    FetchTimeouts timeouts,
                    Done done) {
  const auto exchange = std::make_shared<Exchange>(*this, std::move(done));
  m_exchanges.insert(exchange);
  exchange->Start(address, request, timeouts);
}

bool Fetcher::FetchReserved(EndpointPool::ReservationId reservation,
                            std::string_view host,
                            const FetchRequest& request,
                            FetchTimeouts timeouts,
                            Done done) {
  const auto exchange = std::make_shared<Exchange>(*this, std::move(done));
  const bool sent =
      exchange->StartReserved(reservation, host, request, timeouts);
  if (sent) {
    m_exchanges.insert(exchange);
  }
  return sent;
}

}  // namespace radishrudder::exchange
