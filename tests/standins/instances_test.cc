#include "instances.h"

#include <gtest/gtest.h>

#include "tests/standins/running_stand_in.h"

namespace radishrudder::standin {
namespace {

constexpr char kRunner[] =
    R"({"role":"agent","service":"s","address":"127.0.0.1:9"})";

TEST(InstancesTest, TheListIsAlwaysWhole) {
  RunningStandIn<Instances> list;
  list.Call("PUT", "/v1/instances/r1", kRunner);
  list.Call("PUT", "/v1/instances/r2", kRunner);
  list.Call("DELETE", "/v1/instances/r1");
  const auto body = list.Get("/v1/instances?after=2");
  EXPECT_EQ(body["revision"], 3);
  ASSERT_EQ(body["instances"].size(), 1);
  EXPECT_EQ(body["instances"][0]["instance"], "r2");
  EXPECT_EQ(body["instances"][0]["leaving"], false);
}

TEST(InstancesTest, ChangesShowAfterTheLag) {
  RunningStandIn<Instances> list;
  list.Call("PUT", "/v1/control", R"({"lag_ms":100})");
  list.Call("PUT", "/v1/instances/r1", kRunner);
  EXPECT_EQ(list.Get("/v1/instances")["instances"].size(), 0);
  EXPECT_EQ(list.Get("/v1/instances?after=0&wait_ms=60000")["instances"].size(),
            1);
}

}  // namespace
}  // namespace radishrudder::standin
