#include "radishrudder/daemon/order_giver.h"

#include <gtest/gtest.h>

#include <future>
#include <map>
#include <ostream>
#include <string>

#include "tests/daemon/weights_endpoint.h"

namespace radishrudder::daemon {
namespace {

using rollout::OrderResult;

constexpr std::uint32_t kChunkBytes = 4;
constexpr int kChunksOfVersion = 3;
constexpr char kFirstBytes[] = "0123456789";
constexpr char kSecondBytes[] = "abcdefghij";

std::string DigestOf(const std::string& bytes) {
  return weights::ManifestDigest(
      weights::DescribeFile("w", bytes, kChunkBytes));
}

// An order giver whose agent holds two versions, and its endpoint.
class OrderGiverFixture {
 public:
  OrderGiverFixture()
      : m_client(m_http, endpoint.Url(), {}),
        m_giver(m_client,
                {[this](const std::string& digest) {
                   return std::optional(weights::DescribeFile(
                       "w", m_bytes.at(digest), kChunkBytes));
                 },
                 [this](const std::string& digest, std::uint32_t index) {
                   m_may_read.wait();
                   return std::optional(m_bytes.at(digest).substr(
                       std::size_t{index} * kChunkBytes, kChunkBytes));
                 }}) {
    ContinueStaging();
  }
  ~OrderGiverFixture() { m_client.Stop(); }
  OrderGiverFixture(const OrderGiverFixture&) = delete;
  OrderGiverFixture& operator=(const OrderGiverFixture&) = delete;

  std::future<void> StartStaging(const std::string& digest) {
    auto done = std::make_shared<std::promise<void>>();
    m_giver.Stage(digest, [done] { done->set_value(); });
    return done->get_future();
  }
  void Stage(const std::string& digest) { StartStaging(digest).wait(); }

  std::future<OrderResult> StartOrder(const std::string& digest,
                                      kernel::Time not_after) {
    auto done = std::make_shared<std::promise<OrderResult>>();
    m_giver.Give({digest, {1, 1, ++m_order_count}, not_after},
                 [done](const rollout::Fence&, OrderResult result) {
                   done->set_value(result);
                 });
    return done->get_future();
  }
  OrderResult Order(const std::string& digest,
                    kernel::Time not_after = kernel::Time::max()) {
    return StartOrder(digest, not_after).get();
  }

  // Chunks are handed over only between these two.
  void PauseStaging() {
    m_read_gate = {};
    m_may_read = m_read_gate.get_future().share();
  }
  void ContinueStaging() { m_read_gate.set_value(); }

  WeightsEndpoint endpoint;
  const std::string first = DigestOf(kFirstBytes);
  const std::string second = DigestOf(kSecondBytes);

 private:
  const std::map<std::string, std::string> m_bytes{{first, kFirstBytes},
                                                   {second, kSecondBytes}};
  std::promise<void> m_read_gate;
  std::shared_future<void> m_may_read = m_read_gate.get_future().share();
  std::uint64_t m_order_count = 0;
  http::Client m_http;
  EndpointClient m_client;
  OrderGiver m_giver;
};

// What happens to the second version between its hand-over and its order.
struct LossCase {
  const char* name;
  void (*stage_and_lose)(OrderGiverFixture& fixture);
};

void PrintTo(const LossCase& loss, std::ostream* out) {
  *out << loss.name;
}

class LostWeightsTest : public testing::TestWithParam<LossCase> {};

// Guards against an order that fails, with a backoff out of service, because
// the endpoint no longer has what it was handed.
TEST_P(LostWeightsTest, OrderHandsThemOverAgain) {
  OrderGiverFixture fixture;
  GetParam().stage_and_lose(fixture);
  EXPECT_EQ(fixture.Order(fixture.second), OrderResult::kDone);
  EXPECT_EQ(fixture.endpoint.Running(), fixture.second);
}

void StageOnly(OrderGiverFixture& fixture) {
  fixture.Stage(fixture.second);
}

void RestartEndpoint(OrderGiverFixture& fixture) {
  fixture.Stage(fixture.second);
  fixture.endpoint.Restart();
}

void RestartEndpointDuringStaging(OrderGiverFixture& fixture) {
  fixture.endpoint.RestartAfterNextChunk();
  fixture.Stage(fixture.second);
}

void ReloadRestartedEndpoint(OrderGiverFixture& fixture) {
  EXPECT_EQ(fixture.Order(fixture.second), OrderResult::kDone);
  fixture.endpoint.Restart();
}

// The order for the first version waits while the second is handed over.
void LoadFirstAfterStaging(OrderGiverFixture& fixture) {
  fixture.Stage(fixture.first);
  fixture.PauseStaging();
  auto staged = fixture.StartStaging(fixture.second);
  auto ordered = fixture.StartOrder(fixture.first, kernel::Time::max());
  fixture.ContinueStaging();
  staged.wait();
  EXPECT_EQ(ordered.get(), OrderResult::kDone);
}

void ExecuteUnansweredOrderAfterStaging(OrderGiverFixture& fixture) {
  fixture.endpoint.HoldNextOrder();
  EXPECT_EQ(fixture.Order(fixture.first), OrderResult::kUnanswered);
  fixture.Stage(fixture.second);
  fixture.endpoint.ExecuteHeldOrder();
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LostWeightsTest,
    testing::Values(
        LossCase{"NotLost", StageOnly},
        LossCase{"EndpointRestarted", RestartEndpoint},
        LossCase{"EndpointRestartedDuringTheHandOver",
                 RestartEndpointDuringStaging},
        LossCase{"EndpointRestartedAfterTheLoad", ReloadRestartedEndpoint},
        LossCase{"OtherVersionLoadedMeanwhile", LoadFirstAfterStaging},
        LossCase{"UnansweredOrderExecuted",
                 ExecuteUnansweredOrderAfterStaging}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against an endpoint that is never loaded again, because each hand-over
// lasts longer than its order is valid and the next order starts it anew.
TEST(OrderGiverTest, OrderAfterALateOneUsesItsHandOver) {
  OrderGiverFixture fixture;
  EXPECT_EQ(fixture.Order(fixture.first, kernel::Time::min()),
            OrderResult::kFailed);
  EXPECT_EQ(fixture.endpoint.Running(), "");
  EXPECT_EQ(fixture.Order(fixture.first), OrderResult::kDone);
  EXPECT_EQ(fixture.endpoint.ChunkCount(), kChunksOfVersion);
}

// Guards against an order that is given again and again while the endpoint
// refuses it.
TEST(OrderGiverTest, ReportsAFailureIfTheEndpointRefusesAgain) {
  OrderGiverFixture fixture;
  fixture.Stage(fixture.first);
  fixture.endpoint.AnswerOrdersWith(422);
  EXPECT_EQ(fixture.Order(fixture.first), OrderResult::kFailed);
  EXPECT_LE(fixture.endpoint.OrderCount(), 2);
}

}  // namespace
}  // namespace radishrudder::daemon
