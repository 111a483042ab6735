// What an entry does when attempts fail: at most once, true refusals, whole
// answers.
#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

// How one attempt ends.
enum class Ending { kRefused, kNotSent, kBroken, kMalformed, kNoProof, kError };

struct AttemptCase {
  const char* name;
  RouteKind kind;
  bool resumable;
  Ending ending;
  bool sent_again;
  int status;  // Without a second attempt.
};

class AttemptEndingTest : public EntryFixture,
                          public testing::WithParamInterface<AttemptCase> {
 protected:
  void End(CallId call, Ending ending) {
    if (ending == Ending::kNotSent) {
      m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kNotSent);
      return;
    }
    m_entry.OnSending(m_now, call);
    EndpointAnswer answer = Good(call, 200);
    switch (ending) {
      case Ending::kRefused:
        m_entry.OnAnswerHead(m_now, call, NotRun());
        break;
      case Ending::kBroken:
        m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
        break;
      case Ending::kMalformed:
        m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kMalformed);
        break;
      case Ending::kNoProof:
        answer.has_proof = false;
        m_entry.OnAnswerHead(m_now, call, answer);
        break;
      case Ending::kError:
        m_entry.OnAnswerHead(m_now, call, Good(call, 500));
        m_entry.OnAnswerEnd(m_now, call);
        break;
      case Ending::kNotSent:
        break;
    }
  }
};

