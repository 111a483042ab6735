// Calls that must stay in the regions that their route and workspace allow.
#include "radishrudder/direct/allowed_regions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

using Names = std::vector<std::string>;

RegionsByDataCentre MakeRegions() {
  return {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}, {"n1", ""}};
}

class RegionsTest : public EntryFixture {
 protected:
  RegionsTest()
      : EntryFixture({.name = "entry-1",
                      .data_centre = "a1",
                      .region = "a",
                      .regions = MakeRegions()}) {}

  // Endpoints are named by their data centre and a number: "a1-3".
  static ListedEndpoint EndpointIn(const std::string& data_centre, int number) {
    ListedEndpoint endpoint =
        MakeEndpoint(data_centre + "-" + std::to_string(number));
    endpoint.data_centre = data_centre;
    return endpoint;
  }
  static std::string DataCentreOf(const std::string& endpoint) {
    return endpoint.substr(0, endpoint.find('-'));
  }

  // One endpoint in each data centre and two in b1; unlimited at first, so that
  // the retry budget fills.
  void StartRegions(RouteKind kind = RouteKind::kIdempotent) {
    m_route = Route(kind, kind == RouteKind::kStream);
    m_route.maximum_attempts = 4;
    Publish({}, {});
    m_entry.OnEndpoints(
        m_now, {EndpointIn("a1", 1), EndpointIn("a2", 1), EndpointIn("b1", 1),
                EndpointIn("b1", 2), EndpointIn("c1", 1), EndpointIn("x1", 1)});
    EarnRetries();
  }
  void Publish(const Names& route, const Names& workspace) {
    m_route.allowed_regions = route;
    Configuration configuration = MakeConfiguration(++m_version, m_route);
    configuration.workspaces[0].allowed_regions = workspace;
    m_entry.OnConfiguration(m_now, std::move(configuration));
    m_entry.OnConfigurationConfirmed(m_boot);
  }
  // Endpoint of the only attempt that was started since the last call; empty:
  // there is none.
  std::string Selected() {
    const auto sent = TakeOutputsOf<SendAttempt>();
    EXPECT_LE(sent.size(), 1U);
    return sent.empty() ? std::string() : sent.back().endpoint_id;
  }
  void ExpectRefused(Reason reason) {
    EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
    const auto replies = TakeOutputsOf<SendResponse>();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front().status, 503);
    EXPECT_TRUE(replies.front().retry_after);
    const auto records = TakeOutputsOf<CallRecord>();
    ASSERT_FALSE(records.empty());
    EXPECT_EQ(ToText(records.back().reason), ToText(reason));
    EXPECT_EQ(m_entry.CallsInProgress(), 0U);
  }

  RouteRule m_route;
  std::uint64_t m_version = 0;
};

TEST_F(RegionsTest, FirstAttemptsStayInTheAllowedRegion) {
  StartRegions();
  Publish({"b", "c"}, {"b"});
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    const CallId call = Call();
    used.insert(Selected());
    m_entry.OnSending(m_now, call);
    m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
    m_entry.OnResponseEnd(m_now, call);
  }
  EXPECT_EQ(used, (std::set<std::string>{"b1-1", "b1-2"}));
}

TEST_F(RegionsTest, RetriesAfterARefusalStayInTheAllowedRegion) {
  StartRegions();
  Publish({"b"}, {});
  const CallId call = Call();
  const std::string first = Selected();
  EXPECT_EQ(DataCentreOf(first), "b1");
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, NotExecutedResponse());
  const std::string second = Selected();
  EXPECT_EQ(DataCentreOf(second), "b1");
  EXPECT_NE(second, first);
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, NotExecutedResponse());
  // Both endpoints refuse calls for a time.
  ExpectRefused(Reason::kAllBusy);
}

TEST_F(RegionsTest, ResumedStreamStaysInTheAllowedRegion) {
  StartRegions(RouteKind::kStream);
  const CallId call = Call();
  Selected();
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call, "id: 1\ndata: a\n\n");
  Publish({}, {"c"});
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_EQ(Selected(), "c1-1");
}

TEST_F(RegionsTest, ResumedStreamIsAbortedIfItsRegionsHaveNoOtherEndpoint) {
  StartRegions(RouteKind::kStream);
  Publish({}, {"c"});
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call, "id: 1\ndata: a\n\n");
  EXPECT_EQ(Selected(), "c1-1");
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_EQ(Selected(), "");
  EXPECT_EQ(TakeOutputsOf<AbortResponse>().size(), 1U);
}

