#include <gtest/gtest.h>

#include <set>

#include "radishrudder/peers/load_reports.h"

namespace radishrudder::peers {
namespace {

using std::chrono::milliseconds;

constexpr char kEntry[] = "10.0.0.1:7000";
constexpr char kOtherEntry[] = "10.0.0.2:7000";
constexpr std::uint64_t kFirstSequence = 500;

EndpointLoad Load(bool busy = false) {
  return {.started_at_ms = 77,
          .running = 4,
          .takes_no_new_calls = busy,
          .model = "chat",
          .version = 3};
}

class LoadPublisherTest : public testing::Test {
 protected:
  void Subscribe(const std::string& address) {
    m_publisher.OnDatagram(m_now, address, Encode(LoadSubscription{}));
  }

  // Advances the time in steps of 1 ms. Readings end at once.
  void Run(milliseconds duration) {
    for (const kernel::Time end = m_now + duration; m_now < end;) {
      m_now += milliseconds(1);
      m_publisher.OnTick(m_now);
      TakeOutputs();
    }
  }

  void TakeOutputs() {
    for (const LoadPublisherOutput& output : m_publisher.TakeOutputs()) {
      if (const auto* send = std::get_if<SendLoadDatagram>(&output)) {
        m_receivers.insert(send->address);
        m_reports.push_back(std::get<LoadReportDatagram>(
            DecodeLoadDatagram(send->bytes).value()));
        m_sent_at.push_back(m_now);
      } else {
        m_readings.push_back(m_now);
        if (m_answers) {
          m_publisher.OnReading(m_now, m_load);
          TakeOutputs();
        }
      }
    }
  }

