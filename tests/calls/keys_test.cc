#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "call_fakes.h"
#include "radishrudder/calls/idempotency_key.h"
#include "radishrudder/calls/key_ledger.h"

namespace radishrudder::calls {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::string IssueKey(FakeService& service, CallId id) {
  service.Call(id, Request("POST", std::string(kIssueKeyTarget)));
  EXPECT_TRUE(service.ObservedAnswerOf(id).complete);
  return nlohmann::json::parse(service.ObservedAnswerOf(id).body)["key"];
}

CallRequest DepositRequest(const std::string& key,
                           const std::string& body = "{}") {
  CallRequest request = Request("POST", "/deposits");
  request.idempotency_key = key;
  request.body = body;
  return request;
}

const CallFailed& ExpectFailure(FakeService& service, CallId id) {
  static const CallFailed none;
  EXPECT_TRUE(service.ObservedAnswerOf(id).failure);
  return service.ObservedAnswerOf(id).failure
             ? *service.ObservedAnswerOf(id).failure
             : none;
}

TEST(KeysTest, RepeatReturnsRecordedAnswer) {
  FakeService service(3, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.Call(2, DepositRequest(key));
  const std::string agent = service.FirstBusyAgent();
  EXPECT_EQ(ParseIdempotencyKey(key)->agent.instance, agent);
  service.Answer(agent, "paid");
  service.Call(3, DepositRequest(key));
  EXPECT_TRUE(service.ObservedAnswerOf(3).complete);
  EXPECT_EQ(service.ObservedAnswerOf(3).body, "paid");
  EXPECT_EQ(service.executions, 1);
}

TEST(KeysTest, RepeatDuringCallReportsUnknownWithRetryAfter) {
  FakeService service(3, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.Call(2, DepositRequest(key));
  service.Call(3, DepositRequest(key));
  EXPECT_EQ(ExpectFailure(service, 3).outcome, wire::OUTCOME_UNKNOWN);
  EXPECT_EQ(ExpectFailure(service, 3).reason, wire::REFUSAL_KEY_IN_PROGRESS);
  EXPECT_GT(ExpectFailure(service, 3).retry_after.count(), 0);
}

TEST(KeysTest, RefusesKeyWithDifferentBody) {
  FakeService service(3, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.Call(2, DepositRequest(key, "10"));
  service.Answer(service.FirstBusyAgent(), "paid");
  service.Call(3, DepositRequest(key, "20"));
  EXPECT_EQ(ExpectFailure(service, 3).reason, wire::REFUSAL_KEY_BODY_MISMATCH);
  EXPECT_EQ(service.executions, 1);
}

TEST(KeysTest, KeyOfEarlierAgentRunReportsUnknown) {
  FakeService service(1, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.Call(2, DepositRequest(key));
  service.StartAgent("agent-1", 300);
  for (const CallId id : {CallId{3}, CallId{4}}) {
    service.Call(id, DepositRequest(key));
    EXPECT_EQ(ExpectFailure(service, id).outcome, wire::OUTCOME_UNKNOWN);
    EXPECT_EQ(service.executions, 1);
    service.UpdateEndpoints();
  }
}

TEST(KeysTest, ExpiredKeyReportsUnknown) {
  FakeService service(1, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.Tick(minutes(16));
  service.Call(2, DepositRequest(key));
  EXPECT_EQ(ExpectFailure(service, 2).outcome, wire::OUTCOME_UNKNOWN);
  EXPECT_EQ(service.executions, 0);
}

TEST(KeysTest, CallerGeneratedKeyIsRefusedWithIssuedKey) {
  FakeService service(3, PlainDocument());
  service.Call(1, DepositRequest("018f-caller"));
  EXPECT_EQ(ExpectFailure(service, 1).outcome, wire::OUTCOME_NOT_RUN);
  EXPECT_EQ(ExpectFailure(service, 1).reason, wire::REFUSAL_KEY_NOT_ACCEPTED);
  service.Call(2, DepositRequest(ExpectFailure(service, 1).issued_key));
  service.Answer(service.FirstBusyAgent(), "paid");
  EXPECT_TRUE(service.ObservedAnswerOf(2).complete);
}

TEST(KeysTest, CallerGeneratedKeyIsAcceptedOnIdempotentRoute) {
  FakeService service(3, PlainDocument());
  CallRequest request = Request("GET", "/stock");
  request.idempotency_key = "018f-caller";
  service.Call(1, request);
  service.Answer(service.FirstBusyAgent(), "3 left");
  EXPECT_TRUE(service.ObservedAnswerOf(1).complete);
}

// Guards against a call that runs twice: after a key is reported as not run,
// the caller may repeat the call with a new key, so a delayed copy of an
// earlier attempt with the old key must not run.
TEST(KeysTest, KeyReportedAsNotRunNeverRuns) {
  FakeService service(1, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.hold_messages_to_agents = true;
  service.Call(2, DepositRequest(key));
  const wire::Send late = service.held_messages.at(0);
  service.hold_messages_to_agents = false;
  service.Gate("agent-1").OnEndpointState(service.now, "", false);
  service.Call(3, DepositRequest(key));
  EXPECT_EQ(ExpectFailure(service, 3).outcome, wire::OUTCOME_NOT_RUN);
  service.Gate("agent-1").OnEndpointState(service.now, "", true);
  service.Gate("agent-1").OnMessage(service.now, {}, late.message);
  service.Deliver();
  EXPECT_EQ(service.executions, 0);
}

// The entry has no record of whether an earlier call with the key ran, so it
// must not report this one as not run.
TEST(KeysTest, SendFailureWithIssuedKeyReportsUnknown) {
  FakeService service(1, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.hold_messages_to_agents = true;
  service.Call(2, DepositRequest(key));
  service.Entry().OnSendFailed(service.now,
                               service.held_messages.at(0).message);
  service.Deliver();
  EXPECT_EQ(ExpectFailure(service, 2).outcome, wire::OUTCOME_UNKNOWN);
}

TEST(KeysTest, CallerDisconnectDoesNotCancelCallWithKey) {
  FakeService service(1, PlainDocument());
  const std::string key = IssueKey(service, 1);
  service.Call(2, DepositRequest(key));
  service.Entry().OnCallerDisconnected(service.now, 2);
  service.Deliver();
  EXPECT_EQ(service.cancellations, 0);
  service.Answer("agent-1", "paid");
  service.Call(3, DepositRequest(key));
  EXPECT_EQ(service.ObservedAnswerOf(3).body, "paid");
}

TEST(KeysTest, ParsesOnlyFormattedKeys) {
  const IdempotencyKey key{
      .agent = {"agent-1", 7}, .expires = kernel::Time(seconds(9)), .nonce = 5};
  const std::string text = Format(key);
  EXPECT_EQ(ParseIdempotencyKey(text)->agent, key.agent);
  EXPECT_EQ(ParseIdempotencyKey(text)->expires, key.expires);
  for (std::size_t cut = 0; cut + 7 < text.size(); ++cut) {
    EXPECT_FALSE(ParseIdempotencyKey(text.substr(0, cut))) << cut;
  }
  EXPECT_FALSE(ParseIdempotencyKey("rr1-000000000000000g-1-1-agent"));
}

TEST(KeyLedgerTest, DropsOldestAnswersButKeepsKeysWhenFull) {
  KeyLedger ledger(10);
  for (const char* const key : {"a", "b", "c"}) {
    ledger.Begin(key, "call", kernel::Time(seconds(60)));
    ledger.AddHead(key, {});
    ledger.AddData(key, "12345");
    ledger.End(key, true);
  }
  EXPECT_EQ(ledger.Find("a", "call"), KeyState::kExecuted);
  EXPECT_EQ(ledger.Find("b", "call"), KeyState::kRecorded);
  EXPECT_EQ(ledger.Bytes(), 10U);
  ledger.Expire(kernel::Time(seconds(60)));
  EXPECT_EQ(ledger.Size(), 0U);
  EXPECT_EQ(ledger.Bytes(), 0U);
}

}  // namespace
}  // namespace radishrudder::calls
