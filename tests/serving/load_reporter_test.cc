#include "radishrudder/serving/load_reporter.h"

#include <gtest/gtest.h>

#include <asio/post.hpp>
#include <chrono>
#include <vector>

#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::serving {
namespace {

constexpr char kAnyPort[] = "127.0.0.1:0";
// Only a failing test waits for so long.
constexpr std::chrono::seconds kPatience{10};

class LoadReporterTest : public testing::Test {
 protected:
  LoadReporterTest() {
    EXPECT_FALSE(m_reporter.Listen(kAnyPort));
    EXPECT_FALSE(m_entry.Open(kAnyPort));
    m_report.reachable = true;
    m_report.started_at_ms = 77;
    m_report.running = 4;
    m_report.waiting = 2;
    m_report.pace = 2.5;
    m_report.model = "chat";
    m_report.version = 3;
    m_report.cache_used = 10;
    m_report.cache_total = 20;
  }

  void Subscribe() {
    m_entry.Send(m_reporter.Address(),
                 peers::Encode(peers::LoadSubscription{}));
  }

  template <typename Done>
  void RunUntil(Done done) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!done() && std::chrono::steady_clock::now() < end) {
      m_context.run_one_until(end);
    }
    EXPECT_TRUE(done());
  }

  asio::io_context m_context{1};
  staging::EndpointReport m_report;
  int m_readings = 0;
  std::vector<peers::LoadReportDatagram> m_received;
  LoadReporter m_reporter{
      m_context, "agent-1", [this](const LoadReporter::Done& done) {
        ++m_readings;
        asio::post(m_context, [this, done] { done(m_report); });
      }};
  exchange::DatagramSocket m_entry{
      m_context,
      [this](std::string_view, std::string_view bytes) {
        m_received.push_back(std::get<peers::LoadReportDatagram>(
            peers::DecodeLoadDatagram(bytes).value()));
      },
      [](exchange::DatagramSocket::Operation, std::error_code error) {
        ADD_FAILURE() << error.message();
      }};
};

TEST_F(LoadReporterTest, SendsTheEndpointsLoadToASubscriber) {
  Subscribe();
  RunUntil([this] { return m_received.size() >= 3; });
  const peers::EndpointLoad& load = m_received[0].load;
  EXPECT_EQ(load.started_at_ms, 77U);
  EXPECT_EQ(load.running, 4U);
  EXPECT_EQ(load.waiting, 2U);
  EXPECT_EQ(load.pace, 2.5);
  EXPECT_FALSE(load.takes_no_new_calls);
  EXPECT_EQ(load.model, "chat");
  EXPECT_EQ(load.version, 3U);
  EXPECT_EQ(load.cache_used, 10U);
  EXPECT_EQ(load.cache_total, 20U);
  EXPECT_EQ(m_received[1].sequence, m_received[0].sequence + 1);
}

// Guards against requests to the endpoint in deployments without reports.
TEST_F(LoadReporterTest, DoesNotReadWithoutSubscription) {
  m_reporter.OnOrderSent(kernel::Now());
  m_reporter.OnOrderResult(kernel::Now(), staging::OrderResult::kStarted);
  m_context.poll();
  // Neither a timer nor a reading is pending; only the sockets wait.
  EXPECT_EQ(m_readings, 0);
  EXPECT_EQ(m_reporter.Publisher().NextTick(), kernel::Time::max());
}

TEST_F(LoadReporterTest, TellsOfABusyEndpoint) {
  m_report.busy = true;
  Subscribe();
  RunUntil([this] { return !m_received.empty(); });
  EXPECT_TRUE(m_received.back().load.takes_no_new_calls);
}

struct OrderCase {
  const char* name;
  staging::OrderResult result;
};

class LoadReporterOrderTest : public LoadReporterTest,
                              public testing::WithParamInterface<OrderCase> {};

// Guards against an endpoint that stays excluded after an order, however the
// order ended, and against one that is not excluded while an order is open.
TEST_P(LoadReporterOrderTest, TakesNoCallsUntilTheOrderHasEnded) {
  Subscribe();
  RunUntil([this] { return !m_received.empty(); });
  EXPECT_FALSE(m_received.back().load.takes_no_new_calls);
  m_reporter.OnOrderSent(kernel::Now());
  RunUntil([this] { return m_received.back().load.takes_no_new_calls; });
  m_reporter.OnOrderResult(kernel::Now(), GetParam().result);
  RunUntil([this] { return !m_received.back().load.takes_no_new_calls; });
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LoadReporterOrderTest,
    testing::Values(OrderCase{"Started", staging::OrderResult::kStarted},
                    OrderCase{"AlreadyLoaded",
                              staging::OrderResult::kAlreadyLoaded},
                    OrderCase{"PreconditionFailed",
                              staging::OrderResult::kPreconditionFailed},
                    OrderCase{"Failed", staging::OrderResult::kFailed},
                    OrderCase{"NoResponse", staging::OrderResult::kNoResponse}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against reports that stop for good after the endpoint was unreachable.
TEST_F(LoadReporterTest, ReportsAgainWhenTheEndpointIsBack) {
  m_report.reachable = false;
  Subscribe();
  RunUntil([this] { return m_readings >= 2; });
  EXPECT_TRUE(m_received.empty());
  m_report.reachable = true;
  RunUntil([this] { return !m_received.empty(); });
}

// Guards against an agent that supplies no weights because a port is taken.
TEST_F(LoadReporterTest, WorksOnWithoutItsPort) {
  LoadReporter other(m_context, "agent-2", [](const LoadReporter::Done&) {});
  EXPECT_TRUE(other.Listen(m_reporter.Address()));
  other.OnOrderSent(kernel::Now());
  m_context.poll();
}

}  // namespace
}  // namespace radishrudder::serving
