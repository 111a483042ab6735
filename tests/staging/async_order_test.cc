// Tests single sequences of accesses that made an endpoint load a mixture of
// versions.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "tests/staging/stager_fleet.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;
using enum Access::Kind;

constexpr milliseconds kStep{5};
constexpr milliseconds kUsualDelay{3};
constexpr milliseconds kShortOutage{50};
constexpr std::uint32_t kAnyPiece = kSimulatedPieces;
// A version is ordered at most this long after its declaration.
constexpr milliseconds kLastOrder{7000};
// As in AsyncStagerTest.
constexpr milliseconds kCatchUpTime{6200 + 2 * 2000 + 2 * 1000 + 300};

// One instance whose accesses take the times that a test sets.
class SlowInstance {
 public:
  SlowInstance()
      : m_fleet(
            {.instances = 1, .access_timing = AccessTiming{.reset_share = 0}}) {
    Endpoint().SetDelayRule(
        [this](const Access& access) { return TakeDelays(access); });
    Declare(1, /*newly_declared=*/false);
    Run(milliseconds(1000));
  }

  void Declare(std::uint64_t version, bool newly_declared = true) {
    m_newest = version;
    m_fleet.DeclareVersion(version, newly_declared);
  }
  void RestartStager(std::uint64_t declared) {
    m_newest = declared;
    m_fleet.RestartStager(0, declared);
  }
  void Run(milliseconds time) { m_fleet.Run(time); }

  // Sets the delays of the next access of this kind.
  void Delay(const Access& access, const AccessDelays& delays) {
    m_rules.push_back({access, delays});
  }

  // Runs until an access for which delays were set has been sent.
  void RunUntilSent(const Access& access) {
    const auto is_unsent = [&](const Rule& rule) {
      return IsSame(rule.access, access);
    };
    const kernel::Time end = m_fleet.Now() + kLastOrder;
    while (m_fleet.Now() < end && std::ranges::any_of(m_rules, is_unsent)) {
      Run(kStep);
    }
    EXPECT_TRUE(std::ranges::none_of(m_rules, is_unsent)) << m_fleet.Explain(0);
  }

  // Lets the endpoint start again without a model and without staged pieces, so
  // that the next version is loaded as soon as it is staged.
  void EmptyEndpoint() {
    Endpoint().LosePower(kShortOutage);
    Run(milliseconds(100));
  }

  bool CatchUp() { return m_fleet.RunUntilAllOn(m_newest, kCatchUpTime); }
  std::string Explain() const { return m_fleet.Explain(0); }
  AsyncEndpoint& Endpoint() { return m_fleet.Async(0); }

 private:
  struct Rule {
    Access access{};
    AccessDelays delays{};
  };

  static bool IsSame(const Access& expected, const Access& access) {
    return expected.kind == access.kind && expected.version == access.version &&
           (expected.index == kAnyPiece || expected.index == access.index);
  }

  std::optional<AccessDelays> TakeDelays(const Access& access) {
    const auto rule = std::ranges::find_if(m_rules, [&](const Rule& candidate) {
      return IsSame(candidate.access, access);
    });
    if (rule == m_rules.end()) {
      return AccessDelays{.arrival = kUsualDelay, .answer = kUsualDelay};
    }
    const AccessDelays delays = rule->delays;
    m_rules.erase(rule);
    return delays;
  }

  std::vector<Rule> m_rules;
  StagerFleet m_fleet;
  std::uint64_t m_newest = 0;
};

struct Sequence {
  std::string name{};
  void (*run)(SlowInstance& instance) = nullptr;
};

void PrintTo(const Sequence& sequence, std::ostream* stream) {
  *stream << sequence.name;
}

// The pieces of version 3 must not replace those that the order is to load.
void DeclareDuringOrder(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.Delay(order, {.arrival = milliseconds(500), .answer = kUsualDelay});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.Declare(3);
}

// A piece of version 2 must not replace a verified one of version 3.
void DeclareDuringWrite(SlowInstance& instance) {
  const Access write{.kind = kWrite, .version = 2, .index = 0};
  instance.Delay(write, {.arrival = milliseconds(400), .answer = kUsualDelay});
  instance.Delay({.kind = kOrder, .version = 3},
                 {.arrival = milliseconds(600), .answer = kUsualDelay});
  instance.EmptyEndpoint();
  instance.Declare(2);
  instance.RunUntilSent(write);
  instance.Declare(3);
}

