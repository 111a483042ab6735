#include <optional>
#include <tuple>

#include <gtest/gtest.h>

#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {
namespace {

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

// An engine that executes orders at once and either refuses orders with an old
// fence or ignores fences.
class Engine {
 public:
  explicit Engine(bool checks_fence) : m_checks_fence(checks_fence) {}

  OrderResult Load(const OrderLoad& order) {
    const auto fence = std::tie(order.fence.revision, order.fence.incarnation,
                                order.fence.order);
    const auto highest =
        std::tie(m_highest.revision, m_highest.incarnation, m_highest.order);
    if (m_checks_fence && fence <= highest) {
      return OrderResult::kRefusedOldFence;
    }
    m_highest = order.fence;
    running = order.manifest_digest;
    return OrderResult::kDone;
  }
  void Restart() {
    running.clear();
    m_highest = {};
    ++m_start;
  }
  EndpointStatus Status() const {
    return {reachable, running, std::to_string(m_start)};
  }

  std::string running;
  bool reachable = true;

 private:
  bool m_checks_fence;
  Fence m_highest;
  int m_start = 1;
};

// One run of an agent with its engine, the only instance of its service.
class AgentRun {
 public:
  AgentRun(Engine& engine, std::uint64_t incarnation)
      : m_engine(engine),
        rollout({.self = {"self", incarnation}, .service = "draft"},
                kernel::Random(incarnation)) {}

  void SetTarget(kernel::Time now,
                 std::uint64_t revision,
                 const std::string& digest) {
    rollout.OnPeers(now, {});
    rollout.OnWeightsComplete(now, digest);
    rollout.OnDocument(now, revision, DocumentOf(digest));
    ExecuteOutputs(now);
  }

  // Ticks once per second and executes the outputs of the rollout.
  void Run(kernel::Time& now, int ticks) {
    for (int i = 0; i < ticks; ++i) {
      now += seconds(1);
      rollout.OnTick(now);
      ExecuteOutputs(now);
    }
  }

  // Ends the order that was held.
  void EndOrder(kernel::Time now, OrderResult result) {
    rollout.OnOrderResult(now, last_order->fence, result);
    ExecuteOutputs(now);
  }

  void ExecuteOutputs(kernel::Time now) {
    for (bool any = true; any;) {
      any = false;
      for (const RolloutOutput& output : rollout.TakeOutputs()) {
        any = true;
        ExecuteOutput(now, output);
      }
    }
  }

 private:
  void ExecuteOutput(kernel::Time now, const RolloutOutput& output) {
    if (std::holds_alternative<CloseGate>(output)) {
      gate_open = false;
      rollout.OnGateEmpty(now);
    } else if (std::holds_alternative<OpenGate>(output)) {
      gate_open = true;
      ++gate_openings;
    } else if (const auto* read = std::get_if<ReadBack>(&output);
               read != nullptr && !unresponsive) {
      rollout.OnEndpointStatus(now, *read, m_engine.Status());
    } else if (const auto* order = std::get_if<OrderLoad>(&output)) {
      ++order_count;
      last_order = *order;
      if (!hold_orders && now <= order->not_after) {
        rollout.OnOrderResult(now, order->fence, m_engine.Load(*order));
      }
    } else if (const auto* ready = std::get_if<Readiness>(&output)) {
      published = *ready;
    }
  }

  Engine& m_engine;

 public:
  Rollout rollout;
  Readiness published;
  std::optional<OrderLoad> last_order;
  int order_count = 0;
  int gate_openings = 0;
  bool gate_open = false;
  bool unresponsive = false;
  bool hold_orders = false;
};

class EngineKindTest : public testing::TestWithParam<bool> {
 protected:
  Engine m_engine{GetParam()};
  kernel::Time m_now{std::chrono::hours(1)};
};

TEST_P(EngineKindTest, LoadsTheFirstVersionAndReplacesIt) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  EXPECT_EQ(m_engine.running, "v1");
  agent.SetTarget(m_now, 2, "v2");
  agent.Run(m_now, 3);
  EXPECT_EQ(m_engine.running, "v2");
  EXPECT_TRUE(agent.gate_open);
  EXPECT_EQ(agent.published.revision, 2U);
}

TEST_P(EngineKindTest, ReloadsARestartedEngine) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  m_engine.Restart();
  agent.Run(m_now, 3);
  EXPECT_EQ(m_engine.running, "v1");
  EXPECT_TRUE(agent.gate_open);
  EXPECT_EQ(agent.order_count, 2);
}

