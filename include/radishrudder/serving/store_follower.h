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

namespace radishrudder::serving {

// How the requests of a `StoreReader` look on the wire.
template <typename T>
concept StoreCodec = requires(const dissemination::ReadPage& page,
                              const dissemination::WatchChanges& watch,
                              const exchange::FetchedAnswer& answer,
                              std::string& problem) {
  { T::EncodePage("", page) } -> std::same_as<exchange::FetchRequest>;
  { T::EncodeWatch("", watch) } -> std::same_as<exchange::FetchRequest>;
  {
    T::Decode(answer, problem)
    } -> std::same_as<std::optional<typename T::Answer>>;
};

// Follows one prefix of a store for a process, on its context.
template <StoreCodec Codec>
class StoreFollower {
 public:
  // Gets everything but requests.
  using Handler = std::function<void(dissemination::StoreOutput)>;

  struct Settings {
    std::string address{};
    std::string prefix{};
    dissemination::StoreReaderSettings reader{};
    // Beyond a watch's own wait, an answer may take so long.
    std::chrono::milliseconds answer_time{800};
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
  // Why the last request failed; empty if it did not.
  const std::string& Problem() const { return m_problem; }

 private:
  void Advance() {
    const kernel::Time now = kernel::Now();
    m_reader.OnTick(now, kernel::BootTimeNow());
    for (dissemination::StoreOutput& output : m_reader.TakeOutputs()) {
      if (const auto* page = std::get_if<dissemination::ReadPage>(&output)) {
        Ask(Codec::EncodePage(m_settings.prefix, *page), m_settings.answer_time,
            /*page=*/true);
      } else if (const auto* watch =
                     std::get_if<dissemination::WatchChanges>(&output)) {
        Ask(Codec::EncodeWatch(m_settings.prefix, *watch),
            watch->wait + m_settings.answer_time, /*page=*/false);
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

  void Ask(const exchange::FetchRequest& request,
           std::chrono::milliseconds time,
           bool page) {
    m_fetcher.Fetch(
        m_settings.address, request, time,
        [this, page](std::optional<exchange::FetchedAnswer> answer) {
          OnAnswer(answer, page);
          Advance();
        });
  }

  void OnAnswer(const std::optional<exchange::FetchedAnswer>& answer,
                bool page) {
    m_problem = answer ? std::string() : "no answer";
    std::optional<typename Codec::Answer> decoded;
    if (answer) {
      decoded = Codec::Decode(*answer, m_problem);
    }
    const kernel::Time now = kernel::Now();
    if (!decoded) {
      m_reader.OnFailed(now);
    } else if (decoded->history_gone) {
      m_reader.OnHistoryGone(now);
    } else if (page) {
      m_reader.OnPage(now, std::move(decoded->items), decoded->has_more,
                      decoded->revision);
    } else {
      m_reader.OnChanges(now, std::move(decoded->items), decoded->revision);
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