// A report that fails hides the restart. The pieces that were read before it
// are gone.
void LosePowerDuringVerification(SlowInstance& instance) {
  const Access read{.kind = kRead, .version = 2, .index = 15};
  instance.Delay(read, {.arrival = kUsualDelay, .answer = milliseconds(900)});
  instance.Declare(2);
  instance.RunUntilSent(read);
  instance.Run(milliseconds(50));
  instance.Endpoint().SetTiming({.reset_share = 1});
  instance.Endpoint().LosePower(milliseconds(500));
  instance.Run(milliseconds(600));
  instance.Endpoint().SetTiming({.reset_share = 0});
}

// The order is sent while no process runs and reaches the next one, whose count
// of orders is that of the last one.
void LosePowerBeforeOrder(SlowInstance& instance) {
  const Access read{.kind = kRead, .version = 2, .index = 15};
  instance.Delay(read, {.arrival = kUsualDelay, .answer = milliseconds(200)});
  instance.Declare(2);
  instance.RunUntilSent(read);
  instance.Run(milliseconds(50));
  instance.Endpoint().LosePower(milliseconds(400));
}

// The order arrives after the stager was told that there is no response.
void DeclareAfterOrderWithoutResponse(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.Delay(order, {.arrival = milliseconds(2300), .answer = kUsualDelay});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.Run(milliseconds(1100));
  instance.Declare(3);
}

// The write arrives after the stager was told that it failed.
void DeclareAfterFailedWrite(SlowInstance& instance) {
  const Access write{.kind = kWrite, .version = 2, .index = 0};
  instance.Delay(write, {.arrival = milliseconds(1500), .answer = kUsualDelay});
  instance.Delay({.kind = kOrder, .version = 3},
                 {.arrival = milliseconds(800), .answer = kUsualDelay});
  instance.EmptyEndpoint();
  instance.Declare(2);
  instance.RunUntilSent(write);
  instance.Run(milliseconds(980));
  instance.Declare(3);
}

// The write waits for the next process and arrives after the stager has noticed
// the restart and forgotten the accesses of before.
void CrashBeforeWrite(SlowInstance& instance) {
  const Access write{.kind = kWrite, .version = 2, .index = kAnyPiece};
  instance.Delay(write, {.arrival = milliseconds(900), .answer = kUsualDelay});
  instance.Delay({.kind = kOrder, .version = 3},
                 {.arrival = milliseconds(900), .answer = kUsualDelay});
  instance.Declare(2);
  instance.Endpoint().Crash(milliseconds(100));
  instance.RunUntilSent(write);
  instance.Run(milliseconds(105));
  instance.Declare(3);
}

// The order of the former stager is unknown to the next one.
void RestartStagerDuringOrder(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.Delay(order, {.arrival = milliseconds(700), .answer = kUsualDelay});
  instance.Delay({.kind = kWrite, .version = 3, .index = 0},
                 {.arrival = kUsualDelay, .answer = milliseconds(600)});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.RestartStager(3);
}

// A write of the former stager is unknown to the next one.
void RestartStagerDuringWrite(SlowInstance& instance) {
  const Access write{.kind = kWrite, .version = 2, .index = 0};
  instance.Delay(write, {.arrival = milliseconds(700), .answer = kUsualDelay});
  instance.Delay({.kind = kOrder, .version = 3},
                 {.arrival = milliseconds(900), .answer = kUsualDelay});
  instance.EmptyEndpoint();
  instance.Declare(2);
  instance.RunUntilSent(write);
  instance.RestartStager(3);
}

// A write that reached the next process before its start was known may still
// arrive. It does not belong to the process that ended.
void WriteToNextProcessBeforeItIsKnown(SlowInstance& instance) {
  const Access report{.kind = kReport};
  const Access write{.kind = kWrite, .version = 2, .index = 0};
  const AccessDelays usual{.arrival = kUsualDelay, .answer = kUsualDelay};
  instance.EmptyEndpoint();
  instance.Delay(report, usual);
  instance.RunUntilSent(report);
  instance.Run(milliseconds(20));
  instance.Endpoint().LosePower(milliseconds(5));
  instance.Run(milliseconds(20));
  instance.Delay(report, {.arrival = kUsualDelay, .answer_lost = true});
  instance.Delay(write, {.arrival = milliseconds(1900), .answer = kUsualDelay});
  instance.Delay({.kind = kOrder, .version = 3},
                 {.arrival = milliseconds(900), .answer = kUsualDelay});
  instance.Declare(2);
  instance.RunUntilSent(report);
  instance.Delay(report, usual);
  instance.RunUntilSent(report);
  instance.Run(milliseconds(10));
  instance.Declare(3);
}

