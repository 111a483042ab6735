#include "configuration.h"

#include <gtest/gtest.h>

#include <future>

#include "tests/standins/running_stand_in.h"

namespace radishrudder::standin {
namespace {

TEST(ConfigurationTest, ReadsGiveWhatChangedAfterARevision) {
  RunningStandIn<Configuration> service;
  EXPECT_EQ(service.Call("PUT", "/v1/documents/a", "A1").result.status, 200);
  service.Call("PUT", "/v1/documents/b", "B1");
  service.Call("DELETE", "/v1/documents/a");
  const auto all = service.Get("/v1/documents?after=0");
  EXPECT_EQ(all["revision"], 3);
  ASSERT_EQ(all["documents"].size(), 2);
  EXPECT_EQ(all["documents"][0]["deleted"], true);
  EXPECT_EQ(all["documents"][1]["content"], "B1");
  const auto later = service.Get("/v1/documents?after=2");
  ASSERT_EQ(later["documents"].size(), 1);
  EXPECT_EQ(later["documents"][0]["service"], "a");
  EXPECT_EQ(service.Get("/v1/statistics")["calls"], 2);
}

TEST(ConfigurationTest, AWatchWaitsForAChange) {
  RunningStandIn<Configuration> service;
  std::promise<http::WholeAnswer> answer;
  service.Client().Fetch(
      service.Make("GET", "/v1/documents?after=0&wait_ms=60000"),
      [&](const http::WholeAnswer& whole) { answer.set_value(whole); });
  service.Call("PUT", "/v1/documents/a", "A1");
  const auto body = nlohmann::json::parse(answer.get_future().get().body);
  EXPECT_EQ(body["documents"][0]["content"], "A1");
}

TEST(ConfigurationTest, AStaleServiceShowsItsFrozenCopy) {
  RunningStandIn<Configuration> service;
  service.Call("PUT", "/v1/documents/a", "old");
  service.Call("PUT", "/v1/control", R"({"stale":true})");
  service.Call("PUT", "/v1/documents/a", "new");
  EXPECT_EQ(service.Get("/v1/documents")["documents"][0]["content"], "old");
  service.Call("PUT", "/v1/control", R"({"stale":false})");
  EXPECT_EQ(service.Get("/v1/documents")["documents"][0]["content"], "new");
}

TEST(ConfigurationTest, AnUnavailableServiceAnswers503) {
  RunningStandIn<Configuration> service;
  service.Call("PUT", "/v1/control", R"({"available":false})");
  EXPECT_EQ(service.Call("GET", "/v1/documents").result.status, 503);
}

TEST(ConfigurationTest, AWrongControlIsRefusedInWords) {
  RunningStandIn<Configuration> service;
  const auto wrong =
      service.Call("PUT", "/v1/control", R"({"available":"no"})");
  EXPECT_EQ(wrong.result.status, 400);
  EXPECT_NE(wrong.body.find("boolean"), std::string::npos) << wrong.body;
  EXPECT_EQ(service.Call("PUT", "/v1/control", "[]").result.status, 400);
}

}  // namespace
}  // namespace radishrudder::standin