// Guards against a request being sent by the lists that were in force when the
// attempt began to wait for its connection.
TEST_F(RegionsTest, AttemptThatWaitsForAConnectionObeysNewLists) {
  StartRegions();
  Publish({"a"}, {});
  const CallId call = Call();
  EXPECT_EQ(DataCentreOf(Selected()).front(), 'a');
  Publish({"c"}, {});
  m_entry.OnSending(m_now, call);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(Selected(), "c1-1");
  m_entry.OnSending(m_now, call);
  EXPECT_TRUE(TakeOutputsOf<CancelAttempt>().empty());
}

TEST_F(RegionsTest, AttemptThatWaitsIsRefusedIfNoRegionIsLeft) {
  StartRegions();
  const CallId call = Call();
  Selected();
  Publish({"a"}, {"b"});
  m_entry.OnSending(m_now, call);
  ExpectRefused(Reason::kNoAllowedRegion);
}

// Guards against an attempt being sent to an endpoint whose place is unknown
// because it is no longer listed, or listed as another run elsewhere.
TEST_F(RegionsTest, AttemptThatWaitsForAVanishedEndpointObeysNewLists) {
  for (const bool listed_elsewhere : {false, true}) {
    SCOPED_TRACE(listed_elsewhere);
    StartRegions();
    Publish({"a"}, {});
    const CallId call = Call();
    const std::string first = Selected();
    std::vector<ListedEndpoint> rest{EndpointIn("c1", 1)};
    if (listed_elsewhere) {
      rest.push_back(MakeEndpoint(first));
      rest.back().data_centre = "c1";
      rest.back().started = 2;
    }
    m_entry.OnEndpoints(m_now, rest);
    Publish({"c"}, {});
    m_entry.OnSending(m_now, call);
    EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
    m_entry.OnCallerDisconnected(m_now, call);
    TakeOutputsOf<SendAttempt>();
    TakeOutputsOf<CancelAttempt>();
  }
}

// Guards against a call losing its limits because its workspace or its route is
// gone from the configuration, or can't be read, while it is in progress.
TEST_F(RegionsTest, CallKeepsTheLastListsOfWhatWasRemoved) {
  enum class Change { kRemoveWorkspace, kRemoveRoute, kMakeRouteUnreadable };
  for (const Change change : {Change::kRemoveWorkspace, Change::kRemoveRoute,
                              Change::kMakeRouteUnreadable}) {
    SCOPED_TRACE(static_cast<int>(change));
    StartRegions();
    Publish({"b", "c"}, {"a", "b"});
    const CallId call = Call();
    EXPECT_EQ(DataCentreOf(Selected()), "b1");
    Publish({"b", "c"}, {"a", "c"});
    Configuration next = MakeConfiguration(++m_version, m_route);
    if (change == Change::kRemoveWorkspace) {
      next.workspaces[0].name = "south";
    } else {
      next.routes[0].allowed_regions.clear();
      next.workspaces[0].allowed_regions = {"a", "c"};
      if (change == Change::kRemoveRoute) {
        next.routes[0].prefix = "/other/";
      } else {
        next.routes[0].readable = false;
      }
    }
    m_entry.OnConfiguration(m_now, std::move(next));
    m_entry.OnSending(m_now, call);
    EXPECT_EQ(Selected(), "c1-1");
    m_entry.OnCallerDisconnected(m_now, call);
  }
}

enum class Shortage { kFull, kPaused, kLeaving, kGone, kCutOff };

struct ShortageCase {
  const char* name;
  Shortage shortage;
  Reason reason;
};

class ShortageTest : public RegionsTest,
                     public testing::WithParamInterface<ShortageCase> {
 protected:
  void Apply(Shortage shortage) {
    std::vector<ListedEndpoint> rest{EndpointIn("a1", 1), EndpointIn("b1", 1)};
    if (shortage == Shortage::kGone) {
      m_entry.OnEndpoints(m_now, rest);
    } else if (shortage == Shortage::kLeaving) {
      rest.push_back(EndpointIn("c1", 1));
      rest.back().leaving = true;
      m_entry.OnEndpoints(m_now, rest);
    } else if (shortage == Shortage::kPaused) {
      const CallId call = Call();
      m_entry.OnSending(m_now, call);
      EndpointResponse response = NotExecutedResponse();
      response.requested_pause = milliseconds(5000);
      m_entry.OnResponseHead(m_now, call, response);
    } else if (shortage == Shortage::kFull) {
      for (int i = 0; i < 8; ++i) {  // Two for each slot.
        m_entry.OnSending(m_now, Call());
      }
    } else {
      m_entry.OnSending(m_now, Call("key-1", "/a/b", milliseconds(700)));
      AdvanceTime(milliseconds(800));
      AdvanceTime(milliseconds(20));
      m_entry.OnConfigurationConfirmed(m_boot);
    }
    m_entry.TakeOutputs();
  }
};