// The answer to the order of the process that ended says nothing of the order
// that the next one is to execute.
void AnswerOfEarlierOrder(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.EmptyEndpoint();
  instance.Delay(order, {.arrival = kUsualDelay, .answer = milliseconds(900)});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.Run(milliseconds(20));
  instance.Delay(order, {.arrival = milliseconds(900), .answer = kUsualDelay});
  instance.Delay({.kind = kOrder, .version = 3},
                 {.arrival = milliseconds(600), .answer = kUsualDelay});
  instance.Endpoint().LosePower(kShortOutage);
  instance.RunUntilSent(order);
  instance.Run(milliseconds(650));
  instance.Declare(3);
}

// A report without the start time is no restart: the order is still on its way.
void ReportsLackStartTimeDuringOrder(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.Delay(order, {.arrival = milliseconds(700), .answer = kUsualDelay});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.Endpoint().SetStartTimeReported(false);
  instance.Run(milliseconds(300));
  instance.Declare(3);
}

// No report tells of the restart.
void PowerLostWithoutStartTimes(SlowInstance& instance) {
  instance.Endpoint().SetStartTimeReported(false);
  instance.Run(milliseconds(1500));
  LosePowerBeforeOrder(instance);
}

// The endpoint executes the order when it resumes, after its time limit.
void SuspendDuringOrder(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.Delay(order, {.arrival = milliseconds(20), .answer = kUsualDelay});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.Endpoint().Suspend(milliseconds(4000));
  instance.Run(milliseconds(500));
  instance.Declare(3);
}

// The write of a piece takes effect when the endpoint resumes.
void SuspendDuringWrite(SlowInstance& instance) {
  const Access write{.kind = kWrite, .version = 2, .index = 0};
  instance.Delay(write, {.arrival = milliseconds(20), .answer = kUsualDelay});
  instance.EmptyEndpoint();
  instance.Declare(2);
  instance.RunUntilSent(write);
  instance.Endpoint().Suspend(milliseconds(4000));
  instance.Run(milliseconds(3500));
  instance.Declare(3);
}

// The order of the former stager takes effect when the endpoint resumes.
void SuspendDuringOrderOfFormerStager(SlowInstance& instance) {
  const Access order{.kind = kOrder, .version = 2};
  instance.Delay(order, {.arrival = milliseconds(20), .answer = kUsualDelay});
  instance.Declare(2);
  instance.RunUntilSent(order);
  instance.Endpoint().Suspend(milliseconds(4000));
  instance.RestartStager(3);
}

// An endpoint with many calls accepts no more connections. The version has to
// be loaded all the same.
void RefuseNewConnections(SlowInstance& instance) {
  instance.Endpoint().RefuseNewConnections();
  instance.Declare(2);
}

class AsyncOrderTest : public testing::TestWithParam<Sequence> {};

// Guards against an endpoint that answers with weights of two versions or with
// missing pieces after one of these sequences.
TEST_P(AsyncOrderTest, EndpointLoadsOnlyWholeVersions) {
  SlowInstance instance;
  GetParam().run(instance);
  EXPECT_TRUE(instance.CatchUp()) << instance.Explain();
  EXPECT_FALSE(instance.Endpoint().Loads().empty());
  for (const EndpointLoad& load : instance.Endpoint().Loads()) {
    EXPECT_TRUE(load.IsAllowed()) << load.description;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Sequences,
    AsyncOrderTest,
    testing::ValuesIn(std::vector<Sequence>{
        {"NewVersionDuringOrder", DeclareDuringOrder},
        {"NewVersionDuringWrite", DeclareDuringWrite},
        {"PowerLostDuringVerification", LosePowerDuringVerification},
        {"PowerLostBeforeOrder", LosePowerBeforeOrder},
        {"NewVersionAfterOrderWithoutResponse",
         DeclareAfterOrderWithoutResponse},
        {"NewVersionAfterFailedWrite", DeclareAfterFailedWrite},
        {"CrashBeforeWriteThenNewVersion", CrashBeforeWrite},
        {"StagerRestartsDuringOrder", RestartStagerDuringOrder},
        {"StagerRestartsDuringWrite", RestartStagerDuringWrite},
        {"WriteToNextProcessBeforeItIsKnown",
         WriteToNextProcessBeforeItIsKnown},
        {"AnswerOfEarlierOrder", AnswerOfEarlierOrder},
        {"ReportsLackStartTimeDuringOrder", ReportsLackStartTimeDuringOrder},
        {"PowerLostWithoutStartTimes", PowerLostWithoutStartTimes},
        {"SuspendedDuringOrder", SuspendDuringOrder},
        {"SuspendedDuringWrite", SuspendDuringWrite},
        {"SuspendedDuringOrderOfFormerStager",
         SuspendDuringOrderOfFormerStager},
        {"NewConnectionsRefused", RefuseNewConnections},
    }),
    [](const auto& sequence) { return sequence.param.name; });

}  // namespace
}  // namespace radishrudder::staging