TEST_P(AttemptEndingTest, DecidesWhetherAnotherMayFollow) {
  RouteRule route = Route(GetParam().kind, GetParam().resumable);
  Begin(route);
  const CallId call = Call();
  const auto first = Take<SendAttempt>();
  ASSERT_EQ(first.size(), 1U);
  End(call, GetParam().ending);
  const auto second = Take<SendAttempt>();
  EXPECT_EQ(second.size(), GetParam().sent_again ? 1U : 0U);
  if (GetParam().sent_again) {
    EXPECT_NE(second.front().endpoint_id, first.front().endpoint_id);
  } else {
    EXPECT_EQ(WholeStatus(), GetParam().status);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AttemptEndingTest,
    testing::Values(AttemptCase{"RefusedOnce", RouteKind::kOnce, false,
                                Ending::kRefused, true, 0},
                    AttemptCase{"NotSentOnce", RouteKind::kOnce, false,
                                Ending::kNotSent, true, 0},
                    AttemptCase{"BrokenOnce", RouteKind::kOnce, false,
                                Ending::kBroken, false, 502},
                    AttemptCase{"MalformedOnce", RouteKind::kOnce, false,
                                Ending::kMalformed, false, 502},
                    AttemptCase{"NoProofOnce", RouteKind::kOnce, false,
                                Ending::kNoProof, false, 502},
                    AttemptCase{"ErrorOnce", RouteKind::kOnce, false,
                                Ending::kError, false, 500},
                    AttemptCase{"BrokenIdempotent", RouteKind::kIdempotent,
                                false, Ending::kBroken, true, 0},
                    AttemptCase{"NoProofIdempotent", RouteKind::kIdempotent,
                                false, Ending::kNoProof, true, 0},
                    AttemptCase{"ErrorIdempotent", RouteKind::kIdempotent,
                                false, Ending::kError, true, 0},
                    AttemptCase{"BrokenStream", RouteKind::kStream, false,
                                Ending::kBroken, false, 502},
                    AttemptCase{"BrokenResumable", RouteKind::kStream, true,
                                Ending::kBroken, true, 0}),
    [](const auto& info) { return info.param.name; });

class AttemptsTest : public EntryFixture {};

// The promise "not run" holds for all attempts together.
TEST_F(AttemptsTest, RefusalAfterAnUnknownOutcomeIsNoPromise) {
  Begin(Route(RouteKind::kIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
  m_entry.OnSending(m_now, call);
  m_entry.OnAnswerHead(m_now, call, NotRun());
  EXPECT_EQ(WholeStatus(), 502);
}

TEST_F(AttemptsTest, AllRefusedIsAPromise) {
  Begin(Route(RouteKind::kOnce, false));
  const CallId call = Call();
  for (int i = 0; i < 2; ++i) {
    m_entry.OnSending(m_now, call);
    m_entry.OnAnswerHead(m_now, call, NotRun());
  }
  EXPECT_EQ(WholeStatus(), 503);
}

struct Promise {
  const char* name;
  int status;
};

class PromiseTest : public EntryFixture,
                    public testing::WithParamInterface<Promise> {};

// A status that promises "not run" without the endpoint's own word for it is
// not passed on.
TEST_P(PromiseTest, IsNotPassedOnUnconfirmed) {
  Begin(Route(RouteKind::kOnce, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnAnswerHead(m_now, call, Good(call, GetParam().status));
  EXPECT_EQ(WholeStatus(), 502);
}

INSTANTIATE_TEST_SUITE_P(All,
                         PromiseTest,
                         testing::Values(Promise{"Timeout", 408},
                                         Promise{"TooMany", 429},
                                         Promise{"Unavailable", 503}),
                         [](const auto& info) { return info.param.name; });

// A late answer to an abandoned request, on a kept connection.
TEST_F(AttemptsTest, AnswerToAnotherRequestIsSkipped) {
  Begin(Route(RouteKind::kOnce, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  EndpointAnswer other = Good(call, 200);
  other.attempt_id = "id-of-another";
  EXPECT_EQ(m_entry.OnAnswerHead(m_now, call, other), AnswerVerdict::kForeign);
  EXPECT_EQ(m_entry.OnAnswerHead(m_now, call, Good(call, 200)),
            AnswerVerdict::kMine);
  m_entry.OnAnswerBody(m_now, call, "whole");
  m_entry.OnAnswerEnd(m_now, call);
  const auto replies = Take<ReplyWhole>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().body, "whole");
}

TEST_F(AttemptsTest, AnswerThatBreaksOffIsNotShownAsWhole) {
  Begin(Route(RouteKind::kOnce, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnAnswerHead(m_now, call, Good(call, 200));
  m_entry.OnAnswerBody(m_now, call, "ha");
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
  EXPECT_EQ(WholeStatus(), 502);
}

TEST_F(AttemptsTest, SilentEndpointEndsAtTheDeadline) {
  Begin(Route(RouteKind::kOnce, false));
  const CallId call = Call("key-1", "/a/b", milliseconds(1000));
  m_entry.OnSending(m_now, call);
  Pass(milliseconds(900));
  EXPECT_EQ(WholeStatus(), 0);
  Pass(milliseconds(150));
  EXPECT_EQ(Take<CancelAttempt>().size(), 1U);
  EXPECT_EQ(WholeStatus(), 504);
}

// Seen with links that became so narrow that a request took three seconds to
// its endpoint: callers left before it ran.
TEST_F(AttemptsTest, SilentEndpointGetsNoMoreCallsUntilItSpeaks) {
  Begin(Route(RouteKind::kOnce, false), 2);
  const CallId stuck = Call();
  const std::string silent = Take<SendAttempt>().front().endpoint_id;
  m_entry.OnSending(m_now, stuck);
  Pass(milliseconds(600));
  m_entry.OnConfirmed(m_boot);
  for (int i = 0; i < 4; ++i) {
    Call();
    const auto sent = Take<SendAttempt>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_NE(sent.front().endpoint_id, silent);
  }
  m_entry.OnAnswerHead(m_now, stuck, Good(stuck, 200));
  m_entry.OnAnswerEnd(m_now, stuck);
  Pass(milliseconds(25));
  bool chosen = false;
  for (int i = 0; i < 20 && !chosen; ++i) {
    Call();
    const auto sent = Take<SendAttempt>();
    chosen = !sent.empty() && sent.front().endpoint_id == silent;
  }
  EXPECT_TRUE(chosen);
}

// One that answers nothing looks idle; it must not draw calls for that.
TEST_F(AttemptsTest, SilentEndpointIsTriedByOneCallAtATime) {
  Begin(Route(RouteKind::kOnce, false), 1);
  m_entry.OnSending(m_now, Call("key-1", "/a/b", milliseconds(700)));
  Pass(milliseconds(600));
  Pass(milliseconds(200));
  Take<SendAttempt>();
  EXPECT_EQ(m_entry.CallsInProgress(), 0U);
  m_entry.OnConfirmed(m_boot);
  Call();
  EXPECT_TRUE(Take<SendAttempt>().empty());
  Pass(milliseconds(2100));
  m_entry.OnConfirmed(m_boot);
  m_entry.OnSending(m_now, Call());
  EXPECT_EQ(Take<SendAttempt>().size(), 1U);
  Call();
  EXPECT_TRUE(Take<SendAttempt>().empty());
}

// Seen in hunts (scale-2 of both sites, GONE): calls that tried an endpoint
// behind a squeezed link were stuck on the way until their callers had left.
TEST_F(AttemptsTest, SilentEndpointIsTriedMoreAndMoreSeldom) {
  Begin(Route(RouteKind::kOnce, false), 1);
  std::vector<milliseconds> tries;
  for (milliseconds passed{0}; passed < milliseconds(30000);
       passed += milliseconds(100)) {
    m_entry.OnConfirmed(m_boot);
    const CallId call = Call("key-1", "/a/b", milliseconds(700));
    if (!Take<SendAttempt>().empty()) {
      m_entry.OnSending(m_now, call);
      tries.push_back(passed);
    }
    Pass(milliseconds(100));
  }
  // Those of the first moments came before it was known to be silent.
  const auto rests = [&tries](milliseconds least) {
    std::size_t count = 0;
    for (std::size_t i = 1; i < tries.size(); ++i) {
      count += tries[i] - tries[i - 1] >= least ? 1 : 0;
    }
    return count;
  };
  EXPECT_GE(rests(milliseconds(2000)), 3U);
  EXPECT_GE(rests(milliseconds(4000)), 2U);
  EXPECT_GE(rests(milliseconds(8000)), 1U);
}

// Seen on a day on which a machine stood still for seconds: what it wakes up
// to is handled before its timers are.
TEST_F(AttemptsTest, NothingIsSentAgainAfterTheDeadline) {
  Begin(Route(RouteKind::kIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  Take<SendAttempt>();
  m_now += std::chrono::seconds(8);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
  EXPECT_TRUE(Take<SendAttempt>().empty());
  EXPECT_EQ(WholeStatus(), 502);
}

TEST_F(AttemptsTest, CallerThatLeavesEndsTheWork) {
  Begin(Route(RouteKind::kStream, true));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnCallerGone(m_now, call);
  EXPECT_EQ(Take<CancelAttempt>().size(), 1U);
  EXPECT_EQ(m_entry.CallsInProgress(), 0U);
}

// All endpoints failing must not multiply the load.
TEST_F(AttemptsTest, RetriesStayWithinTheBudget) {
  Begin(Route(RouteKind::kIdempotent, false));
  std::size_t attempts = 0;
  constexpr int kCalls = 400;
  for (int i = 0; i < kCalls; ++i) {
    const CallId call = Call();
    while (true) {
      const auto sent = Take<SendAttempt>();
      if (sent.empty()) {
        break;
      }
      ++attempts;
      m_entry.OnSending(m_now, call);
      m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
    }
    Pass(milliseconds(10));
  }
  const EntrySettings settings;
  EXPECT_LE(static_cast<double>(attempts),
            kCalls * (1 + settings.retry_share) + settings.retries_saved);
}

class StreamTest : public EntryFixture {
 protected:
  // A stream whose first event has come.
  CallId BeginStream(bool resumable) {
    Begin(Route(RouteKind::kStream, resumable));
    const CallId call = Call();
    m_first = Take<SendAttempt>().front().endpoint_id;
    m_entry.OnSending(m_now, call);
    EndpointAnswer answer = Good(call, 200);
    answer.version = 3;
    m_entry.OnAnswerHead(m_now, call, answer);
    EXPECT_TRUE(Take<ReplyBegin>().empty());
    m_entry.OnAnswerBody(m_now, call, "id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(Take<ReplyBegin>().size(), 1U);
    EXPECT_EQ(Parts(), "id: 1\ndata: a\n\n");
    return call;
  }
  std::string Parts() {
    std::string data;
    for (const ReplyPart& part : Take<ReplyPart>()) {
      data += part.data;
    }
    return data;
  }
  std::string m_first;
};

TEST_F(StreamTest, GoesOnElsewhereAfterTheLastWholeEvent) {
  const CallId call = BeginStream(true);
  // Only endpoints on the same version may go on.
  std::vector<ListedEndpoint> listed{MakeEndpoint("1"), MakeEndpoint("2"),
                                     MakeEndpoint("3")};
  for (ListedEndpoint& endpoint : listed) {
    endpoint.model_version = endpoint.id == m_first ? 3 : 0;
  }
  const std::string other = m_first == "2" ? "3" : "2";
  for (ListedEndpoint& endpoint : listed) {
    if (endpoint.id == other) {
      endpoint.model_version = 3;
    }
  }
  m_entry.OnEndpoints(m_now, listed);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
  const auto sent = Take<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().endpoint_id, other);
  EXPECT_EQ(sent.front().last_event_id, 1U);
  EXPECT_EQ(sent.front().expected_version, 3U);
  m_entry.OnSending(m_now, call);
  m_entry.OnAnswerHead(m_now, call, Good(call, 200));
  m_entry.OnAnswerBody(m_now, call, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  m_entry.OnAnswerEnd(m_now, call);
  EXPECT_EQ(Parts(), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Take<ReplyEnd>().size(), 1U);
}

TEST_F(StreamTest, BreaksOffVisiblyWhereItMayNotGoOn) {
  const CallId call = BeginStream(false);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kBroken);
  EXPECT_TRUE(Take<SendAttempt>().empty());
  EXPECT_EQ(Take<ReplyAbort>().size(), 1U);
}

TEST_F(StreamTest, EndInsideAnEventIsNoEnd) {
  const CallId call = BeginStream(false);
  m_entry.OnAnswerEnd(m_now, call);
  EXPECT_TRUE(Take<ReplyEnd>().empty());
  EXPECT_EQ(Take<ReplyAbort>().size(), 1U);
}

TEST_F(StreamTest, HangingEndpointIsLeftForAnother) {
  Begin(Route(RouteKind::kStream, true));
  const CallId call = Call();
  Take<SendAttempt>();
  m_entry.OnSending(m_now, call);
  Pass(milliseconds(1500));
  EXPECT_TRUE(Take<SendAttempt>().empty());
  Pass(milliseconds(200));
  EXPECT_EQ(Take<CancelAttempt>().size(), 1U);
  EXPECT_EQ(Take<SendAttempt>().size(), 1U);
}

}  // namespace
}  // namespace radishrudder::direct