TEST_P(EngineKindTest, RestartedAgentKeepsServingTheRunningVersion) {
  AgentRun old_run(m_engine, 10);
  old_run.SetTarget(m_now, 1, "v1");
  old_run.Run(m_now, 3);
  AgentRun new_run(m_engine, 11);
  new_run.SetTarget(m_now, 1, "v1");
  new_run.Run(m_now, 2);
  EXPECT_TRUE(new_run.gate_open);
  EXPECT_EQ(new_run.order_count, 0);
}

TEST_P(EngineKindTest, PausedAgentWaitsForUpdatesBeforeItOrders) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  // The agent is paused, and receives a document that has been replaced in the
  // meantime.
  m_now += seconds(300);
  agent.rollout.OnWeightsComplete(m_now, "v2");
  agent.rollout.OnDocument(m_now, 2, DocumentOf("v2"));
  agent.ExecuteOutputs(m_now);
  EXPECT_EQ(agent.order_count, 1);
  agent.SetTarget(m_now, 3, "v1");
  agent.Run(m_now, 6);
  EXPECT_EQ(agent.order_count, 1);
  EXPECT_EQ(agent.published.revision, 3U);
}

TEST_P(EngineKindTest, OrderMustBeSentWithinTwoSeconds) {
  AgentRun agent(m_engine, 10);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 2);
  ASSERT_EQ(agent.order_count, 1);
  EXPECT_LE(agent.last_order->not_after, m_now + seconds(2));
  EXPECT_GT(agent.last_order->not_after, m_now - seconds(2));
}

TEST_P(EngineKindTest, SupersededRunIssuesNoMoreOrders) {
  AgentRun old_run(m_engine, 10);
  old_run.SetTarget(m_now, 1, "v1");
  old_run.Run(m_now, 3);
  old_run.rollout.OnSuperseded(m_now);
  old_run.SetTarget(m_now, 2, "v2");
  old_run.Run(m_now, 10);
  EXPECT_EQ(old_run.order_count, 1);
  EXPECT_EQ(m_engine.running, "v1");
}

TEST_P(EngineKindTest, UnansweredOrderKeepsTheGateClosed) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  agent.Run(m_now, 100);
  // The engine still runs "v1" but may execute the order at any time.
  EXPECT_FALSE(agent.gate_open);
  EXPECT_EQ(agent.gate_openings, 1);
  EXPECT_GT(agent.order_count, 2);
  agent.hold_orders = false;
  agent.Run(m_now, 200);
  EXPECT_EQ(m_engine.running, "v2");
  EXPECT_TRUE(agent.gate_open);
}

TEST_P(EngineKindTest, OrderWithUnknownOutcomeKeepsTheGateClosed) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  agent.Run(m_now, 1);
  ASSERT_TRUE(agent.last_order.has_value());
  agent.rollout.OnOrderResult(m_now, agent.last_order->fence,
                              OrderResult::kUnanswered);
  agent.Run(m_now, 1);
  // The engine reports "v1" but may still load "v2".
  EXPECT_FALSE(agent.gate_open);
}

// Guards against a gate that opens on the former version because a later order
// failed, while an earlier one is unanswered and may still be executed.
TEST_P(EngineKindTest, FailedOrderIsNoAnswerToAnEarlierOne) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.Run(m_now, 10);
  agent.EndOrder(m_now, OrderResult::kFailed);
  agent.Run(m_now, 1);
  EXPECT_EQ(m_engine.running, "v1");
  EXPECT_FALSE(agent.gate_open);
}

// Guards against a gate that opens because the endpoint runs the version of the
// last order, although it did so before that order and an earlier order for
// another version is unanswered.
TEST_P(EngineKindTest, UnansweredOrderForTheRunningVersionProvesNothing) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.SetTarget(m_now, 3, "v1");
  agent.Run(m_now, 10);
  EXPECT_EQ(agent.last_order->manifest_digest, "v1");
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.Run(m_now, 1);
  EXPECT_FALSE(agent.gate_open);
}

// Guards against an instance that stays out of service after a rollback to the
// version that its endpoint runs, because nothing replaces the unanswered
// order.
TEST_P(EngineKindTest, RollbackReplacesAnUnansweredOrder) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  const OrderLoad unanswered = *agent.last_order;
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.hold_orders = false;
  agent.SetTarget(m_now, 3, "v1");
  agent.Run(m_now, 10);
  EXPECT_TRUE(agent.gate_open);
  EXPECT_EQ(m_engine.running, "v1");
  ASSERT_TRUE(agent.last_order.has_value());
  EXPECT_EQ(agent.last_order->manifest_digest, "v1");
  EXPECT_GT(agent.last_order->fence.order, unanswered.fence.order);
}

// Guards against an instance that stays out of service because no order is ever
// answered, although the endpoint has executed the last one.
TEST_P(EngineKindTest, VisibleEffectAnswersTheOrdersBefore) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.SetTarget(m_now, 3, "v3");
  agent.Run(m_now, 10);
  m_engine.Load(*agent.last_order);
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.Run(m_now, 1);
  EXPECT_EQ(m_engine.running, "v3");
  EXPECT_TRUE(agent.gate_open);
}

