// What an entry states of itself for metrics.
#include "radishrudder/direct/entry_gauges.h"

#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

class EntryGaugesTest : public EntryFixture {
 protected:
  EntryGaugesTest()
      : EntryFixture({.name = "entry-1",
                      .data_centre = "a",
                      .region = "north",
                      .regions = {{"a", "north"}, {"b", "north"}}}) {}

  void Configure(const ServiceRule& service, RouteKind kind) {
    Configuration configuration = MakeConfiguration(1, Route(kind, false));
    RouteRule other = Route(kind, false);
    other.name = "other";
    other.prefix = "/b/";
    other.priority = 2;
    configuration.routes.push_back(other);
    configuration.services = {service};
    m_entry.OnConfiguration(m_now, std::move(configuration));
    m_entry.OnConfigurationConfirmed(m_boot);
  }

  void List(std::size_t count) {
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 1; i <= count; ++i) {
      ListedEndpoint endpoint = MakeEndpoint(std::to_string(i));
      endpoint.model = "m";
      endpoint.model_version = 1;
      listed.push_back(endpoint);
    }
    m_entry.OnEndpoints(m_now, std::move(listed));
  }

  // Calls wait only if places are known to come free soon.
  void ServeCalls() {
    for (int i = 0; i < 40; ++i) {
      const CallId call = Call();
      m_entry.OnSending(m_now, call);
      m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
      m_entry.OnResponseEnd(m_now, call);
      AdvanceTime(milliseconds(50));
    }
  }

  ServiceGauges OfService() const {
    const EntryGauges gauges = m_entry.Gauges();
    return gauges.services.empty() ? ServiceGauges{} : gauges.services[0];
  }
};

// Guards against cold endpoints that are counted no more or for ever.
TEST_F(EntryGaugesTest, CountsColdEndpointsWhileTheyAreCold) {
  Configure({.name = "service",
             .cold_start = std::chrono::seconds(10),
             .cold_requests_per_second = 4},
            RouteKind::kIdempotent);
  List(3);
  EXPECT_EQ(OfService().service, "service");
  EXPECT_EQ(OfService().cold_endpoints, 3U);
  AdvanceTime(std::chrono::seconds(10));
  EXPECT_EQ(OfService().cold_endpoints, 0U);
}

// Guards against names in the store that are no data centres and count as one.
TEST_F(EntryGaugesTest, CountsEvacuatedDataCentresOfTheSettings) {
  EXPECT_EQ(m_entry.Gauges().evacuated_data_centres, 0U);
  m_entry.OnEvacuated(m_now, {"a", 1});
  m_entry.OnEvacuated(m_now, {"z", 2});
  EXPECT_EQ(m_entry.Gauges().evacuated_data_centres, 1U);
  m_entry.OnEvacuationTakenBack(m_now, {"a", 3});
  EXPECT_EQ(m_entry.Gauges().evacuated_data_centres, 0U);
}

// Guards against calls that wait unseen, or that count after they have ended.
TEST_F(EntryGaugesTest, CountsCallsWhileTheyWait) {
  Configure({.name = "service", .engine = EngineRule{.slots = 4, .model = "m"}},
            RouteKind::kIdempotent);
  List(1);
  ServeCalls();
  for (int i = 0; i < 4; ++i) {
    m_entry.OnSending(m_now, Call());
    EXPECT_EQ(OfService().waiting_calls, 0U);
  }
  const CallId last = Call();
  EXPECT_EQ(OfService().waiting_calls, 1U);
  m_entry.OnCallerDisconnected(m_now, last);
  EXPECT_EQ(OfService().waiting_calls, 0U);
}

// Guards against errors that are not those of the entry's estimates.
TEST_F(EntryGaugesTest, StatesTheErrorOfEstimatesAfterAnAnswer) {
  Configure(
      {.name = "service",
       .engine = EngineRule{.slots = 4, .tokens_per_event = 5, .model = "m"}},
      RouteKind::kStream);
  List(1);
  EXPECT_EQ(m_entry.Gauges().median_cost_error, 0);
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call,
                         "id: 1\ndata: x\n\nid: 2\nevent: done\ndata: y\n\n");
  m_entry.OnResponseEnd(m_now, call);
  EXPECT_GT(m_entry.Gauges().median_cost_error, 0);
  EXPECT_GE(m_entry.Gauges().high_cost_error,
            m_entry.Gauges().median_cost_error);
}

}  // namespace
}  // namespace radishrudder::direct
