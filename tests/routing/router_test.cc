#include "radishrudder/routing/router.h"

#include <set>

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

constexpr int kChoices = 400;

class RouterTest : public testing::Test {
 protected:
  RouterTest() : m_router({.entry = "entry"}, kernel::Random(3)) {}

  Route Choose(std::int64_t now_ms, const RouteRequest& request = {}) {
    return m_router.Choose(At(now_ms), request);
  }

  // Returns the endpoints chosen in `kChoices` choices; no call is sent.
  std::set<std::string> ChooseRepeatedly(std::int64_t now_ms,
                                         const RouteRequest& request = {}) {
    std::set<std::string> chosen;
    for (int i = 0; i < kChoices; ++i) {
      chosen.insert(Choose(now_ms, request).instance);
    }
    return chosen;
  }

  void Fail(std::int64_t now_ms, std::string_view instance, int times) {
    const EndpointRun run{instance, 1};
    for (int i = 0; i < times; ++i) {
      m_router.OnSent(At(now_ms), run, {});
      m_router.OnFailed(At(now_ms), run);
    }
  }

  void Refuse(std::int64_t now_ms, std::string_view instance, Refusal refusal) {
    const EndpointRun run{instance, 1};
    m_router.OnSent(At(now_ms), run, {});
    m_router.OnRefused(At(now_ms), run, refusal,
                       std::chrono::milliseconds(500));
  }

  Router m_router;
};

using InstanceNames = std::set<std::string>;

TEST_F(RouterTest, ReportsNoEndpoints) {
  EXPECT_EQ(Choose(0).reason, NoRoute::kNoEndpoints);
}

TEST_F(RouterTest, ExcludesLeavingEndpoints) {
  std::vector<Endpoint> endpoints = Endpoints(3);
  endpoints[1].leaving = true;
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(ChooseRepeatedly(0), (InstanceNames{"runner-0", "runner-2"}));
}

TEST_F(RouterTest, ChoosesOnlyEndpointsThatRunTheDigest) {
  std::vector<Endpoint> endpoints = Endpoints(3);
  endpoints[2].running_digest = "sha256:new";
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(ChooseRepeatedly(0, {.manifest_digest = "sha256:new"}),
            InstanceNames{"runner-2"});
  EXPECT_EQ(Choose(0, {.manifest_digest = "sha256:none"}).reason,
            NoRoute::kVersionMismatch);
}

TEST_F(RouterTest, ChoosesSuspectedEndpointsOnlyWithoutAlternative) {
  std::vector<Endpoint> endpoints = Endpoints(2);
  endpoints[0].suspected = true;
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(ChooseRepeatedly(0), InstanceNames{"runner-1"});
  const std::vector<std::string> excluded = {"runner-1"};
  EXPECT_EQ(ChooseRepeatedly(0, {.excluded = excluded}),
            InstanceNames{"runner-0"});
}

TEST_F(RouterTest, ReportsThatAllEndpointsAreExcluded) {
  m_router.OnEndpoints(At(0), Endpoints(1));
  const std::vector<std::string> excluded = {"runner-0"};
  EXPECT_EQ(Choose(0, {.excluded = excluded}).reason, NoRoute::kAllExcluded);
}

TEST_F(RouterTest, ChoosesEjectedEndpointsOnlyWithoutAlternative) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  Fail(0, "runner-0", 3);
  EXPECT_EQ(ChooseRepeatedly(1), InstanceNames{"runner-1"});
  const std::vector<std::string> excluded = {"runner-1"};
  EXPECT_EQ(ChooseRepeatedly(1, {.excluded = excluded}),
            InstanceNames{"runner-0"});
}

TEST_F(RouterTest, FailureRateCountsAsLoad) {
  std::vector<Endpoint> endpoints = Endpoints(2);
  endpoints[0].load.running = 1;
  endpoints[1].load.running = 2;
  m_router.OnEndpoints(At(0), endpoints);
  Fail(0, "runner-0", 2);
  EXPECT_EQ(ChooseRepeatedly(0), InstanceNames{"runner-1"});
}

TEST_F(RouterTest, ExcludesAnOverloadedEndpointForTheRetryTime) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  Refuse(0, "runner-0", Refusal::kOverloaded);
  EXPECT_EQ(ChooseRepeatedly(400), InstanceNames{"runner-1"});
  EXPECT_EQ(ChooseRepeatedly(600), (InstanceNames{"runner-0", "runner-1"}));
}

