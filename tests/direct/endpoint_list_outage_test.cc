// Tests which missing entries of the endpoint list count as removed, and which
// as expired while the store was away.
#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

#include "radishrudder/direct/endpoint_list.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1200};
constexpr milliseconds kGrace{2000};

enum class Step {
  kAnswer,     // The store answers a request that it received at once.
  kOther,      // The same for a request that is not for the list.
  kSlow,       // It answers a request that was sent at the preceding step.
  kHeartbeat,  // The entry of the endpoint is written and read.
  kTombstone,  // Its removal is read.
  kSnapshot    // A list without it is read.
};

struct TimedStep {
  int at_ms = 0;
  Step step{};
};

struct OutageCase {
  const char* name;
  std::vector<TimedStep> steps{};
  int check_ms = 0;  // Since the first step.
  bool present = false;
};

void PrintTo(const OutageCase& outage, std::ostream* stream) {
  *stream << outage.name;
}

class EndpointListOutageTest : public testing::TestWithParam<OutageCase> {
 protected:
  void Execute(Step step) {
    ListedEndpoint endpoint;
    endpoint.id = "a";
    endpoint.started = 7;
    endpoint.revision = ++m_revision;
    if (step == Step::kOther) {
      m_list.OnStoreAnswered(m_now, m_now);
      return;
    }
    m_list.OnListAnswered(m_now, step == Step::kSlow ? m_previous : m_now);
    if (step == Step::kHeartbeat) {
      m_list.OnUpdate(m_now, endpoint);
    } else if (step == Step::kTombstone) {
      m_list.OnRemoved(m_now, "a", m_revision);
    } else if (step == Step::kSnapshot) {
      m_list.OnSnapshot(m_now, {}, m_revision);
    }
  }

  EndpointList m_list{{.heartbeat_interval = kHeartbeatInterval,
                       .expired_endpoint_grace = kGrace}};
  const kernel::Time m_start{std::chrono::hours(1)};
  kernel::Time m_now = m_start;
  kernel::Time m_previous = m_start;
  std::uint64_t m_revision = 0;
};

// Guards against requests to removed endpoints after single failed requests to
// the store, and against live endpoints being lost after an outage.
TEST_P(EndpointListOutageTest, TellsRemovedFromExpired) {
  const OutageCase& test = GetParam();
  for (const TimedStep& step : test.steps) {
    m_previous = m_now;
    m_now = m_start + milliseconds(step.at_ms);
    m_list.OnTick(m_now);
    Execute(step.step);
  }
  m_now = m_start + milliseconds(test.check_ms);
  m_list.OnTick(m_now);
  EXPECT_EQ(m_list.Find("a") != nullptr, test.present);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndpointListOutageTest,
    testing::Values(
        OutageCase{"RemovedWithoutOutage",
                   {{0, Step::kHeartbeat}, {500, Step::kTombstone}},
                   500,
                   false},
        OutageCase{"RemovedAfterAFailedWatch",
                   {{0, Step::kHeartbeat},
                    {900, Step::kAnswer},
                    {1000, Step::kTombstone}},
                   1000,
                   false},
        // Its endpoint stopped writing; the store was there all the time.
        OutageCase{"ExpiredWithoutOutage",
                   {{0, Step::kHeartbeat},
                    {1000, Step::kAnswer},
                    {2000, Step::kAnswer},
                    {3000, Step::kAnswer},
                    {3700, Step::kTombstone}},
                   3700,
                   false},
        // A watch that waits proves that the store is there.
        OutageCase{"RemovedAfterALongWatch",
                   {{0, Step::kHeartbeat},
                    {30000, Step::kSlow},
                    {30100, Step::kTombstone}},
                   30100,
                   false},
        OutageCase{"ExpiredInAnOutage",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {5000, Step::kAnswer}},
                   5900,
                   true},
        OutageCase{"ExpiredInAnOutageAndGone",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {5000, Step::kAnswer}},
                   6100,
                   false},
        OutageCase{"NotInTheListAfterAnOutage",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kSnapshot},
                    {5000, Step::kAnswer}},
                   5900,
                   true},
        OutageCase{"ExpiredAndBack",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {5000, Step::kAnswer},
                    {5900, Step::kHeartbeat}},
                   7000,
                   true},
        OutageCase{"RemovedOnceItIsBack",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {4500, Step::kHeartbeat},
                    {5000, Step::kTombstone}},
                   5000,
                   false},
        // Heartbeats that were written after the outage rule out an expiry.
        OutageCase{"RemovedRightAfterAnOutage",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kAnswer},
                    {4100, Step::kHeartbeat},
                    {4200, Step::kTombstone}},
                   4200,
                   false},
        // The heartbeat was written before the outage and not read in time.
        OutageCase{"ExpiredAfterAnUnreadHeartbeat",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kHeartbeat},
                    {4000, Step::kTombstone}},
                   4000,
                   true},
        OutageCase{"ExpiredAfterAnUnreadHeartbeatBesideOtherAnswers",
                   {{0, Step::kHeartbeat},
                    {3990, Step::kOther},
                    {4000, Step::kHeartbeat},
                    {4000, Step::kTombstone}},
                   4000,
                   true},
        OutageCase{"RemovedLongAfterAnOutage",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kAnswer},
                    {5000, Step::kAnswer},
                    {6000, Step::kAnswer},
                    {6500, Step::kTombstone}},
                   6500,
                   false},
        // Failed requests between successful ones do not prolong the grace
        // period.
        OutageCase{"GoneDespiteFailedWatches",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {5000, Step::kAnswer},
                    {6000, Step::kAnswer}},
                   6100,
                   false},
        OutageCase{"KeptThroughASecondOutage",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {4500, Step::kAnswer},
                    {7500, Step::kAnswer}},
                   8400,
                   true},
        OutageCase{"GoneAfterRepeatedOutages",
                   {{0, Step::kHeartbeat},
                    {4000, Step::kTombstone},
                    {5900, Step::kAnswer},
                    {7800, Step::kAnswer},
                    {9700, Step::kAnswer},
                    {9900, Step::kAnswer}},
                   9900,
                   false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::direct
