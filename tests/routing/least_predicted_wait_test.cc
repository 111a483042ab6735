#include <set>
#include <string>

#include <gtest/gtest.h>

#include "radishrudder/routing/built_in_policies.h"
#include "radishrudder/routing/policy.h"
#include "radishrudder/routing/router.h"
#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

constexpr char kPolicy[] = "least-predicted-wait";
constexpr int kDraws = 4'000;
constexpr double kFarSeconds = 0.004;

Candidate Predicted(double first_event_s,
                    double distance_seconds = 0,
                    double pause_s = 0,
                    double end_s = 0) {
  Candidate candidate;
  candidate.distance_seconds = distance_seconds;
  candidate.prediction = {first_event_s, pause_s, end_s};
  return candidate;
}

std::vector<int> CountChoices(const CallView& call,
                              std::span<const Candidate> candidates) {
  RegisterBuiltInPolicies();
  const std::unique_ptr<Policy> policy =
      PolicyRegistry::Instance().Find(kPolicy)();
  kernel::Random random(11);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < kDraws; ++i) {
    ++counts[policy->Choose(call, candidates, random)];
  }
  return counts;
}

// Guards against a cost that leaves out one of its parts. The second candidate
// is always chosen.
struct CostCase {
  const char* name;
  CallView call;
  Candidate worse;
  Candidate better;
};

class CostTest : public testing::TestWithParam<CostCase> {};

TEST_P(CostTest, ChoosesTheLowerCost) {
  const CostCase& test = GetParam();
  const std::vector<Candidate> candidates = {test.worse, test.better};
  EXPECT_EQ(CountChoices(test.call, candidates)[1], kDraws);
}

Candidate BesideVeryLarge(double first_event_s) {
  Candidate candidate = Predicted(first_event_s);
  candidate.beside_very_large_call = true;
  return candidate;
}

