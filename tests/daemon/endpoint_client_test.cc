#include "radishrudder/daemon/endpoint_client.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <ostream>

#include "tests/daemon/weights_endpoint.h"

namespace radishrudder::daemon {
namespace {

using rollout::OrderResult;

struct OrderStatusCase {
  int status;
  OrderResult result;
};

void PrintTo(const OrderStatusCase& order, std::ostream* out) {
  *out << order.status;
}

class OrderStatusTest : public testing::TestWithParam<OrderStatusCase> {};

// Guards against an order that counts as not executed although its status does
// not say so: one that has only begun, or whose answer an intermediary lost.
TEST_P(OrderStatusTest, SaysWhatIsKnownOfTheOrder) {
  WeightsEndpoint endpoint;
  endpoint.AnswerOrdersWith(GetParam().status);
  http::Client http;
  EndpointClient client(http, endpoint.Url(), {});
  std::promise<std::optional<OrderResult>> done;
  client.Load(
      {"v1", {1, 1, 1}}, [] { return true; },
      [&](auto result) { done.set_value(result); });
  EXPECT_EQ(done.get_future().get(), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OrderStatusTest,
    testing::Values(OrderStatusCase{200, OrderResult::kDone},
                    OrderStatusCase{202, OrderResult::kUnanswered},
                    OrderStatusCase{400, OrderResult::kFailed},
                    OrderStatusCase{409, OrderResult::kRefusedOldFence},
                    OrderStatusCase{422, OrderResult::kFailed},
                    OrderStatusCase{500, OrderResult::kFailed},
                    OrderStatusCase{502, OrderResult::kUnanswered},
                    OrderStatusCase{503, OrderResult::kFailed},
                    OrderStatusCase{504, OrderResult::kUnanswered}),
    [](const auto& info) { return std::to_string(info.param.status); });

}  // namespace
}  // namespace radishrudder::daemon
