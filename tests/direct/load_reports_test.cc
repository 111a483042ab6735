#include <algorithm>
#include <set>

#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

constexpr std::uint64_t kRun = 1;

class LoadReportsTest : public EntryFixture {
 protected:
  // `priorities`: of the routes to the service.
  void Configure(const std::vector<std::uint32_t>& priorities, bool engine) {
    Configuration configuration =
        MakeConfiguration(1, Route(RouteKind::kIdempotent, false));
    configuration.routes.clear();
    for (const std::uint32_t priority : priorities) {
      RouteRule route = Route(RouteKind::kIdempotent, false);
      route.name = "route-" + std::to_string(priority);
      route.prefix = configuration.routes.empty()
                         ? "/a/"
                         : "/" + std::to_string(priority) + "/";
      route.priority = priority;
      configuration.routes.push_back(route);
    }
    if (engine) {
      configuration.services[0].engine = EngineRule{.slots = 4, .model = "m"};
    }
    m_entry.OnConfiguration(m_now, std::move(configuration));
    m_entry.OnConfigurationConfirmed(m_boot);
  }

  void List(std::size_t count) {
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 1; i <= count; ++i) {
      ListedEndpoint endpoint = MakeEndpoint(std::to_string(i));
      endpoint.model = "m";
      endpoint.model_version = 1;
      endpoint.started = kRun;
      listed.push_back(endpoint);
    }
    m_entry.OnEndpoints(m_now, std::move(listed));
  }

  void Report(const std::string& endpoint,
              bool takes_no_new_calls,
              std::uint32_t running = 0,
              std::uint64_t run = kRun) {
    const EndpointLoadReport report{.service = "service",
                                    .endpoint = endpoint,
                                    .started = run,
                                    .running = running,
                                    .takes_no_new_calls = takes_no_new_calls,
                                    .measured_at = m_now};
    m_entry.OnLoadReports(m_now, {&report, 1});
  }

  // Endpoints that a number of calls go to; "" for a call that is refused.
  std::set<std::string> Chosen() {
    std::set<std::string> chosen;
    for (int i = 0; i < 40; ++i) {
      const CallId call = Call();
      const auto attempts = TakeOutputsOf<SendAttempt>();
      chosen.insert(attempts.empty() ? "" : attempts[0].endpoint_id);
      TakeOutputsOf<SendResponse>();
      m_entry.OnCallerDisconnected(m_now, call);
    }
    return chosen;
  }
};

TEST_F(LoadReportsTest, WantsReportsWhereRoutesDifferInPriority) {
  Configure({0, 2}, /*engine=*/true);
  List(2);
  const auto wanted = m_entry.ReportingEndpoints();
  ASSERT_EQ(wanted.size(), 2U);
  EXPECT_EQ(wanted[0].service, "service");
  EXPECT_EQ(wanted[0].id, "1");
  EXPECT_EQ(wanted[0].address, "10.0.0.1:1");
  EXPECT_EQ(wanted[0].started, kRun);
}

// Guards against datagrams in deployments that don't ask for reports.
TEST_F(LoadReportsTest, WantsNoReportsWithOnePriorityAndNoPace) {
  Configure({2}, /*engine=*/true);
  List(2);
  EXPECT_TRUE(m_entry.ReportingEndpoints().empty());
}

TEST_F(LoadReportsTest, WantsNoReportsOfServicesWithoutEngine) {
  Configure({0, 2}, /*engine=*/false);
  List(2);
  EXPECT_TRUE(m_entry.ReportingEndpoints().empty());
}

TEST_F(LoadReportsTest, WantsReportsOnceAnEndpointStatesItsPace) {
  Configure({2}, /*engine=*/true);
  List(2);
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  EndpointResponse response = SignedResponse(call, 200);
  response.load = routing::LoadReport{.running = 1, .capacity = 4, .pace = 1.5};
  m_entry.OnResponseHead(m_now, call, response);
  EXPECT_EQ(m_entry.ReportingEndpoints().size(), 2U);
}

// Guards against entries that displace each other at agents, which keep 64
// subscribers: at the design size, 400 entries would subscribe to all of 940.
TEST_F(LoadReportsTest, WantsReportsOfTheEndpointsThatTheRouterConsiders) {
  Configure({0, 2}, /*engine=*/true);
  List(940);
  EXPECT_EQ(m_entry.ReportingEndpoints().size(), 64U);
}

// Guards against an exclusion that ends because the entry no longer subscribes,
// while the endpoint still takes no calls.
TEST_F(LoadReportsTest, WantsReportsOfAnEndpointWhileItTakesNoCalls) {
  Configure({0, 2}, /*engine=*/true);
  List(940);
  const std::string endpoint = m_entry.ReportingEndpoints().front().id;
  Report(endpoint, /*takes_no_new_calls=*/true);
  const auto wanted = m_entry.ReportingEndpoints();
  EXPECT_TRUE(std::ranges::any_of(wanted, [&endpoint](const auto& reported) {
    return reported.id == endpoint;
  }));
  EXPECT_EQ(wanted.size(), 65U);
}

// Guards against an entry that hears of a new version from the list alone,
// because endpoints with an older one are not routed to.
TEST_F(LoadReportsTest, WantsReportsOfEndpointsWithAnOlderVersion) {
  Configure({0, 2}, /*engine=*/true);
  List(2);
  m_entry.OnVersionDeclared(m_now,
                            {.model = "m", .version = 2, .absent_at = m_now});
  AdvanceTime(std::chrono::seconds(10));
  m_entry.OnConfigurationConfirmed(m_boot);
  EXPECT_EQ(Chosen(), std::set<std::string>{""});
  EXPECT_EQ(m_entry.ReportingEndpoints().size(), 2U);
}

TEST_F(LoadReportsTest, CallsAvoidAnEndpointThatReportsMoreLoad) {
  Configure({0, 2}, true);
  List(2);
  Report("1", false, 4);
  Report("2", false, 0);
  EXPECT_EQ(Chosen(), std::set<std::string>{"2"});
}

// Guards against calls that wait behind a load of weights, and against an
// endpoint that stays excluded after it.
TEST_F(LoadReportsTest, NoCallGoesToAnEndpointThatTakesNone) {
  Configure({0, 2}, true);
  List(2);
  Report("1", true);
  EXPECT_EQ(Chosen(), std::set<std::string>{"2"});
  Report("1", false);
  EXPECT_TRUE(Chosen().contains("1"));
}

TEST_F(LoadReportsTest, RefusesCallsIfNoEndpointTakesAny) {
  Configure({0, 2}, true);
  List(2);
  Report("1", true);
  Report("2", true);
  EXPECT_EQ(Chosen(), std::set<std::string>{""});
}

// Guards against an endpoint that is lost for good because its agent ended.
TEST_F(LoadReportsTest, AnExclusionEndsWhenReportsStop) {
  Configure({0, 2}, true);
  List(2);
  Report("1", true);
  AdvanceTime(milliseconds(600));
  Report("1", true);
  AdvanceTime(milliseconds(999));
  EXPECT_FALSE(Chosen().contains("1"));
  AdvanceTime(milliseconds(1));
  EXPECT_TRUE(Chosen().contains("1"));
}

// Guards against the state of one run that is applied to the next.
TEST_F(LoadReportsTest, IgnoresReportsOfOtherRunsAndUnknownEndpoints) {
  Configure({0, 2}, true);
  List(1);
  Report("1", true, 4, kRun + 1);
  Report("9", true);
  EXPECT_EQ(Chosen(), std::set<std::string>{"1"});
}

}  // namespace
}  // namespace radishrudder::direct
