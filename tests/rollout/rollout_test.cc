#include "radishrudder/rollout/rollout.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace radishrudder::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

document::ServiceDocument DocumentOf(const std::string& digest) {
  document::ServiceDocument document;
  document.service = "draft";
  document.model = document::ModelSection{.name = "m",
                                          .version = digest,
                                          .manifest_digest = digest,
                                          .adapters = {}};
  return document;
}

class RolloutTest : public testing::Test {
 protected:
  RolloutTest()
      : m_rollout({.self = {"self", 9}, .service = "draft"},
                  kernel::Random(1)) {}

  template <typename T>
  std::optional<T> TakeLast() {
    std::optional<T> found;
    for (RolloutOutput& output : TakeOutputs()) {
      if (auto* wanted = std::get_if<T>(&output)) {
        found = *wanted;
      }
    }
    return found;
  }

  std::vector<RolloutOutput> TakeOutputs() {
    CollectOutputs();
    return std::exchange(m_outputs, {});
  }

  void CollectOutputs() {
    for (RolloutOutput& output : m_rollout.TakeOutputs()) {
      if (const auto* read = std::get_if<ReadBack>(&output)) {
        m_last_read_back = *read;
      }
      m_outputs.push_back(std::move(output));
    }
  }

  // Answers the last read-back.
  void AnswerReadBack(const std::string& digest,
                      const std::string& start = "s1") {
    CollectOutputs();
    m_rollout.OnEndpointStatus(m_now, m_last_read_back, {true, digest, start});
  }

  // Advances the time until a read-back is due and reports a status.
  void ReportStatus(const std::string& digest,
                    const std::string& start = "s1") {
    m_now += seconds(1);
    m_rollout.OnTick(m_now);
    AnswerReadBack(digest, start);
  }

  // Makes the rollout serve "v1" of revision 1, as the only instance.
  void ServeFirstVersion() {
    m_rollout.OnPeers(m_now, {});
    m_rollout.OnDocument(m_now, 1, DocumentOf("v1"));
    m_rollout.OnWeightsComplete(m_now, "v1");
    ReportStatus("v1");
    TakeOutputs();
  }

  kernel::Time m_now{std::chrono::hours(1)};
  Rollout m_rollout;
  std::vector<RolloutOutput> m_outputs;
  ReadBack m_last_read_back;
};

TEST_F(RolloutTest, FirstLoadDoesNotWaitForATurn) {
  RolloutPeer peer;
  peer.instance = "other";
  m_rollout.OnPeers(m_now, {peer, peer, peer});
  m_rollout.OnDocument(m_now, 4, DocumentOf("v1"));
  ReportStatus("");
  EXPECT_FALSE(TakeLast<OrderLoad>().has_value());
  m_rollout.OnWeightsComplete(m_now, "v1");
  ReportStatus("");
  const auto order = TakeLast<OrderLoad>();
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->manifest_digest, "v1");
  EXPECT_EQ(order->fence, (Fence{4, 9, 1}));
  m_rollout.OnOrderResult(m_now, order->fence, OrderResult::kDone);
  EXPECT_TRUE(TakeLast<ReadBack>().has_value());
  AnswerReadBack("v1");
  const auto outputs = TakeOutputs();
  ASSERT_EQ(outputs.size(), 2U);
  EXPECT_EQ(std::get<Readiness>(outputs[0]).revision, 4U);
  EXPECT_TRUE(std::holds_alternative<OpenGate>(outputs[1]));
}

TEST_F(RolloutTest, OrdersANewVersionOnlyAfterTheGateIsEmpty) {
  ServeFirstVersion();
  m_rollout.OnDocument(m_now, 2, DocumentOf("v2"));
  m_rollout.OnWeightsComplete(m_now, "v2");
  EXPECT_TRUE(TakeLast<CloseGate>().has_value());
  ReportStatus("v1");
  EXPECT_FALSE(TakeLast<OrderLoad>().has_value());
  m_rollout.OnGateEmpty(m_now);
  EXPECT_FALSE(TakeLast<OrderLoad>().has_value());
  AnswerReadBack("v1");
  const auto order = TakeLast<OrderLoad>();
  ASSERT_TRUE(order.has_value());
  m_rollout.OnOrderResult(m_now, order->fence, OrderResult::kDone);
  EXPECT_FALSE(TakeLast<OpenGate>().has_value());
  AnswerReadBack("v2");
  EXPECT_TRUE(TakeLast<OpenGate>().has_value());
}