// Guards against a gate that opens after a restart of the endpoint although the
// order without an answer reached the process that has just started.
TEST_P(EngineKindTest, RestartBeforeAnUnansweredOrderDoesNotAbortIt) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  m_engine.Restart();
  m_engine.running = "v1";
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  agent.Run(m_now, 1);
  EXPECT_FALSE(agent.gate_open);
}

// Guards against a read-back that failed and passes for a status of the process
// before.
TEST_P(EngineKindTest, MissedStatusBeforeTheRestartProvesNothing) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  m_engine.reachable = false;
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  m_engine.Restart();
  m_engine.running = "v1";
  m_engine.reachable = true;
  agent.Run(m_now, 1);
  EXPECT_FALSE(agent.gate_open);
}

// Guards against an instance that stays out of service although the process to
// which the unanswered order was given has ended.
TEST_P(EngineKindTest, RestartAfterAnUnansweredOrderAbortsIt) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  agent.hold_orders = true;
  agent.SetTarget(m_now, 2, "v2");
  agent.EndOrder(m_now, OrderResult::kUnanswered);
  m_engine.Restart();
  m_engine.running = "v1";
  agent.Run(m_now, 1);
  EXPECT_TRUE(agent.gate_open);
}

TEST_P(EngineKindTest, ServesAgainWithoutAnOrderAfterTheEngineWasUnreachable) {
  AgentRun agent(m_engine, 10);
  agent.SetTarget(m_now, 1, "v1");
  agent.Run(m_now, 3);
  RolloutPeer peer;
  peer.instance = "other";
  peer.accepted_revision = 1;
  agent.rollout.OnWeightsComplete(m_now, "v2");
  agent.rollout.OnPeers(m_now, {peer, peer, peer});
  agent.rollout.OnDocument(m_now, 2, DocumentOf("v2"));
  m_engine.reachable = false;
  agent.Run(m_now, 5);
  EXPECT_FALSE(agent.gate_open);
  EXPECT_EQ(agent.published.running_digest, "");
  m_engine.reachable = true;
  agent.Run(m_now, 5);
  // The others have not accepted revision 2, so it is not the turn of this
  // instance. It serves "v1" again without an order.
  EXPECT_TRUE(agent.gate_open);
  EXPECT_EQ(agent.order_count, 1);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EngineKindTest,
                         testing::Bool(),
                         [](const auto& info) {
                           return info.param ? "RefusesOldFences"
                                             : "IgnoresFences";
                         });

TEST(FencingTest, EngineRefusesALateOrderOfAnOlderRun) {
  Engine engine(true);
  kernel::Time now{std::chrono::hours(1)};
  AgentRun old_run(engine, 10);
  old_run.hold_orders = true;
  old_run.SetTarget(now, 1, "v1");
  old_run.Run(now, 2);
  ASSERT_TRUE(old_run.last_order.has_value());
  AgentRun new_run(engine, 11);
  new_run.SetTarget(now, 1, "v1");
  new_run.Run(now, 3);
  new_run.SetTarget(now, 2, "v2");
  new_run.Run(now, 3);
  EXPECT_EQ(engine.Load(*old_run.last_order), OrderResult::kRefusedOldFence);
  EXPECT_EQ(engine.running, "v2");
}

TEST(FencingTest, ReplacesAVersionLoadedByAnotherParty) {
  Engine engine(false);
  kernel::Time now{std::chrono::hours(1)};
  AgentRun agent(engine, 10);
  agent.SetTarget(now, 1, "v1");
  agent.Run(now, 3);
  engine.running = "other";
  agent.Run(now, 1);
  EXPECT_NE(agent.published.running_digest, "other");
  agent.Run(now, 3);
  EXPECT_EQ(engine.running, "v1");
  EXPECT_TRUE(agent.gate_open);
}

TEST(FencingTest, RefusedRunWaitsForANewDocumentRevision) {
  Engine engine(true);
  kernel::Time now{std::chrono::hours(1)};
  AgentRun later(engine, 20);
  later.SetTarget(now, 1, "v1");
  later.Run(now, 3);
  engine.running.clear();
  AgentRun earlier(engine, 10);
  earlier.SetTarget(now, 1, "v1");
  earlier.Run(now, 30);
  EXPECT_EQ(earlier.order_count, 1);
  EXPECT_NE(earlier.rollout.Explain().find("refused"), std::string::npos);
  earlier.SetTarget(now, 2, "v1");
  earlier.Run(now, 10);
  EXPECT_EQ(engine.running, "v1");
}

}  // namespace
}  // namespace radishrudder::rollout