// Guards against a call being served elsewhere, or kept waiting, when the
// allowed region cannot serve it.
TEST_P(ShortageTest, RefusesAtOnceAndNeverServesElsewhere) {
  StartRegions();
  Publish({"c"}, {});
  Apply(GetParam().shortage);
  const std::size_t before = m_entry.CallsInProgress();
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  const auto replies = TakeOutputsOf<SendResponse>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().status, 503);
  EXPECT_TRUE(replies.front().retry_after);
  const auto records = TakeOutputsOf<CallRecord>();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(ToText(records.front().reason), ToText(GetParam().reason));
  EXPECT_EQ(m_entry.CallsInProgress(), before);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ShortageTest,
    testing::Values(
        ShortageCase{"Full", Shortage::kFull, Reason::kAllBusy},
        ShortageCase{"Paused", Shortage::kPaused, Reason::kAllPaused},
        ShortageCase{"Leaving", Shortage::kLeaving, Reason::kNoEndpoint},
        ShortageCase{"Gone", Shortage::kGone, Reason::kNoEndpoint},
        ShortageCase{"CutOff", Shortage::kCutOff, Reason::kNoEndpoint}),
    [](const auto& test) { return std::string(test.param.name); });

struct RefusalCase {
  const char* name;
  Names route;
  Names workspace;
};

class NoRegionTest : public RegionsTest,
                     public testing::WithParamInterface<RefusalCase> {};

