#include <gtest/gtest.h>

#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/direct/event_splitter.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

struct RouteCase {
  const char* name;
  const char* host;
  const char* path;
  const char* route;  // Empty: none.
};

class RouteTest : public testing::TestWithParam<RouteCase> {};

TEST_P(RouteTest, MatchesHostAndLongestPrefix) {
  Configuration configuration;
  configuration.version = 1;
  for (const auto& [name, host, prefix] :
       {std::tuple("short", "a.example", "/x/"),
        std::tuple("long", "a.example", "/x/y/"),
        std::tuple("other", "b.example", "/x/")}) {
    RouteRule route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    configuration.routes.push_back(std::move(route));
  }
  ConfigurationTable table;
  ASSERT_TRUE(table.Apply(std::move(configuration)));
  const RouteRule* found = table.FindRoute(GetParam().host, GetParam().path);
  EXPECT_EQ(found == nullptr ? "" : found->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RouteTest,
    testing::Values(RouteCase{"Short", "a.example", "/x/1", "short"},
                    RouteCase{"Long", "a.example", "/x/y/1", "long"},
                    RouteCase{"Port", "A.Example:8080", "/x/1", "short"},
                    RouteCase{"OtherHost", "b.example", "/x/y/1", "other"},
                    RouteCase{"UnknownHost", "c.example", "/x/1", ""},
                    RouteCase{"NoSlash", "a.example", "/x", ""}),
    [](const auto& info) { return info.param.name; });

ListedEndpoint MakeListedEndpoint(const std::string& id,
                                  std::uint64_t revision,
                                  bool leaving = false) {
  ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.revision = revision;
  endpoint.leaving = leaving;
  return endpoint;
}

class EndpointListTest : public testing::Test {
 protected:
  EndpointList m_list{EndpointListSettings{}};
  kernel::Time m_now{std::chrono::hours(1)};
};

TEST_F(EndpointListTest, IgnoresOlderRevisions) {
  EXPECT_TRUE(m_list.OnUpdate(m_now, MakeListedEndpoint("a", 5, true)));
  EXPECT_FALSE(m_list.OnUpdate(m_now, MakeListedEndpoint("a", 4, false)));
  EXPECT_TRUE(m_list.Find("a")->leaving);
  EXPECT_TRUE(m_list.OnRemoved(m_now, "a", 6));
  EXPECT_FALSE(m_list.OnUpdate(m_now, MakeListedEndpoint("a", 5)));
  EXPECT_EQ(m_list.Find("a"), nullptr);
  EXPECT_TRUE(m_list.OnUpdate(m_now, MakeListedEndpoint("a", 7)));
}

TEST_F(EndpointListTest, RemovesAtOnceWhileListIsReachable) {
  m_list.OnUpdate(m_now, MakeListedEndpoint("a", 1));
  EXPECT_TRUE(m_list.OnRemoved(m_now, "a", 2));
  EXPECT_EQ(m_list.Size(), 0U);
}

// While the store is unreachable, entries expire although their endpoints are
// alive.
TEST_F(EndpointListTest, KeepsExpiredEndpointsForGracePeriod) {
  m_list.OnUpdate(m_now, MakeListedEndpoint("back", 1));
  m_list.OnUpdate(m_now, MakeListedEndpoint("gone", 2));
  m_list.OnUpdate(m_now, MakeListedEndpoint("leaving", 3, true));
  m_list.OnStoreAnswered(m_now, m_now);
  m_now += std::chrono::seconds(10);
  m_list.OnStoreAnswered(m_now, m_now);
  m_list.OnSnapshot(m_now, {}, 9);
  EXPECT_NE(m_list.Find("back"), nullptr);
  EXPECT_EQ(m_list.Find("leaving"), nullptr);
  m_now += milliseconds(1000);
  m_list.OnStoreAnswered(m_now, m_now);
  m_list.OnUpdate(m_now, MakeListedEndpoint("back", 10));
  m_now += milliseconds(1100);
  EXPECT_TRUE(m_list.OnTick(m_now));
  EXPECT_NE(m_list.Find("back"), nullptr);
  EXPECT_EQ(m_list.Find("gone"), nullptr);
}

struct SplitCase {
  const char* name;
  std::vector<std::string> data;
  std::vector<std::string> events;
  std::size_t pending;
};

class SplitTest : public testing::TestWithParam<SplitCase> {};

TEST_P(SplitTest, ReturnsOnlyCompleteEvents) {
  EventSplitter splitter;
  std::vector<std::string> events;
  for (const std::string& data : GetParam().data) {
    events.push_back(splitter.Feed(data));
  }
  EXPECT_EQ(events, GetParam().events);
  EXPECT_EQ(splitter.PendingBytes(), GetParam().pending);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SplitTest,
    testing::Values(
        SplitCase{"One", {"id: 1\ndata: a\n\n"}, {"id: 1\ndata: a\n\n"}, 0},
        SplitCase{"Two", {"id: 1\n\nid: 2\n\n"}, {"id: 1\n\nid: 2\n\n"}, 0},
        SplitCase{"Halves",
                  {"id: 1\nda", "ta: a\n\n"},
                  {"", "id: 1\ndata: a\n\n"},
                  0},
        SplitCase{"BlankLineInTwo", {"id: 1\n", "\nid"}, {"", "id: 1\n\n"}, 2},
        SplitCase{"CarriageReturns",
                  {"id: 1\r\n\r", "\n"},
                  {"", "id: 1\r\n\r\n"},
                  0},
        SplitCase{"Unfinished", {"id: 1\ndata"}, {""}, 10}),
    [](const auto& info) { return info.param.name; });

TEST(EventSplitterTest, DropsEventsAlreadyReturnedAfterRestart) {
  EventSplitter splitter;
  splitter.Feed("id: 1\n\nid: 2\n\nid: 3\nda");
  EXPECT_EQ(splitter.LastId(), 2U);
  splitter.Restart(splitter.LastId());
  EXPECT_EQ(splitter.Feed("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
  EXPECT_EQ(splitter.LastId(), 3U);
}

}  // namespace
}  // namespace radishrudder::direct
