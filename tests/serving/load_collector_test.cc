#include "radishrudder/serving/load_collector.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <vector>

#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/serving/call_journal.h"

namespace radishrudder::serving {
namespace {

constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr std::uint64_t kRun = 77;
// Only a failing test waits for so long.
constexpr std::chrono::seconds kPatience{10};

class LoadCollectorTest : public testing::Test {
 protected:
  LoadCollectorTest() {
    EXPECT_FALSE(m_agent.Open(kAnyPort));
    const std::string address = m_agent.Address();
    m_collector.emplace(m_context,
                        LoadCollectorSettings{
                            .instance = "entry-1",
                            .address = kAnyPort,
                            .agents_port = static_cast<std::uint16_t>(std::stoi(
                                address.substr(address.find(':') + 1)))},
                        [this](const direct::EndpointLoadReport& report) {
                          m_reports.push_back(report);
                        });
  }

  void SetEndpoints() {
    // The port is that of the endpoint, not of its agent.
    const std::vector<direct::ReportedEndpoint> endpoints{
        {.service = "chat",
         .id = "e-1",
         .address = "127.0.0.1:9",
         .started = kRun}};
    m_collector->SetEndpoints(kernel::Now(), endpoints);
    m_collector->OnTick(kernel::Now());
  }

  void SendReport(std::uint64_t sequence) {
    m_agent.Send(m_entry, peers::Encode(peers::LoadReportDatagram{
                              .load = {.started_at_ms = kRun,
                                       .running = 4,
                                       .waiting = 2,
                                       .pace = 2.5,
                                       .takes_no_new_calls = true},
                              .sequence = sequence}));
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
  std::string m_entry;  // Address that the subscription came from.
  std::vector<direct::EndpointLoadReport> m_reports;
  exchange::DatagramSocket m_agent{
      m_context,
      [this](std::string_view sender, std::string_view bytes) {
        EXPECT_EQ(bytes, peers::Encode(peers::LoadSubscription{}));
        m_entry = sender;
      },
      [](exchange::DatagramSocket::Operation, std::error_code error) {
        ADD_FAILURE() << error.message();
      }};
  std::optional<LoadCollector> m_collector;
};

TEST_F(LoadCollectorTest, SubscribesAndPassesReportsOn) {
  SetEndpoints();
  RunUntil([this] { return !m_entry.empty(); });
  SendReport(1);
  SendReport(1);
  SendReport(2);
  RunUntil([this] { return m_reports.size() == 2; });
  EXPECT_EQ(m_reports[0].service, "chat");
  EXPECT_EQ(m_reports[0].endpoint, "e-1");
  EXPECT_EQ(m_reports[0].started, kRun);
  EXPECT_EQ(m_reports[0].running, 4U);
  EXPECT_EQ(m_reports[0].waiting, 2U);
  EXPECT_EQ(m_reports[0].pace, 2.5);
  EXPECT_TRUE(m_reports[0].takes_no_new_calls);

  CallJournal journal("entry-1");
  journal.RecordLoadReports(kernel::Now(), *m_collector);
  journal.RecordLoadReports(kernel::Now(), *m_collector);
  const std::string metrics = journal.MetricsText();
  for (const char* line :
       {"radishrudder_load_datagrams_sent_total 1\n",
        "radishrudder_load_datagrams_received_total 3\n",
        "radishrudder_load_datagrams_dropped_total{reason=\"out_of_order\"} 1",
        "radishrudder_endpoints_with_load_report 1\n"}) {
    EXPECT_NE(metrics.find(line), std::string::npos) << line << metrics;
  }
}

// Guards against an open port in deployments that want no reports.
TEST_F(LoadCollectorTest, OpensNoSocketWithoutEndpoints) {
  m_collector->SetEndpoints(kernel::Now(), {});
  m_collector->OnTick(kernel::Now());
  EXPECT_FALSE(m_collector->WasUsed());
  EXPECT_EQ(m_collector->Socket().Address(), "");
  CallJournal journal("entry-1");
  journal.RecordLoadReports(kernel::Now(), *m_collector);
  EXPECT_EQ(journal.MetricsText().find("load"), std::string::npos);
}

// Guards against a report of an endpoint whose service wants none any more.
TEST_F(LoadCollectorTest, DropsReportsOfEndpointsThatLeft) {
  SetEndpoints();
  RunUntil([this] { return !m_entry.empty(); });
  m_collector->SetEndpoints(kernel::Now(), {});
  SendReport(1);
  RunUntil(
      [this] { return m_collector->Subscriber().Count().unknown_sender == 1; });
  EXPECT_TRUE(m_reports.empty());
}

}  // namespace
}  // namespace radishrudder::serving