// Guards against a log line for each call, and against a refusal that differs
// from entry to entry.
TEST_P(NoRegionTest, RefusesAndLogsOnceForEachConfiguration) {
  StartRegions();
  for (int version = 0; version < 2; ++version) {
    Publish(GetParam().route, GetParam().workspace);
    std::size_t logged = 0;
    for (int i = 0; i < 5; ++i) {
      Call();
      ExpectRefused(Reason::kNoAllowedRegion);
      logged += TakeOutputsOf<NoAllowedRegion>().size();
    }
    EXPECT_EQ(logged, 1U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    NoRegionTest,
    testing::Values(RefusalCase{"NothingInCommon", {"a"}, {"b"}},
                    RefusalCase{"UnknownOfRoute", {"z"}, {}},
                    RefusalCase{"UnknownOfWorkspace", {}, {"z"}},
                    // What the decoder makes of a list that it can't read.
                    RefusalCase{"MalformedOfRoute", {""}, {}},
                    RefusalCase{"MalformedOfWorkspace", {"a"}, {""}}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against an endpoint counting as allowed because nobody knows where it
// is.
TEST_F(RegionsTest, EndpointInADataCentreWithoutRegionIsInNoAllowedRegion) {
  StartRegions();
  m_entry.OnEndpoints(m_now, {EndpointIn("x1", 1), EndpointIn("n1", 1)});
  Publish({"a", "b", "c"}, {});
  Call();
  ExpectRefused(Reason::kNoEndpoint);
  Publish({}, {});
  Call();
  EXPECT_NE(Selected(), "");
}

// Guards against refusals by an entry that has many endpoints nearby: the
// endpoints of the allowed region must be among those that it considers.
TEST_F(RegionsTest, DistantRegionIsUsedBesideManyNearEndpoints) {
  StartRegions();
  std::vector<ListedEndpoint> listed;
  for (int i = 0; i < 100; ++i) {
    listed.push_back(EndpointIn("a1", i));
    listed.push_back(EndpointIn("b1", i));
  }
  listed.push_back(EndpointIn("c1", 1));
  m_entry.OnEndpoints(m_now, listed);
  Publish({"c"}, {});
  Call();
  EXPECT_EQ(Selected(), "c1-1");
}

// A random series of configurations, failures and endpoints that come and go.
class RegionsSeriesTest : public RegionsTest,
                          public testing::WithParamInterface<std::uint64_t> {
 protected:
  static constexpr int kSteps = 600;

  Names RandomRegions() {
    Names regions;
    for (const char* region : {"a", "b", "c", "z", ""}) {
      if (m_random.Chance(0.25)) {
        regions.emplace_back(region);
      }
    }
    return regions;
  }
  void PublishRandom() {
    m_route_regions = RandomRegions();
    m_workspace_regions = RandomRegions();
    Publish(m_route_regions, m_workspace_regions);
  }
  void ListRandom() {
    std::vector<ListedEndpoint> listed;
    for (const char* data_centre : {"a1", "a2", "b1", "c1", "n1", "x1"}) {
      for (int i = 0; i < 3; ++i) {
        if (m_random.Chance(0.7)) {
          listed.push_back(EndpointIn(data_centre, i));
          listed.back().leaving = m_random.Chance(0.1);
        }
      }
    }
    m_entry.OnEndpoints(m_now, listed);
  }
  bool MayServe(const std::string& endpoint) const {
    const RegionsByDataCentre regions = MakeRegions();
    const auto found = regions.find(DataCentreOf(endpoint));
    const std::string region = found != regions.end() ? found->second : "";
    const auto allows = [&region](const Names& list) {
      return list.empty() ||
             (!region.empty() && std::ranges::find(list, region) != list.end());
    };
    return allows(m_route_regions) && allows(m_workspace_regions);
  }
  // Attempts that were started; each must be allowed at this time.
  void TakeAttempts() {
    for (const SendAttempt& sent : TakeOutputsOf<SendAttempt>()) {
      EXPECT_TRUE(MayServe(sent.endpoint_id)) << sent.endpoint_id;
      m_waiting[sent.call] = sent.endpoint_id;
    }
    for (const CallRecord& record : TakeOutputsOf<CallRecord>()) {
      if (record.kind == CallRecord::Kind::kEnded) {
        m_waiting.erase(record.call);
        std::erase(m_sent, record.call);
      }
    }
  }
  void SendOne() {
    if (m_waiting.empty()) {
      return;
    }
    const auto next = std::next(
        m_waiting.begin(),
        static_cast<std::ptrdiff_t>(m_random.Below(m_waiting.size())));
    const auto [call, endpoint] = *next;
    m_waiting.erase(next);
    const std::size_t calls = m_entry.CallsInProgress();
    m_entry.OnSending(m_now, call);
    if (TakeOutputsOf<CancelAttempt>().empty() &&
        m_entry.CallsInProgress() == calls) {
      EXPECT_TRUE(MayServe(endpoint)) << endpoint;
      ++m_arrivals;
      m_sent.push_back(call);
    }
  }
  void EndOne() {
    if (m_sent.empty()) {
      return;
    }
    const CallId call = m_sent.front();
    m_sent.erase(m_sent.begin());
    const std::uint64_t kind = m_random.Below(4);
    if (kind == 0) {
      m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
    } else if (kind == 1) {
      EndpointResponse response = NotExecutedResponse();
      if (m_random.Chance(0.3)) {
        response.requested_pause = milliseconds(300);
      }
      m_entry.OnResponseHead(m_now, call, response);
    } else {
      m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
      m_entry.OnResponseEnd(m_now, call);
    }
  }
  void Step() {
    const std::uint64_t kind = m_random.Below(20);
    if (kind == 0) {
      PublishRandom();
    } else if (kind == 1) {
      ListRandom();
    } else if (kind < 9) {
      Call();
    } else if (kind < 14) {
      SendOne();
    } else if (kind < 18) {
      EndOne();
    } else {
      AdvanceTime(milliseconds(25));
      m_entry.OnConfigurationConfirmed(m_boot);
    }
    TakeAttempts();
    TakeOutputsOf<CancelAttempt>();
  }

  kernel::Random m_random{GetParam()};
  Names m_route_regions;
  Names m_workspace_regions;
  std::map<CallId, std::string> m_waiting;
  std::vector<CallId> m_sent;
  std::size_t m_arrivals = 0;
};

TEST_P(RegionsSeriesTest, NothingArrivesOutsideTheAllowedRegions) {
  StartRegions();
  ListRandom();
  for (int i = 0; i < kSteps; ++i) {
    Step();
  }
  EXPECT_GT(m_arrivals, 20U);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RegionsSeriesTest,
                         testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace radishrudder::direct
