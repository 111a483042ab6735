#ifndef RADISHRUDDER_SERVING_STORE_FOLLOWER_H_
#define RADISHRUDDER_SERVING_STORE_FOLLOWER_H_

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "radishrudder/dissemination/store_reader.h"
#include "radishrudder/exchange/fetcher.h"
#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::serving {

inline void LogEra(const dissemination::StoreEraChanged& changed,
                   std::string_view prefix) {
  logging::Log(logging::kStoreEraChanged,
               {{"prefix", std::string(prefix)},
                {"previous", std::to_string(changed.previous)},
                {"era", std::to_string(changed.era)}});
}

// Encodes the requests of a `StoreReader` and decodes the store's responses.
template <typename T>
concept StoreCodec = requires(const dissemination::ReadPage& page,
                              const dissemination::WatchChanges& watch,
                              const exchange::FetchedAnswer& response,
                              std::string& problem) {
  { T::EncodePage("", page) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeWatch("", watch) } -> std::same_as<exchange::FetchRequest>;
  {
    T::Decode(response, problem)
    } -> std::same_as<std::optional<typename T::Answer>>;
};

// Reads and watches all keys of one store prefix, on the `io_context` of a
// process.
template <StoreCodec Codec>
class StoreFollower {
 public:
  // Receives all outputs of the `StoreReader` except requests.
  using Handler = std::function<void(dissemination::StoreOutput)>;

  struct Settings {
    std::string address{};
    std::string prefix{};
    dissemination::StoreReaderSettings reader{};
    // Time without progress after which a request fails, in addition to a
    // watch's own wait.
    std::chrono::milliseconds response_timeout{800};
    // An answer that keeps arriving is read for this long: what was given up
    // would stand in the way of the next attempt on a narrow link.
    std::chrono::milliseconds answer_timeout{10000};
  };

  StoreFollower(asio::io_context& context,
                exchange::Fetcher& fetcher,
                Settings settings,
                kernel::Random random,
                Handler handler)
      : m_fetcher(fetcher),
        m_timer(context),
        m_settings(std::move(settings)),
        m_reader(m_settings.reader, random),
        m_handler(std::move(handler)) {}

  void Start() { Advance(); }
  // Returns why the last request failed; empty if it succeeded.
  const std::string& Problem() const { return m_problem; }

 private:
  void Advance() {
    const kernel::Time now = kernel::Now();
    m_reader.OnTick(now, kernel::BootTimeNow());
    for (dissemination::StoreOutput& output : m_reader.TakeOutputs()) {
      if (const auto* page = std::get_if<dissemination::ReadPage>(&output)) {
        SendRequest(Codec::EncodePage(m_settings.prefix, *page),
                    std::chrono::milliseconds(0), /*page=*/true);
      } else if (const auto* watch =
                     std::get_if<dissemination::WatchChanges>(&output)) {
        SendRequest(Codec::EncodeWatch(m_settings.prefix, *watch), watch->wait,
                    /*page=*/false);
      } else {
        m_handler(std::move(output));
      }
    }
    if (m_reader.NextTick() == kernel::Time::max()) {
      return;
    }
    m_timer.expires_after(
        std::max(m_reader.NextTick() - now, kernel::Duration::zero()));
    m_timer.async_wait([this](std::error_code error) {
      if (!error) {
        Advance();
      }
    });
  }

  void SendRequest(const exchange::FetchRequest& request,
                   std::chrono::milliseconds wait,
                   bool page) {
    m_fetcher.Fetch(
        m_settings.address, request,
        {wait + m_settings.response_timeout, wait + m_settings.answer_timeout},
        [this, page](std::optional<exchange::FetchedAnswer> response) {
          OnResponse(response, page);
          Advance();
        });
  }

  void OnResponse(const std::optional<exchange::FetchedAnswer>& response,
                  bool page) {
    m_problem = response ? std::string() : "no answer";
    std::optional<typename Codec::Answer> decoded;
    if (response) {
      decoded = Codec::Decode(*response, m_problem);
    }
    const kernel::Time now = kernel::Now();
    if (!decoded) {
      m_reader.OnRequestFailed(now);
    } else if (decoded->history_gone) {
      m_reader.OnHistoryDiscarded(now, decoded->era);
    } else if (page) {
      m_reader.OnPage(now, std::move(decoded->items), decoded->has_more,
                      decoded->revision, decoded->era);
    } else {
      m_reader.OnChanges(now, std::move(decoded->items), decoded->revision,
                         decoded->era);
    }
    if (decoded && !m_reader.IsReachable()) {
      m_problem = "answer of an earlier era";
    }
  }

  exchange::Fetcher& m_fetcher;
  asio::steady_timer m_timer;
  Settings m_settings;
  dissemination::StoreReader m_reader;
  Handler m_handler;
  std::string m_problem;
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_STORE_FOLLOWER_H_
