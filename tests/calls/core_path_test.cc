#include <gtest/gtest.h>

#include "call_fakes.h"

namespace radishrudder::calls {
namespace {

using std::chrono::seconds;

TEST(CorePathTest, CompletesCallWithCompleteAnswer) {
  FakeService service(3, PlainDocument());
  service.Call(1, Request("POST", "/deposits"));
  ASSERT_EQ(service.executions, 1);
  service.Answer(service.FirstBusyAgent(), "paid");
  EXPECT_TRUE(service.ObservedAnswerOf(1).complete);
  EXPECT_EQ(service.ObservedAnswerOf(1).head->status, 200U);
  EXPECT_EQ(service.ObservedAnswerOf(1).body, "paid");
  EXPECT_EQ(service.Entry().CallsInProgress(), 0U);
}

TEST(CorePathTest, RetriesOnAnotherAgentAfterConfirmedRefusal) {
  FakeService service(3, PlainDocument());
  for (CallId id = 1; id <= 10; ++id) {
    service.Call(id, Request("POST", "/deposits"));
    service.Answer(service.FirstBusyAgent(), "paid");
  }
  service.Gate("agent-1").OnEndpointState(service.now, "", false);
  service.Gate("agent-2").OnEndpointState(service.now, "", false);
  service.Call(11, Request("POST", "/deposits"));
  ASSERT_EQ(service.FirstBusyAgent(), "agent-3");
  service.Answer("agent-3", "paid");
  EXPECT_TRUE(service.ObservedAnswerOf(11).complete);
  EXPECT_EQ(service.executions, 11);
}

TEST(CorePathTest, ReportsNotRunWhenEveryAgentRefuses) {
  FakeService service(3, PlainDocument());
  for (const char* const agent : {"agent-1", "agent-2", "agent-3"}) {
    service.Gate(agent).OnEndpointState(service.now, "", false);
  }
  service.Call(1, Request("POST", "/deposits"));
  ASSERT_TRUE(service.ObservedAnswerOf(1).failure);
  EXPECT_EQ(service.ObservedAnswerOf(1).failure->outcome,
            wire::OUTCOME_NOT_RUN);
  EXPECT_GT(service.ObservedAnswerOf(1).failure->retry_after.count(), 0);
  EXPECT_EQ(service.executions, 0);
}

TEST(CorePathTest, DrainRefusesNewCallsAndCompletesCallsInProgress) {
  FakeService service(3, PlainDocument());
  service.Call(1, Request("POST", "/deposits"));
  const std::string busy = service.FirstBusyAgent();
  service.Gate(busy).OnDrain(service.now);
  for (CallId id = 2; id <= 5; ++id) {
    service.Call(id, Request("POST", "/deposits"));
  }
  EXPECT_EQ(service.Running(busy).size(), 1U);
  EXPECT_EQ(service.executions, 5);
  service.Answer(busy, "paid");
  EXPECT_TRUE(service.ObservedAnswerOf(1).complete);
  EXPECT_EQ(service.Gate(busy).CallsInProgress(), 0U);

  service.Entry().OnDrain(service.now);
  service.Call(6, Request("POST", "/deposits"));
  ASSERT_TRUE(service.ObservedAnswerOf(6).failure);
  EXPECT_EQ(service.ObservedAnswerOf(6).failure->outcome,
            wire::OUTCOME_NOT_RUN);
  EXPECT_EQ(service.ObservedAnswerOf(6).failure->reason,
            wire::REFUSAL_DRAINING);
  EXPECT_EQ(service.Entry().CallsInProgress(), 4U);
}

// Guards against calls that are cut without a response when the drain limit is
// reached, although those that wait have certainly not run.
TEST(CorePathTest, EndRefusesWaitingCallsAndReportsUnknownForOthers) {
  FakeService service(1, PlainDocument());
  constexpr CallId kCalls = 6;
  for (CallId id = 1; id <= kCalls; ++id) {
    service.Call(id, Request("POST", "/deposits"));
  }
  const std::size_t waiting = service.Entry().CallsWaiting();
  ASSERT_GT(waiting, 0U);
  ASSERT_LT(waiting, kCalls);
  service.Entry().OnDrain(service.now);
  service.Entry().EndCalls(service.now);
  service.Deliver();
  std::size_t not_run = 0;
  for (CallId id = 1; id <= kCalls; ++id) {
    const auto& failure = service.ObservedAnswerOf(id).failure;
    ASSERT_TRUE(failure) << "call " << id;
    EXPECT_EQ(failure->reason, wire::REFUSAL_DRAINING);
    EXPECT_GT(failure->retry_after.count(), 0);
    not_run += failure->outcome == wire::OUTCOME_NOT_RUN ? 1 : 0;
  }
  EXPECT_EQ(not_run, waiting);
  EXPECT_EQ(service.Entry().CallsInProgress(), 0U);
  EXPECT_EQ(service.Entry().CallsWaiting(), 0U);
  EXPECT_GT(service.cancellations, 0);
}

TEST(CorePathTest, TimeoutReportsUnknownAndIgnoresLateAnswer) {
  FakeService service(3, PlainDocument());
  service.Call(1, Request("POST", "/deposits"));
  service.hold_messages_to_agents = true;  // The cancellation is lost.
  service.Entry().OnTick(service.now + seconds(10));
  service.Deliver();
  ASSERT_TRUE(service.ObservedAnswerOf(1).failure);
  EXPECT_EQ(service.ObservedAnswerOf(1).failure->outcome,
            wire::OUTCOME_UNKNOWN);
  service.Answer(service.FirstBusyAgent(), "paid");
  EXPECT_EQ(service.ObservedAnswerOf(1).outputs_after_end, 0U);
}

TEST(CorePathTest, CancelBeforeStartRefusesAttemptPermanently) {
  FakeService service(1, PlainDocument());
  service.hold_messages_to_agents = true;
  service.Call(1, Request("POST", "/deposits"));
  service.Entry().OnCallerDisconnected(service.now, 1);
  service.Deliver();
  ASSERT_EQ(service.held_messages.size(), 2U);
  AgentGate& gate = service.Gate("agent-1");
  gate.OnMessage(service.now, {}, service.held_messages[1].message);
  gate.OnMessage(service.now, {}, service.held_messages[0].message);
  for (int copy = 0; copy < 2; ++copy) {
    const auto outputs = gate.TakeOutputs();
    for (const GateOutput& output : outputs) {
      const auto& end = std::get<wire::Send>(output).message.attempt_end();
      EXPECT_EQ(end.outcome(), wire::OUTCOME_NOT_RUN);
    }
    EXPECT_EQ(outputs.empty(), copy > 0);
  }
}

}  // namespace
}  // namespace radishrudder::calls
