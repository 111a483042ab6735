// Tests of connections that are reserved for one request.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "radishrudder/exchange/endpoint_pool.h"
#include "radishrudder/exchange/fetcher.h"
#include "tests/exchange/scripted_peer.h"

namespace radishrudder::exchange {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::chrono::milliseconds kTimeout{1000};

class ReservedConnectionTest : public testing::Test {
 protected:
  // Reserves a connection and waits until it is open or has failed.
  EndpointPool::ReservationId Reserve(const std::string& address,
                                      bool may_be_reused = false) {
    m_open.reset();
    const auto reservation = m_pool.Reserve(
        address, may_be_reused, [this](bool open) { m_open = open; });
    EXPECT_FALSE(m_open);
    RunUntil([this] { return m_open.has_value(); });
    return reservation;
  }

  // Returns whether the request was sent, and waits for its end.
  bool Send(EndpointPool::ReservationId reservation) {
    m_body.reset();
    bool ended = false;
    const bool sent = m_fetcher.FetchReserved(
        reservation, "host", {.method = "GET", .target = "/"}, kTimeout,
        [this, &ended](std::optional<FetchedAnswer> answer) {
          ended = true;
          if (answer) {
            m_body = answer->body;
          }
        });
    if (sent) {
      RunUntil([&ended] { return ended; });
    }
    return sent;
  }

  // Makes a request whose connection is idle afterwards.
  void SendOnPooledConnection(const std::string& address) {
    bool ended = false;
    m_fetcher.Fetch(
        address, {.method = "GET", .target = "/"}, kTimeout,
        [&ended](const std::optional<FetchedAnswer>&) { ended = true; });
    RunUntil([&ended] { return ended; });
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    m_context.restart();
    while (!condition()) {
      m_context.run_one();
    }
  }

  asio::io_context m_context{1};
  EndpointPool m_pool{m_context, {}};
  Fetcher m_fetcher{m_context, m_pool};
  std::optional<bool> m_open;
  std::optional<std::string> m_body;
};

TEST_F(ReservedConnectionTest, CarriesOneRequestAndBecomesIdle) {
  ScriptedPeer peer(m_context, {{kOk}, {kOk}});
  const auto reservation = Reserve(peer.Address());
  EXPECT_EQ(m_open, true);
  EXPECT_TRUE(Send(reservation));
  EXPECT_EQ(m_body, "ok");
  EXPECT_FALSE(Send(reservation));
  SendOnPooledConnection(peer.Address());
  EXPECT_EQ(peer.Connections(), 1U);
}

TEST_F(ReservedConnectionTest, IsNewAlthoughAnIdleOneIsOpen) {
  ScriptedPeer peer(m_context, {{kOk}, {kOk}});
  SendOnPooledConnection(peer.Address());
  EXPECT_TRUE(Send(Reserve(peer.Address())));
  EXPECT_EQ(m_body, "ok");
  EXPECT_EQ(peer.Connections(), 2U);
}

TEST_F(ReservedConnectionTest, TakesAnIdleOneThatMayBeReused) {
  ScriptedPeer peer(m_context, {{kOk}, {kOk}});
  SendOnPooledConnection(peer.Address());
  EXPECT_TRUE(Send(Reserve(peer.Address(), /*may_be_reused=*/true)));
  EXPECT_EQ(m_body, "ok");
  EXPECT_EQ(peer.Connections(), 1U);
}

TEST_F(ReservedConnectionTest, IsNotUsedByOtherRequests) {
  ScriptedPeer peer(m_context, {{kOk}, {kOk}});
  const auto reservation = Reserve(peer.Address());
  SendOnPooledConnection(peer.Address());
  EXPECT_EQ(peer.Connections(), 2U);
  EXPECT_TRUE(Send(reservation));
  EXPECT_EQ(m_body, "ok");
}

// Guards against an order that reaches another process than the one whose
// staged pieces were verified.
TEST_F(ReservedConnectionTest, SendsNothingToTheNextProcess) {
  std::optional<ScriptedPeer> first(std::in_place, m_context,
                                    std::vector<ScriptedAnswer>{});
  const std::uint16_t port = first->Port();
  const std::string address = first->Address();
  const auto reservation = Reserve(address);
  RunUntil([&first] { return first->Connections() == 1; });
  first->End();
  ScriptedPeer next(m_context, {{kOk}}, port);
  RunUntil([this] { return m_open == false; });
  EXPECT_FALSE(Send(reservation));
  EXPECT_EQ(next.Connections(), 0U);
  EXPECT_TRUE(Send(Reserve(address)));
  EXPECT_EQ(m_body, "ok");
}

// The end of the connection may not be known yet when the request is sent.
TEST_F(ReservedConnectionTest, RequestEndsWithTheProcessThatReceivesIt) {
  std::optional<ScriptedPeer> first(std::in_place, m_context,
                                    std::vector<ScriptedAnswer>{});
  const std::uint16_t port = first->Port();
  const auto reservation = Reserve(first->Address());
  RunUntil([&first] { return first->Connections() == 1; });
  first->End();
  ScriptedPeer next(m_context, {{kOk}}, port);
  EXPECT_TRUE(Send(reservation));
  EXPECT_FALSE(m_body);
  EXPECT_EQ(next.Connections(), 0U);
}

TEST_F(ReservedConnectionTest, TellsThatItCannotBeOpened) {
  ScriptedPeer peer(m_context, {});
  const std::string address = peer.Address();
  peer.End();
  const auto reservation = Reserve(address);
  EXPECT_EQ(m_open, false);
  EXPECT_FALSE(Send(reservation));
}

TEST_F(ReservedConnectionTest, CancelledOneIsClosedAndSilent) {
  ScriptedPeer peer(m_context, {{kOk}});
  const auto reservation = Reserve(peer.Address());
  RunUntil([&peer] { return peer.Connections() == 1; });
  m_pool.CancelReservation(reservation);
  RunUntil([&peer] { return static_cast<bool>(peer.LastEnd()); });
  EXPECT_EQ(m_open, true);
  EXPECT_FALSE(Send(reservation));
}

}  // namespace
}  // namespace radishrudder::exchange