TEST_F(RouterTest, ReportsTheEarliestRetryTimeIfAllRefuse) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  Refuse(0, "runner-0", Refusal::kOverloaded);
  Refuse(100, "runner-1", Refusal::kOverloaded);
  const Route route = Choose(200);
  EXPECT_EQ(route.reason, NoRoute::kRefusing);
  EXPECT_EQ(route.retry_after, std::chrono::milliseconds(300));
}

struct RefusalOrder {
  const char* name;
  Refusal first;
  Refusal second;
};

class LaterRefusalTest : public RouterTest,
                         public testing::WithParamInterface<RefusalOrder> {};

// Guards against an endpoint that is leaving getting calls again because it
// then refuses a call that was on its way for another reason, with less time.
TEST_P(LaterRefusalTest, DoesNotShortenTheTimeWithoutCalls) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  Refuse(0, "runner-0", GetParam().first);
  Refuse(20, "runner-0", GetParam().second);
  EXPECT_EQ(ChooseRepeatedly(2'000), (InstanceNames{"runner-1"}));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LaterRefusalTest,
    testing::Values(RefusalOrder{"OverloadedAfterLeaving", Refusal::kLeaving,
                                 Refusal::kOverloaded},
                    RefusalOrder{"NotReadyAfterLeaving", Refusal::kLeaving,
                                 Refusal::kNotReady},
                    RefusalOrder{"LeavingAfterOverloaded", Refusal::kOverloaded,
                                 Refusal::kLeaving}),
    [](const auto& test) { return std::string(test.param.name); });

TEST_F(RouterTest, ExcludesAnEndpointThatRefusedAsLeaving) {
  m_router.OnEndpoints(At(0), Endpoints(1));
  Refuse(0, "runner-0", Refusal::kLeaving);
  m_router.OnEndpoints(At(1'000), Endpoints(1));
  EXPECT_EQ(Choose(2'000).reason, NoRoute::kNoEndpoints);
}

TEST_F(RouterTest, NewRunOfAnEndpointResetsItsState) {
  std::vector<Endpoint> endpoints = Endpoints(1);
  m_router.OnEndpoints(At(0), endpoints);
  Refuse(0, "runner-0", Refusal::kLeaving);
  endpoints[0].incarnation = 2;
  m_router.OnEndpoints(At(10), endpoints);
  EXPECT_EQ(Choose(10).instance, "runner-0");
}

TEST_F(RouterTest, IgnoresFailuresOfAReplacedRun) {
  std::vector<Endpoint> endpoints = Endpoints(2);
  m_router.OnEndpoints(At(0), endpoints);
  for (int i = 0; i < 4; ++i) {
    m_router.OnSent(At(0), {"runner-0", 1}, {});
  }
  endpoints[0].incarnation = 2;
  m_router.OnEndpoints(At(10), endpoints);
  for (int i = 0; i < 4; ++i) {
    m_router.OnFailed(At(20), {"runner-0", 1});
  }
  const Route route =
      Choose(20, {.excluded = std::vector<std::string>{"runner-1"}});
  EXPECT_EQ(route.instance, "runner-0");
  EXPECT_EQ(route.incarnation, 2U);
  EXPECT_EQ(ChooseRepeatedly(20), (InstanceNames{"runner-0", "runner-1"}));
}

TEST_F(RouterTest, ExcludesEndpointsWithoutFreeCapacityOnRequest) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  for (int i = 0; i < 8; ++i) {
    m_router.OnSent(At(0), {"runner-0", 1}, {});
  }
  EXPECT_EQ(ChooseRepeatedly(0, {.require_free_capacity = true}),
            InstanceNames{"runner-1"});
  for (int i = 0; i < 8; ++i) {
    m_router.OnSent(At(0), {"runner-1", 1}, {});
  }
  EXPECT_EQ(Choose(0, {.require_free_capacity = true}).reason,
            NoRoute::kNoFreeCapacity);
  EXPECT_EQ(Choose(0).reason, NoRoute::kNone);
}

TEST_F(RouterTest, CapacityExcludesSuspectedEndpoints) {
  std::vector<Endpoint> endpoints = Endpoints(3);
  endpoints[0].suspected = true;
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(m_router.Capacity(), 16);
}

TEST_F(RouterTest, CountsLocalCallsInFlightBeforeAnyReport) {
  m_router.OnEndpoints(At(0), Endpoints(2));
  m_router.OnSent(At(0), {"runner-0", 1}, {});
  EXPECT_EQ(ChooseRepeatedly(0), InstanceNames{"runner-1"});
  m_router.OnAbandoned(At(0), {"runner-0", 1});
  EXPECT_EQ(ChooseRepeatedly(0), (InstanceNames{"runner-0", "runner-1"}));
}

TEST_F(RouterTest, SpillsOverOnlyWhenTheNearestDataCentreIsLoaded) {
  std::vector<Endpoint> endpoints = Endpoints(2);
  const std::vector<Endpoint> remote = Endpoints(2, "far", 0.005);
  endpoints.insert(endpoints.end(), remote.begin(), remote.end());
  m_router.OnEndpoints(At(0), endpoints);
  EXPECT_EQ(ChooseRepeatedly(0), (InstanceNames{"runner-0", "runner-1"}));
  for (int i = 0; i < 16; ++i) {
    m_router.OnSent(At(0), {endpoints[i % 2].instance, 1}, {});
  }
  EXPECT_EQ(ChooseRepeatedly(0), (InstanceNames{"far-runner-0", "far-runner-1",
                                                "runner-0", "runner-1"}));
}

TEST_F(RouterTest, TracksAnEndpointOutsideTheSubsetUntilItsCallsEnd) {
  std::vector<Endpoint> endpoints = Endpoints(2);
  m_router.OnEndpoints(At(0), endpoints);
  m_router.OnSent(At(0), {"runner-1", 1}, {});
  endpoints.pop_back();
  m_router.OnEndpoints(At(1), endpoints);
  EXPECT_EQ(m_router.TrackedEndpointCount(), 2U);
  EXPECT_EQ(ChooseRepeatedly(1), InstanceNames{"runner-0"});
  m_router.OnAnswered(At(2), {"runner-1", 1}, {});
  EXPECT_EQ(m_router.TrackedEndpointCount(), 1U);
}

TEST_F(RouterTest, RoutesToAnEndpointThatStoredThePrefix) {
  ASSERT_TRUE(m_router.SetPolicy("prefix-affinity"));
  m_router.OnEndpoints(At(0), Endpoints(8));
  const CacheEvent event{CacheChange::kStored, 7};
  m_router.OnCacheEvents(At(0), "runner-5",
                         {.first_sequence = 1, .events = {&event, 1}});
  EXPECT_EQ(ChooseRepeatedly(0, {.call = {.prefix_hash = 7}}),
            InstanceNames{"runner-5"});
}

TEST_F(RouterTest, KeepsThePolicyWhenTheNewOneIsUnknown) {
  EXPECT_FALSE(m_router.SetPolicy("fastest"));
  EXPECT_NE(m_router.Explain(At(0)).find("policy least-loaded-of-two"),
            std::string::npos);
}

TEST_F(RouterTest, DescribesEachEndpoint) {
  std::vector<Endpoint> endpoints = Endpoints(4);
  endpoints[0].running_digest = "sha256:one";
  endpoints[1].suspected = true;
  m_router.OnEndpoints(At(0), endpoints);
  Fail(0, "runner-2", 3);
  Refuse(0, "runner-3", Refusal::kOverloaded);
  const std::string text = m_router.Explain(At(0));
  for (const char* expected :
       {"4 of 4 endpoints", "runner-0 in near: used, runs sha256:one",
        "runner-1 in near: used only if no other is left, suspected",
        "runner-2 in near: ejected for",
        "runner-3 in near: not used for 0.5 s, refused as overloaded"}) {
    EXPECT_NE(text.find(expected), std::string::npos) << expected << "\n"
                                                      << text;
  }
}

class HerdingTest : public testing::TestWithParam<const char*> {};

TEST_P(HerdingTest, EntriesSharingAStaleReportDoNotAllChooseTheIdleEndpoint) {
  constexpr std::uint64_t kEntries = 16;
  constexpr int kCallsPerEntry = 4;
  std::vector<Endpoint> endpoints = Endpoints(8);
  for (Endpoint& endpoint : endpoints) {
    endpoint.load.running = 6;
  }
  endpoints[0].load.running = 0;
  int calls_to_idle = 0;
  for (std::uint64_t entry = 0; entry < kEntries; ++entry) {
    Router router(
        {.entry = "entry-" + std::to_string(entry), .policy = GetParam()},
        kernel::Random(entry));
    router.OnEndpoints(At(0), endpoints);
    for (int i = 0; i < kCallsPerEntry; ++i) {
      const Route route = router.Choose(At(i), {});
      router.OnSent(At(i), {route.instance, route.incarnation}, {});
      calls_to_idle += route.instance == "runner-0" ? 1 : 0;
    }
  }
  EXPECT_GT(calls_to_idle, 0);
  EXPECT_LT(calls_to_idle, static_cast<int>(kEntries) * kCallsPerEntry / 2);
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         HerdingTest,
                         testing::Values("least-loaded-of-two",
                                         "least-expected-latency",
                                         "prefix-affinity"));

}  // namespace
}  // namespace radishrudder::routing
