#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "call_fakes.h"
#include "radishrudder/calls/idempotency_key.h"
#include "radishrudder/calls/key_ledger.h"

namespace radishrudder::calls {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::string NewKey(FakeService& service, CallId id) {
  service.Call(id, Request("POST", std::string(kIssueKeyTarget)));
  EXPECT_TRUE(service.Seen(id).whole);
  return nlohmann::json::parse(service.Seen(id).body)["key"];
}

CallRequest Deposit(const std::string& key, const std::string& body = "{}") {
  CallRequest request = Request("POST", "/deposits");
  request.idempotency_key = key;
  request.body = body;
  return request;
}

const CallFailed& Failure(FakeService& service, CallId id) {
  static const CallFailed none;
  EXPECT_TRUE(service.Seen(id).failure);
  return service.Seen(id).failure ? *service.Seen(id).failure : none;
}

TEST(KeysTest, RepeatsGetTheRecordedAnswer) {
  FakeService service(3, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.Call(2, Deposit(key));
  const std::string agent = service.Busy();
  EXPECT_EQ(ParseIdempotencyKey(key)->agent.instance, agent);
  service.Answer(agent, "paid");
  service.Call(3, Deposit(key));
  EXPECT_TRUE(service.Seen(3).whole);
  EXPECT_EQ(service.Seen(3).body, "paid");
  EXPECT_EQ(service.executions, 1);
}

TEST(KeysTest, ARepeatInProgressIsUnknownAndComesBackLater) {
  FakeService service(3, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.Call(2, Deposit(key));
  service.Call(3, Deposit(key));
  EXPECT_EQ(Failure(service, 3).outcome, wire::OUTCOME_UNKNOWN);
  EXPECT_EQ(Failure(service, 3).reason, wire::REFUSAL_KEY_IN_PROGRESS);
  EXPECT_GT(Failure(service, 3).retry_after.count(), 0);
}

TEST(KeysTest, AnotherBodyWithTheSameKeyIsAnError) {
  FakeService service(3, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.Call(2, Deposit(key, "10"));
  service.Answer(service.Busy(), "paid");
  service.Call(3, Deposit(key, "20"));
  EXPECT_EQ(Failure(service, 3).reason, wire::REFUSAL_KEY_BODY_MISMATCH);
  EXPECT_EQ(service.executions, 1);
}

TEST(KeysTest, AKeyOfAnEarlierRunIsUnknown) {
  FakeService service(1, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.Call(2, Deposit(key));
  service.StartAgent("agent-1", 300);
  for (const CallId id : {CallId{3}, CallId{4}}) {
    service.Call(id, Deposit(key));
    EXPECT_EQ(Failure(service, id).outcome, wire::OUTCOME_UNKNOWN);
    EXPECT_EQ(service.executions, 1);
    service.ShareEndpoints();
  }
}

TEST(KeysTest, AnExpiredKeyIsUnknown) {
  FakeService service(1, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.Tick(minutes(16));
  service.Call(2, Deposit(key));
  EXPECT_EQ(Failure(service, 2).outcome, wire::OUTCOME_UNKNOWN);
  EXPECT_EQ(service.executions, 0);
}

TEST(KeysTest, ACallersOwnKeyIsRefusedWithOneToUse) {
  FakeService service(3, PlainDocument());
  service.Call(1, Deposit("018f-caller"));
  EXPECT_EQ(Failure(service, 1).outcome, wire::OUTCOME_NOT_RUN);
  EXPECT_EQ(Failure(service, 1).reason, wire::REFUSAL_KEY_NOT_ACCEPTED);
  service.Call(2, Deposit(Failure(service, 1).issued_key));
  service.Answer(service.Busy(), "paid");
  EXPECT_TRUE(service.Seen(2).whole);
}

TEST(KeysTest, ACallersOwnKeyPassesOnIdempotentRoutes) {
  FakeService service(3, PlainDocument());
  CallRequest request = Request("GET", "/stock");
  request.idempotency_key = "018f-caller";
  service.Call(1, request);
  service.Answer(service.Busy(), "3 left");
  EXPECT_TRUE(service.Seen(1).whole);
}

// A key reported as not run must stay so: a delayed copy of an earlier attempt
// must not run after the caller has gone on with a new key.
TEST(KeysTest, AKeyReportedNotRunNeverRuns) {
  FakeService service(1, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.hold_to_agents = true;
  service.Call(2, Deposit(key));
  const wire::Send late = service.held.at(0);
  service.hold_to_agents = false;
  service.Gate("agent-1").OnEndpointState(service.now, "", false);
  service.Call(3, Deposit(key));
  EXPECT_EQ(Failure(service, 3).outcome, wire::OUTCOME_NOT_RUN);
  service.Gate("agent-1").OnEndpointState(service.now, "", true);
  service.Gate("agent-1").OnMessage(service.now, {}, late.message);
  service.Deliver();
  EXPECT_EQ(service.executions, 0);
}

// The entry alone can't know whether an earlier call with the key ran.
TEST(KeysTest, AnUnsentCallWithAKeyIsUnknown) {
  FakeService service(1, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.hold_to_agents = true;
  service.Call(2, Deposit(key));
  service.Entry().OnSendFailed(service.now, service.held.at(0).message);
  service.Deliver();
  EXPECT_EQ(Failure(service, 2).outcome, wire::OUTCOME_UNKNOWN);
}

TEST(KeysTest, ACallerThatLeavesDoesNotCutACallWithAKey) {
  FakeService service(1, PlainDocument());
  const std::string key = NewKey(service, 1);
  service.Call(2, Deposit(key));
  service.Entry().OnCallerGone(service.now, 2);
  service.Deliver();
  EXPECT_EQ(service.cancels, 0);
  service.Answer("agent-1", "paid");
  service.Call(3, Deposit(key));
  EXPECT_EQ(service.Seen(3).body, "paid");
}

TEST(KeysTest, ParsesOnlyWhatItFormats) {
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

TEST(KeyLedgerTest, DropsTheOldestAnswersWhenFullButNoKey) {
  KeyLedger ledger(10);
  for (const char* const key : {"a", "b", "c"}) {
    ledger.Begin(key, "call", kernel::Time(seconds(60)));
    ledger.AddHead(key, {});
    ledger.AddData(key, "12345");
    ledger.End(key, true);
  }
  EXPECT_EQ(ledger.Find("a", "call"), KeyStanding::kRan);
  EXPECT_EQ(ledger.Find("b", "call"), KeyStanding::kRecorded);
  EXPECT_EQ(ledger.Bytes(), 10U);
  ledger.Expire(kernel::Time(seconds(60)));
  EXPECT_EQ(ledger.Size(), 0U);
  EXPECT_EQ(ledger.Bytes(), 0U);
}

}  // namespace
}  // namespace radishrudder::calls
