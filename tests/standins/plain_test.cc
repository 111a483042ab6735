#include "plain.h"

#include <gtest/gtest.h>

#include "tests/standins/running_stand_in.h"

namespace radishrudder::standin {
namespace {

TEST(PlainTest, RepeatsACallAndRecordsIt) {
  RunningStandIn<Plain> plain(1U);
  http::ClientRequest request = plain.Make("POST", "/deposits?x=1", "50");
  request.headers = {{"Idempotency-Key", "k1"}};
  const auto answer =
      nlohmann::json::parse(plain.Client().FetchNow(request).body);
  EXPECT_EQ(answer["service"], "plain");
  EXPECT_EQ(answer["method"], "POST");
  EXPECT_EQ(answer["path"], "/deposits?x=1");
  EXPECT_EQ(answer["key"], "k1");
  EXPECT_EQ(answer["body"], "50");
  EXPECT_EQ(answer["execution"], 1);
  const auto executions = plain.Get("/v1/executions");
  ASSERT_EQ(executions.size(), 1);
  EXPECT_EQ(executions[0]["key"], "k1");
  EXPECT_EQ(executions[0]["state"], "complete");
}

TEST(PlainTest, FailsAsControlled) {
  RunningStandIn<Plain> plain(1U);
  plain.Call("PUT", "/v1/control", R"({"fail_percent":100,"delay_ms":1})");
  EXPECT_EQ(plain.Call("GET", "/stock").result.status, 500);
}

}  // namespace
}  // namespace radishrudder::standin