TEST_F(RolloutTest, KeepsTheRunningVersionUntilThePeersAreKnown) {
  m_rollout.OnDocument(m_now, 2, DocumentOf("v2"));
  m_rollout.OnWeightsComplete(m_now, "v2");
  ReportStatus("v1");
  ReportStatus("v1");
  EXPECT_FALSE(TakeLast<CloseGate>().has_value());
}

TEST_F(RolloutTest, NewRevisionWithTheSameDigestNeedsNoOrder) {
  ServeFirstVersion();
  m_rollout.OnDocument(m_now, 2, DocumentOf("v1"));
  const auto outputs = TakeOutputs();
  ASSERT_EQ(outputs.size(), 1U);
  EXPECT_EQ(std::get<Readiness>(outputs[0]).revision, 2U);
}

TEST_F(RolloutTest, IgnoresALowerRevision) {
  ServeFirstVersion();
  m_rollout.OnDocument(m_now, 1, DocumentOf("v0"));
  m_rollout.OnWeightsComplete(m_now, "v0");
  EXPECT_TRUE(TakeOutputs().empty());
}

TEST_F(RolloutTest, RollbackWhileDrainingReopensTheGate) {
  ServeFirstVersion();
  m_rollout.OnDocument(m_now, 2, DocumentOf("v2"));
  m_rollout.OnWeightsComplete(m_now, "v2");
  EXPECT_TRUE(TakeLast<CloseGate>().has_value());
  m_rollout.OnDocument(m_now, 3, DocumentOf("v1"));
  EXPECT_TRUE(TakeLast<OpenGate>().has_value());
}

// Guards against an instance that leaves service for a version whose weights
// were dropped when another one replaced it, and fails to load it.
TEST_F(RolloutTest, RollbackWaitsForTheWeightsAgain) {
  ServeFirstVersion();
  m_rollout.OnDocument(m_now, 2, DocumentOf("v2"));
  ReportStatus("v1");
  m_rollout.OnWeightsComplete(m_now, "v2");
  m_rollout.OnGateEmpty(m_now);
  AnswerReadBack("v1");
  const auto order = TakeLast<OrderLoad>();
  ASSERT_TRUE(order.has_value());
  m_rollout.OnOrderResult(m_now, order->fence, OrderResult::kDone);
  AnswerReadBack("v2");
  EXPECT_TRUE(TakeLast<OpenGate>().has_value());
  m_rollout.OnDocument(m_now, 3, DocumentOf("v1"));
  ReportStatus("v2");
  EXPECT_FALSE(TakeLast<CloseGate>().has_value());
  m_rollout.OnWeightsComplete(m_now, "v1");
  EXPECT_TRUE(TakeLast<CloseGate>().has_value());
}

// Guards against an instance that waits for weights that it has, because a
// document without a version stood between.
TEST_F(RolloutTest, DocumentWithoutAVersionKeepsTheWeights) {
  ServeFirstVersion();
  document::ServiceDocument without_version = DocumentOf("");
  without_version.model.reset();
  m_rollout.OnDocument(m_now, 2, without_version);
  m_rollout.OnDocument(m_now, 3, DocumentOf("v1"));
  ReportStatus("", "s2");
  m_rollout.OnGateEmpty(m_now);
  ReportStatus("", "s2");
  const auto order = TakeLast<OrderLoad>();
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->manifest_digest, "v1");
}

TEST(PlainRolloutTest, AcceptsCallsWithoutAnyOrder) {
  Rollout rollout({.self = {"self", 9}, .service = "shop", .plain = true},
                  kernel::Random(1));
  const kernel::Time now{std::chrono::hours(1)};
  rollout.OnDocument(now, 3, {});
  rollout.OnTick(now);
  const auto outputs = rollout.TakeOutputs();
  ASSERT_EQ(outputs.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<OpenGate>(outputs[0]));
  EXPECT_EQ(std::get<Readiness>(outputs[1]).revision, 3U);
}

}  // namespace
}  // namespace radishrudder::rollout