  LoadPublisher m_publisher{{.first_sequence = kFirstSequence}};
  kernel::Time m_now{std::chrono::hours(1)};
  std::optional<EndpointLoad> m_load = Load();
  bool m_answers = true;
  std::vector<kernel::Time> m_readings;
  std::vector<LoadReportDatagram> m_reports;
  std::vector<kernel::Time> m_sent_at;
  std::multiset<std::string> m_receivers;
};

// Guards against load on endpoints of deployments that want no reports.
TEST_F(LoadPublisherTest, NeitherReadsNorReportsWithoutSubscription) {
  m_publisher.OnOrderSent(m_now);
  m_publisher.OnOrderResult(m_now, false);
  Run(milliseconds(10'000));
  EXPECT_TRUE(m_readings.empty());
  EXPECT_TRUE(m_reports.empty());
  EXPECT_EQ(m_publisher.NextTick(), kernel::Time::max());
}

TEST_F(LoadPublisherTest, ReportsUntilTheSubscriptionExpires) {
  Subscribe(kEntry);
  Run(milliseconds(10'000));
  // The first reading is a change of state, so the next follows after 40 ms.
  // The others follow at intervals of 150 ms.
  EXPECT_GE(m_reports.size(), 20U);
  EXPECT_LE(m_reports.size(), 21U);
  EXPECT_LT(m_sent_at.back() - m_sent_at.front(), milliseconds(3000));
  EXPECT_EQ(m_reports.front().load, Load());
  EXPECT_EQ(m_publisher.Subscribers(), 0U);
  EXPECT_EQ(m_publisher.NextTick(), kernel::Time::max());
}

// Guards against an entry that gets nothing because another one subscribed.
TEST_F(LoadPublisherTest, SendsEachReportToAllSubscribers) {
  Subscribe(kEntry);
  Subscribe(kOtherEntry);
  Run(milliseconds(1000));
  EXPECT_EQ(m_receivers.count(kEntry), m_readings.size());
  EXPECT_EQ(m_receivers.count(kOtherEntry), m_readings.size());
}

// Guards against reports that stop because one subscription was lost.
TEST_F(LoadPublisherTest, SurvivesLostAndRepeatedSubscriptions) {
  Subscribe(kEntry);
  Subscribe(kEntry);
  Run(milliseconds(2000));  // One subscription was lost.
  Subscribe(kEntry);
  Run(milliseconds(2900));
  EXPECT_EQ(m_receivers.size(), m_readings.size());
  EXPECT_GE(m_receivers.size(), 33U);
  for (std::size_t i = 1; i < m_sent_at.size(); ++i) {
    EXPECT_LE(m_sent_at[i] - m_sent_at[i - 1], milliseconds(150));
  }
}

// Guards against a subscriber that treats the reports of a restarted agent, or
// any later report, as repeated.
TEST_F(LoadPublisherTest, SequenceIncreasesFromTheGivenStart) {
  Subscribe(kEntry);
  Run(milliseconds(1000));
  for (std::size_t i = 0; i < m_reports.size(); ++i) {
    EXPECT_EQ(m_reports[i].sequence, kFirstSequence + i);
  }
}

// Guards against a flood after a state that changes with each reading.
TEST_F(LoadPublisherTest, ReportsChangesOfStateSoonButNotTooOften) {
  Subscribe(kEntry);
  for (int i = 0; i < 1000; ++i) {
    m_load = Load(i % 2 != 0);
    Run(milliseconds(1));
  }
  EXPECT_GT(m_reports.size(), 7U);
  for (std::size_t i = 1; i < m_sent_at.size(); ++i) {
    EXPECT_GE(m_sent_at[i] - m_sent_at[i - 1], milliseconds(40));
  }
}

// Guards against calls that are sent to an endpoint in the 150 ms after its
// order, and against an endpoint that stays excluded after the load.
TEST_F(LoadPublisherTest, TakesNoCallsFromTheOrderUntilTheLoadIsComplete) {
  Subscribe(kEntry);
  Run(milliseconds(500));
  ASSERT_FALSE(m_reports.back().load.takes_no_new_calls);

  m_publisher.OnOrderSent(m_now);
  Run(milliseconds(40));
  EXPECT_TRUE(m_reports.back().load.takes_no_new_calls);
  EXPECT_EQ(m_sent_at.back(), m_now);
  Run(milliseconds(200));
  EXPECT_TRUE(m_reports.back().load.takes_no_new_calls);

  m_publisher.OnOrderResult(m_now, /*refused=*/false);
  m_load = Load(/*busy=*/true);
  Run(milliseconds(300));
  EXPECT_TRUE(m_reports.back().load.takes_no_new_calls);

  m_load = Load(/*busy=*/false);
  Run(milliseconds(150));
  EXPECT_FALSE(m_reports.back().load.takes_no_new_calls);
}

TEST_F(LoadPublisherTest, ARefusedOrderEndsSoon) {
  Subscribe(kEntry);
  m_publisher.OnOrderSent(m_now);
  Run(milliseconds(500));
  ASSERT_TRUE(m_reports.back().load.takes_no_new_calls);
  m_publisher.OnOrderResult(m_now, /*refused=*/true);
  Run(milliseconds(40));
  EXPECT_FALSE(m_reports.back().load.takes_no_new_calls);
}

// Guards against a reading that was requested before the endpoint accepted the
// order and is taken for the end of the load.
TEST_F(LoadPublisherTest, AnEarlierReadingDoesNotEndTheOrder) {
  Subscribe(kEntry);
  m_answers = false;
  m_publisher.OnOrderSent(m_now);
  Run(milliseconds(50));
  ASSERT_EQ(m_readings.size(), 1U);
  m_publisher.OnOrderResult(m_now, /*refused=*/false);
  m_publisher.OnReading(m_now, Load());
  TakeOutputs();
  EXPECT_TRUE(m_reports.back().load.takes_no_new_calls);
}

// Guards against readings that pile up at an endpoint that doesn't respond, and
// against reports that make an old reading look new.
TEST_F(LoadPublisherTest, WaitsForASlowEndpointAndStatesTheAge) {
  Subscribe(kEntry);
  m_answers = false;
  Run(milliseconds(700));
  EXPECT_EQ(m_readings.size(), 1U);
  EXPECT_EQ(m_publisher.NextTick(), kernel::Time::max());
  m_publisher.OnReading(m_now, Load());
  TakeOutputs();
  ASSERT_EQ(m_reports.size(), 1U);
  EXPECT_EQ(m_reports[0].age, m_now - m_readings[0]);
  Run(milliseconds(1));
  EXPECT_EQ(m_readings.size(), 2U);
}

// Guards against reports about an endpoint that is gone.
TEST_F(LoadPublisherTest, SendsNothingWhileTheEndpointDoesNotRespond) {
  Subscribe(kEntry);
  m_load.reset();
  Run(milliseconds(1000));
  EXPECT_GE(m_readings.size(), 6U);
  EXPECT_TRUE(m_reports.empty());
  m_load = Load();
  m_load->started_at_ms = 99;  // It restarted.
  Run(milliseconds(150));
  ASSERT_FALSE(m_reports.empty());
  EXPECT_EQ(m_reports.back().load.started_at_ms, 99U);
}

// Guards against unbounded work and memory, and against old subscribers that
// exclude new ones.
TEST_F(LoadPublisherTest, KeepsTheLatestSubscribers) {
  for (int i = 0; i < 100; ++i) {
    Subscribe("10.0.1." + std::to_string(i) + ":7000");
    m_now += milliseconds(1);
  }
  EXPECT_EQ(m_publisher.Subscribers(), 64U);
  Run(milliseconds(1));
  EXPECT_EQ(m_receivers.size(), 64U);
  EXPECT_EQ(m_receivers.count("10.0.1.35:7000"), 0U);
  EXPECT_EQ(m_receivers.count("10.0.1.36:7000"), 1U);
  EXPECT_EQ(m_receivers.count("10.0.1.99:7000"), 1U);
}

// Guards against reports to senders of anything else.
TEST_F(LoadPublisherTest, CountsMalformedDatagrams) {
  m_publisher.OnDatagram(m_now, kEntry, "text");
  m_publisher.OnDatagram(m_now, kEntry, Encode(LoadReportDatagram{}));
  Run(milliseconds(1000));
  EXPECT_TRUE(m_readings.empty());
  EXPECT_EQ(m_publisher.Count().malformed, 2U);
  EXPECT_EQ(m_publisher.Count().subscriptions, 0U);
}

// Guards against a result that comes after a timeout and is sent with the age
// of another reading.
TEST_F(LoadPublisherTest, IgnoresAResultThatWasNotRequested) {
  Subscribe(kEntry);
  m_publisher.OnReading(m_now, Load());
  TakeOutputs();
  EXPECT_TRUE(m_reports.empty());
}

}  // namespace
}  // namespace radishrudder::peers
