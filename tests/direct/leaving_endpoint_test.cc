// What an entry sends to an endpoint that says in its answers that it leaves.
#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

constexpr const char* kLeaving = "1";

struct LeavingCase {
  const char* name;
  RouteKind kind;
  EndpointResponse response;
  bool echoes_attempt;
};

class LeavingAnswerTest : public EntryFixture,
                          public testing::WithParamInterface<LeavingCase> {
 protected:
  // Endpoint 1 has one call in progress.
  CallId StartCall() {
    m_entry.OnEndpoints(m_now, {MakeEndpoint(kLeaving)});
    const CallId call = Call();
    m_entry.OnSending(m_now, call);
    TakeOutputsOf<SendAttempt>();
    return call;
  }
  void ListAll(std::uint64_t started = 1) {
    std::vector<ListedEndpoint> listed{MakeEndpoint(kLeaving),
                                       MakeEndpoint("2")};
    listed.front().started = started;
    m_entry.OnEndpoints(m_now, listed);
  }
  // Calls of twenty that go to endpoint 1.
  std::size_t CallsToLeaving() {
    std::size_t count = 0;
    for (int i = 0; i < 20; ++i) {
      const CallId call = Call();
      for (auto sends = TakeOutputsOf<SendAttempt>(); !sends.empty();
           sends = TakeOutputsOf<SendAttempt>()) {
        m_entry.OnSending(m_now, call);
        count += sends.front().endpoint_id == kLeaving ? 1 : 0;
        m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
        m_entry.OnResponseEnd(m_now, call);
      }
    }
    return count;
  }
  void AnswerAsLeaving(CallId call) {
    EndpointResponse response = GetParam().response;
    response.leaving = true;
    if (GetParam().echoes_attempt) {
      response.attempt_id = "id-" + std::to_string(call);
    }
    m_entry.OnResponseHead(m_now, call, response);
  }
};

// Guards against new calls at an endpoint that has said in an answer that it
// leaves, while the list, which lags or cannot be read, says that it is ready.
TEST_P(LeavingAnswerTest, EndpointGetsNoNewCalls) {
  Start(Route(GetParam().kind, false));
  const CallId call = StartCall();
  AnswerAsLeaving(call);
  m_entry.OnResponseEnd(m_now, call);
  m_entry.TakeOutputs();
  ListAll();
  EXPECT_EQ(CallsToLeaving(), 0U);
  // A listing that was missing for a time changes nothing.
  m_entry.OnEndpoints(m_now, {MakeEndpoint("2")});
  AdvanceTime(milliseconds(2500));
  m_entry.OnConfigurationConfirmed(m_boot);
  ListAll();
  EXPECT_EQ(CallsToLeaving(), 0U);
  // A new start of the endpoint does not leave.
  ListAll(/*started=*/2);
  EXPECT_GT(CallsToLeaving(), 0U);
}

// Guards against a call that waited for its connection meanwhile being sent to
// the endpoint, and against the end of calls that it is still working on.
TEST_P(LeavingAnswerTest, WaitingCallGoesElsewhereAndOthersGoOn) {
  Start(Route(GetParam().kind, false));
  const CallId working = StartCall();
  const CallId answered = StartCall();
  const CallId waiting = Call();
  ASSERT_EQ(TakeOutputsOf<SendAttempt>().front().endpoint_id, kLeaving);
  ListAll();
  AnswerAsLeaving(answered);
  m_entry.TakeOutputs();
  TakeOutputsOf<SendAttempt>();
  m_entry.OnSending(m_now, waiting);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  const auto again = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_NE(again.front().endpoint_id, kLeaving);
  EXPECT_EQ(
      m_entry.OnResponseHead(m_now, working, SignedResponse(working, 200)),
      ResponseVerdict::kAccept);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LeavingAnswerTest,
    testing::Values(LeavingCase{"Answer",
                                RouteKind::kIdempotent,
                                {.status = 200, .has_signature = true},
                                true},
                    LeavingCase{"HeadOfAStream",
                                RouteKind::kStream,
                                {.status = 200, .has_signature = true},
                                true},
                    LeavingCase{"Refusal",
                                RouteKind::kNonIdempotent,
                                {.status = 503, .not_executed = true},
                                false},
                    LeavingCase{"Error",
                                RouteKind::kNonIdempotent,
                                {.status = 500, .has_signature = true},
                                true},
                    LeavingCase{"AnswerThatIsNotPassedOn",
                                RouteKind::kNonIdempotent,
                                {.status = 200},
                                true}),
    [](const auto& test) { return std::string(test.param.name); });

}  // namespace
}  // namespace radishrudder::direct
