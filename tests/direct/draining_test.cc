// An entry that drains: which calls it still sends to endpoints.
#include <algorithm>
#include <ostream>

#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

constexpr milliseconds kServingTime{5000};
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;

class DrainingTest : public EntryFixture {
 protected:
  void SetUp() override {
    Start(Route(RouteKind::kStream, /*resumable=*/true));
  }

  void Drain() { m_entry.OnDrain(m_now, m_now + kServingTime); }
};

struct ArrivalCase {
  const char* name;
  milliseconds after_drain;
  milliseconds time_left;
  bool served;
};

void PrintTo(const ArrivalCase& arrival, std::ostream* out) {
  *out << arrival.name;
}

class ArrivalWhileDrainingTest
    : public DrainingTest,
      public testing::WithParamInterface<ArrivalCase> {};

// Guards against LOST on sb-quotes-large: a request that arrived while the
// entry drained was sent to an endpoint although the process might end before
// it.
TEST_P(ArrivalWhileDrainingTest, IsServedOrRefusedAtOnce) {
  Drain();
  AdvanceTime(GetParam().after_drain);
  m_entry.OnConfigurationConfirmed(m_boot);
  Call("key-1", "/a/b", GetParam().time_left);
  const auto responses = TakeOutputsOf<SendResponse>();
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), GetParam().served ? 1U : 0U);
  ASSERT_EQ(responses.size(), GetParam().served ? 0U : 1U);
  if (!GetParam().served) {
    EXPECT_EQ(responses.front().status, kUnavailable);
    EXPECT_EQ(responses.front().retry_after, milliseconds(0));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Arrivals,
    ArrivalWhileDrainingTest,
    testing::Values(
        ArrivalCase{"AtOnceShort", milliseconds(0), milliseconds(4900), true},
        ArrivalCase{"AtOnceLong", milliseconds(0), milliseconds(5100), false},
        ArrivalCase{"LateShort", milliseconds(3500), milliseconds(1400), true},
        ArrivalCase{"LateLong", milliseconds(3500), milliseconds(1600), false},
        ArrivalCase{"AtTheEnd", milliseconds(5000), milliseconds(100), false},
        ArrivalCase{"WithoutTimeLimitOfItsOwn", milliseconds(0),
                    milliseconds(3600000), false}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against a call that waits for a connection when the drain begins and
// is sent later, although it may outlive the process.
TEST_F(DrainingTest, RefusesCallThatIsNotSentYet) {
  const CallId call = Call();
  Drain();
  m_entry.OnSending(m_now, call);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(ResponseStatus(), kUnavailable);
}

// Guards against a call in progress that is refused as not executed, or given
// up, because it may outlive the process.
TEST_F(DrainingTest, KeepsCallsThatEndpointsRun) {
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  Drain();
  AdvanceTime(milliseconds(20));
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_TRUE(TakeOutputsOf<SendResponse>().empty());
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 2U);
}

struct FailureCase {
  const char* name;
  milliseconds time_left;  // Of the time that the entry serves.
  bool started = false;    // The caller has a part of the response.
  bool retried = false;
};

void PrintTo(const FailureCase& failure, std::ostream* out) {
  *out << failure.name;
}

class FailureWhileDrainingTest
    : public DrainingTest,
      public testing::WithParamInterface<FailureCase> {};

// Guards against a repeatable call that fails just before the process ends and
// is sent to another endpoint, which runs it for nothing.
TEST_P(FailureWhileDrainingTest, IsRetriedOnlyIfTimeIsLeft) {
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  if (GetParam().started) {
    m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
    m_entry.OnResponseBody(m_now, call, "id: 1\ndata: x\n\n");
  }
  Drain();
  m_now += kServingTime - GetParam().time_left;
  TakeOutputsOf<SendAttempt>();
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  const std::vector<Output> outputs = m_entry.TakeOutputs();
  const auto count = [&outputs](auto matches) {
    return std::ranges::count_if(outputs, matches);
  };
  EXPECT_EQ(count([](const Output& output) {
              return std::holds_alternative<SendAttempt>(output);
            }),
            GetParam().retried ? 1 : 0);
  EXPECT_EQ(count([](const Output& output) {
              const auto* response = std::get_if<SendResponse>(&output);
              return std::holds_alternative<AbortResponse>(output) ||
                     (response != nullptr && response->status == kBadGateway);
            }),
            GetParam().retried ? 0 : 1);
}

INSTANTIATE_TEST_SUITE_P(
    Failures,
    FailureWhileDrainingTest,
    testing::Values(
        FailureCase{"LittleTime", milliseconds(30)},
        FailureCase{"LittleTimeStarted", milliseconds(30), /*started=*/true},
        FailureCase{.name = "Enough",
                    .time_left = milliseconds(50),
                    .retried = true},
        FailureCase{"EnoughStarted", milliseconds(50), /*started=*/true,
                    /*retried=*/true},
        FailureCase{"AfterTheEnd", milliseconds(-50)}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against a silent endpoint whose call goes to another one just before
// the process ends.
TEST_F(DrainingTest, KeepsSilentAttemptIfLittleTimeIsLeft) {
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  Drain();
  m_now += kServingTime - milliseconds(30);
  TakeOutputsOf<SendAttempt>();
  m_entry.OnTick(m_now);
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  EXPECT_TRUE(TakeOutputsOf<CancelAttempt>().empty());
}

// Guards against a second attempt that cannot be sent, after which the response
// blames the call's own time limit although the entry ends.
TEST_F(DrainingTest, SaysThatItEndsIfLittleTimeIsLeftForAnotherConnection) {
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  Drain();
  m_now += kServingTime - milliseconds(500);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  m_now += milliseconds(470);
  TakeOutputsOf<SendAttempt>();
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kNotSent);
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  EXPECT_EQ(ResponseStatus(), kBadGateway);
}

// Guards against a first endpoint's refusal, after which the call is sent to
// another endpoint although it may outlive the process.
TEST_F(DrainingTest, RefusesCallThatAnEndpointRefused) {
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  Drain();
  m_entry.OnResponseHead(m_now, call, NotExecutedResponse());
  EXPECT_EQ(ResponseStatus(), kUnavailable);
}

// Guards against callers whose connection is closed without a response when the
// process ends, although none has started, and against one that says that a
// call was not executed which an endpoint runs.
TEST_F(DrainingTest, RespondsToUnfinishedCallsAtTheEnd) {
  const CallId unsent = Call();
  const CallId running = Call();
  m_entry.OnSending(m_now, running);
  const CallId streaming = Call();
  m_entry.OnSending(m_now, streaming);
  m_entry.OnResponseHead(m_now, streaming, SignedResponse(streaming, 200));
  m_entry.OnResponseBody(m_now, streaming, "id: 1\ndata: x\n\n");
  m_entry.EndCalls(m_now);
  const auto responses = TakeOutputsOf<SendResponse>();
  ASSERT_EQ(responses.size(), 2U);
  EXPECT_EQ(responses[0].call, unsent);
  EXPECT_EQ(responses[0].status, kUnavailable);
  EXPECT_EQ(responses[1].call, running);
  EXPECT_EQ(responses[1].status, kBadGateway);
  const auto aborted = TakeOutputsOf<AbortResponse>();
  ASSERT_EQ(aborted.size(), 1U);
  EXPECT_EQ(aborted.front().call, streaming);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 3U);
  EXPECT_EQ(m_entry.CallsInProgress(), 0U);
}

// Guards against calls that are accepted for longer than the process lives,
// because a later drain limit replaces an earlier one.
TEST_F(DrainingTest, KeepsEarliestLimit) {
  Drain();
  m_entry.OnDrain(m_now, m_now + 2 * kServingTime);
  Call("key-1", "/a/b", milliseconds(5100));
  EXPECT_EQ(ResponseStatus(), kUnavailable);
  m_entry.OnDrain(m_now, m_now + milliseconds(1000));
  Call("key-1", "/a/b", milliseconds(1100));
  EXPECT_EQ(ResponseStatus(), kUnavailable);
}

}  // namespace
}  // namespace radishrudder::direct