INSTANTIATE_TEST_SUITE_P(
    Parts,
    CostTest,
    testing::Values(
        CostCase{"FirstEvent", {}, Predicted(0.2), Predicted(0.1)},
        CostCase{"Deadline",
                 {.seconds_to_deadline = 6},
                 Predicted(0.1, 0, 0, 7),
                 Predicted(0.2, 0, 0, 6)},
        CostCase{"Pause",
                 {.pause_target_seconds = 0.1},
                 Predicted(0.1, 0, 0.4),
                 Predicted(0.2, 0, 0.1)},
        CostCase{"VeryLargeCalls", {}, BesideVeryLarge(0.10), Predicted(0.12)},
        CostCase{"FartherButSoonerByMoreThan10Ms",
                 {},
                 Predicted(0.120),
                 Predicted(0.100, kFarSeconds)}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(LeastPredictedWaitTest, StaysNearForAGainOfLessThan10Ms) {
  const std::vector<Candidate> candidates = {Predicted(0.115),
                                             Predicted(0.100, kFarSeconds)};
  EXPECT_EQ(CountChoices({}, candidates)[0], kDraws);
}

// Guards against herding to the endpoint that is best in a stale report.
TEST(LeastPredictedWaitTest, BestCandidateGetsLessThanHalfOfTheCalls) {
  std::vector<Candidate> candidates(16, Predicted(0.2));
  candidates[7] = Predicted(0.1);
  EXPECT_LT(CountChoices({}, candidates)[7], kDraws / 2);
  EXPECT_GT(CountChoices({}, candidates)[7], kDraws / 16);
}

EngineFigures Engine() {
  return {.slots = 8,
          .step_ms = 8.87,
          .step_ms_per_call = 0.0388,
          .prompt_tokens_per_s = 19'100,
          .prompt_tokens_per_step = 2'048,
          .tokens_per_event = 5,
          .mean_prompt_tokens = 979,
          .mean_answer_tokens = 92};
}

class PredictingRouterTest : public testing::Test {
 protected:
  PredictingRouterTest()
      : m_router({.entry = "entry", .policy = kPolicy}, kernel::Random(3)) {
    m_router.SetEngine(Engine());
  }

  // Returns the endpoints chosen in many choices; no call is sent.
  std::set<std::string> Chosen(const CallView& call, std::int64_t now_ms = 0) {
    std::set<std::string> chosen;
    for (int i = 0; i < 400; ++i) {
      chosen.insert(m_router.Choose(At(now_ms), {.call = call}).instance);
    }
    return chosen;
  }

  Router m_router;
  CallCost m_cost{1'000, 50, 80};
};

using InstanceNames = std::set<std::string>;

TEST_F(PredictingRouterTest, AvoidsTheSlowEndpoint) {
  std::vector<Endpoint> endpoints = Endpoints(2);
  endpoints[0].load.pace = 2.5;
  endpoints[0].load.measured_at = At(0);
  endpoints[1].load.pace = 1;
  endpoints[1].load.measured_at = At(0);
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(Chosen({.cost = &m_cost}), InstanceNames{"runner-1"});
}

TEST_F(PredictingRouterTest, AvoidsTheEndpointThatStillReadsAnOwnPrompt) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  const CallCost large{20'000, 50, 80};
  const EndpointRun reading{"runner-0", 1, 7};
  const EndpointRun generating{"runner-1", 1, 8};
  m_router.OnSent(At(0), reading, {.cost = &large});
  m_router.OnSent(At(0), generating, {.cost = &large});
  EXPECT_EQ(Chosen({.cost = &m_cost}).size(), 2U);
  m_router.OnProgress(generating, 1);
  EXPECT_EQ(Chosen({.cost = &m_cost}), InstanceNames{"runner-1"});
  m_router.OnAnswered(At(0), reading, {});
  EXPECT_EQ(Chosen({.cost = &m_cost}), InstanceNames{"runner-0"});
}

// Guards against two calls that each take a large part of a batch in one.
TEST_F(PredictingRouterTest, AvoidsASecondVeryLargeCallInOneBatch) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  const CallCost large{500, 9'000, 9'000};
  const EndpointRun occupied{"runner-0", 1, 7};
  const EndpointRun other{"runner-1", 1, 8};
  m_router.OnSent(At(0), occupied, {.cost = &large});
  m_router.OnProgress(occupied, 1);
  m_router.OnSent(At(0), other, {.cost = &m_cost});
  m_router.OnProgress(other, 1);
  EXPECT_EQ(Chosen({.cost = &large}), InstanceNames{"runner-1"});
  EXPECT_EQ(Chosen({.cost = &m_cost}).size(), 2U);
}

TEST_F(PredictingRouterTest, UsesFartherDataCentresOnlyIfSooner) {
  std::vector<Endpoint> endpoints = Endpoints(3);
  for (const Endpoint& far : Endpoints(3, "far", kFarSeconds)) {
    endpoints.push_back(far);
  }
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(Chosen({.cost = &m_cost}),
            (InstanceNames{"runner-0", "runner-1", "runner-2"}));
  for (std::size_t i = 0; i < 3; ++i) {
    endpoints[i].load.running = 8;
    endpoints[i].load.waiting = 4;
    endpoints[i].load.measured_at = At(0);
    m_router.OnEndpoint(At(0), endpoints[i]);
    endpoints[i + 3].load.measured_at = At(0);
    m_router.OnEndpoint(At(0), endpoints[i + 3]);
  }
  EXPECT_EQ(Chosen({.cost = &m_cost}),
            (InstanceNames{"far-runner-0", "far-runner-1", "far-runner-2"}));
}

// Guards against a change for deployments without engine figures or costs: the
// choices are those of least-loaded-of-two with the same random numbers.
struct UnpredictedCase {
  const char* name;
  bool has_engine;
  bool has_cost;
};

class UnpredictedTest : public testing::TestWithParam<UnpredictedCase> {};

TEST_P(UnpredictedTest, ChoosesLikeLeastLoadedOfTwo) {
  const CallCost cost{1'000, 50, 80};
  CallView call;
  call.cost = GetParam().has_cost ? &cost : nullptr;
  Router predicting({.entry = "entry", .policy = kPolicy}, kernel::Random(3));
  Router plain({.entry = "entry"}, kernel::Random(3));
  if (GetParam().has_engine) {
    predicting.SetEngine(Engine());
  }
  for (Router* router : {&predicting, &plain}) {
    router->OnEndpoints(At(0), Endpoints(6));
  }
  for (int i = 0; i < 200; ++i) {
    const Route route = plain.Choose(At(i), {.call = call});
    ASSERT_EQ(predicting.Choose(At(i), {.call = call}).instance,
              route.instance);
    const EndpointRun run{route.instance, 1, static_cast<CallId>(i + 1)};
    for (Router* router : {&predicting, &plain}) {
      router->OnSent(At(i), run, call);
      router->OnProgress(run, 1);
      if (i % 3 == 0) {
        router->OnAnswered(At(i), run, {});
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Settings,
    UnpredictedTest,
    testing::Values(UnpredictedCase{"Neither", false, false},
                    UnpredictedCase{"OnlyEngine", true, false},
                    UnpredictedCase{"OnlyCost", false, true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::routing
