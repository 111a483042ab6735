// What an entry does when attempts fail. Calls that are not repeatable are
// executed at most once, a status that implies "not executed" is only sent if
// it is true, and an incomplete response is never presented as complete.
#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

// How one attempt ends.
enum class Ending {
  kRefused,
  kNotSent,
  kBroken,
  kMalformed,
  kUnsigned,
  kError
};

struct AttemptCase {
  const char* name;
  RouteKind kind;
  bool resumable;
  Ending ending;
  bool sent_again;
  int status;  // Sent to the caller without a second attempt.
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
    EndpointResponse response = SignedResponse(call, 200);
    switch (ending) {
      case Ending::kRefused:
        m_entry.OnResponseHead(m_now, call, NotExecutedResponse());
        break;
      case Ending::kBroken:
        m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
        break;
      case Ending::kMalformed:
        m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kMalformed);
        break;
      case Ending::kUnsigned:
        response.has_signature = false;
        m_entry.OnResponseHead(m_now, call, response);
        break;
      case Ending::kError:
        m_entry.OnResponseHead(m_now, call, SignedResponse(call, 500));
        m_entry.OnResponseEnd(m_now, call);
        break;
      case Ending::kNotSent:
        break;
    }
  }
};

TEST_P(AttemptEndingTest, RetriesOnlyIfAllowed) {
  RouteRule route = Route(GetParam().kind, GetParam().resumable);
  Start(route);
  const CallId call = Call();
  const auto first = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(first.size(), 1U);
  End(call, GetParam().ending);
  const auto second = TakeOutputsOf<SendAttempt>();
  EXPECT_EQ(second.size(), GetParam().sent_again ? 1U : 0U);
  if (GetParam().sent_again) {
    EXPECT_NE(second.front().endpoint_id, first.front().endpoint_id);
  } else {
    EXPECT_EQ(ResponseStatus(), GetParam().status);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AttemptEndingTest,
    testing::Values(AttemptCase{"RefusedOnce", RouteKind::kNonIdempotent, false,
                                Ending::kRefused, true, 0},
                    AttemptCase{"NotSentOnce", RouteKind::kNonIdempotent, false,
                                Ending::kNotSent, true, 0},
                    AttemptCase{"BrokenOnce", RouteKind::kNonIdempotent, false,
                                Ending::kBroken, false, 502},
                    AttemptCase{"MalformedOnce", RouteKind::kNonIdempotent,
                                false, Ending::kMalformed, false, 502},
                    AttemptCase{"UnsignedOnce", RouteKind::kNonIdempotent,
                                false, Ending::kUnsigned, false, 502},
                    AttemptCase{"ErrorOnce", RouteKind::kNonIdempotent, false,
                                Ending::kError, false, 500},
                    AttemptCase{"BrokenIdempotent", RouteKind::kIdempotent,
                                false, Ending::kBroken, true, 0},
                    AttemptCase{"UnsignedIdempotent", RouteKind::kIdempotent,
                                false, Ending::kUnsigned, true, 0},
                    AttemptCase{"ErrorIdempotent", RouteKind::kIdempotent,
                                false, Ending::kError, true, 0},
                    AttemptCase{"BrokenStream", RouteKind::kStream, false,
                                Ending::kBroken, false, 502},
                    AttemptCase{"BrokenResumable", RouteKind::kStream, true,
                                Ending::kBroken, true, 0}),
    [](const auto& info) { return info.param.name; });

struct ResponderCase {
  const char* name;
  EndpointResponse response;
  bool echoes_attempt;  // With the id of the attempt that it responds to.
  bool shows_that_endpoint_lives;
};

class ResponderTest : public EntryFixture,
                      public testing::WithParamInterface<ResponderCase> {};

// Guards against crashes being withdrawn because something else responds at the
// address of an endpoint that ended.
TEST_P(ResponderTest, WithdrawsCrashOnlyIfTheEndpointResponds) {
  Start(Route(RouteKind::kNonIdempotent, false), 1);
  for (const char* endpoint : {"2", "3", "4"}) {
    AdvanceTime(milliseconds(400));
    m_entry.OnEndpoints(m_now, {MakeEndpoint(endpoint)});
    const CallId crashing = Call("key-1", "/a/crashing");
    m_entry.OnSending(m_now, crashing);
    AdvanceTime(milliseconds(50));
    m_entry.OnAttemptFailed(m_now, crashing, AttemptFailure::kInterrupted);
    AdvanceTime(milliseconds(10));
    const CallId other = Call("key-1", "/a/other");
    m_entry.OnSending(m_now, other);
    EndpointResponse response = GetParam().response;
    if (GetParam().echoes_attempt) {
      response.attempt_id = "id-" + std::to_string(other);
    }
    m_entry.OnResponseHead(m_now, other, response);
    m_entry.OnResponseEnd(m_now, other);
  }
  m_entry.OnEndpoints(m_now, {MakeEndpoint("5")});
  TakeOutputsOf<SendAttempt>();
  Call("key-1", "/a/crashing");
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(),
            GetParam().shows_that_endpoint_lives ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ResponderTest,
    testing::Values(
        ResponderCase{"Answer",
                      {.status = 200, .has_signature = true},
                      true,
                      true},
        ResponderCase{"Refusal",
                      {.status = 503, .not_executed = true},
                      true,
                      true},
        ResponderCase{
            "OtherEndpoint",
            {.status = 421, .not_executed = true, .wrong_endpoint = true},
            true,
            false},
        // Names no endpoint, so that it may be another one.
        ResponderCase{
            "Misdirected",
            {.status = 421, .not_executed = true, .wrong_version = true},
            true,
            false},
        ResponderCase{"Unidentified", {.status = 502}, false, false},
        ResponderCase{"UnidentifiedRefusal", {.status = 503}, false, false}),
    [](const auto& test) { return test.param.name; });

struct ShortStreamCase {
  const char* name;
  bool delimited;
  int events;
  bool harmless;
};

class ShortStreamTest : public EntryFixture,
                        public testing::WithParamInterface<ShortStreamCase> {
 protected:
  CallId SendTo(const char* endpoint) {
    AdvanceTime(milliseconds(400));
    m_entry.OnEndpoints(m_now, {MakeEndpoint(endpoint)});
    const CallId call = Call("key-1", "/a/short");
    m_entry.OnSending(m_now, call);
    return call;
  }
  void Break(const char* endpoint) {
    const CallId call = SendTo(endpoint);
    AdvanceTime(milliseconds(50));
    m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  }
};

// Guards against a request being blocked although its answers are complete, but
// too short to show by their number of events that it is harmless.
TEST_P(ShortStreamTest, CompleteAnswerEndsSuspicion) {
  Start(Route(RouteKind::kStream, false), 1);
  Break("2");
  Break("3");
  const CallId call = SendTo("4");
  EndpointResponse response = SignedResponse(call, 200);
  response.delimited = GetParam().delimited;
  m_entry.OnResponseHead(m_now, call, response);
  for (int event = 1; event <= GetParam().events; ++event) {
    m_entry.OnResponseBody(m_now, call,
                           "id: " + std::to_string(event) + "\ndata: a\n\n");
  }
  m_entry.OnResponseEnd(m_now, call);
  Break("5");
  TakeOutputsOf<SendAttempt>();
  SendTo("6");
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), GetParam().harmless ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ShortStreamTest,
    testing::Values(ShortStreamCase{"TwoEvents", true, 2, true},
                    ShortStreamCase{"NoEvent", true, 0, false},
                    // Ends like one whose endpoint has crashed.
                    ShortStreamCase{"EndsWithItsConnection", false, 2, false},
                    ShortStreamCase{"ManyEvents", false, 4, true}),
    [](const auto& test) { return test.param.name; });

class AttemptsTest : public EntryFixture {};

// "Not executed" must hold for all attempts of the call.
TEST_F(AttemptsTest, RespondsBadGatewayWhenRefusalFollowsUnknownOutcome) {
  Start(Route(RouteKind::kIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, NotExecutedResponse());
  EXPECT_EQ(ResponseStatus(), 502);
}

TEST_F(AttemptsTest, RespondsUnavailableWhenAllAttemptsAreRefused) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call();
  for (int i = 0; i < 2; ++i) {
    m_entry.OnSending(m_now, call);
    m_entry.OnResponseHead(m_now, call, NotExecutedResponse());
  }
  EXPECT_EQ(ResponseStatus(), 503);
}

struct StatusCase {
  const char* name;
  int status;
};

class UnconfirmedStatusTest : public EntryFixture,
                              public testing::WithParamInterface<StatusCase> {};

// A status that implies "not executed" is not passed on unless the endpoint
// confirms it.
TEST_P(UnconfirmedStatusTest, UnconfirmedStatusIsNotPassedOn) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, GetParam().status));
  EXPECT_EQ(ResponseStatus(), 502);
}

INSTANTIATE_TEST_SUITE_P(All,
                         UnconfirmedStatusTest,
                         testing::Values(StatusCase{"Timeout", 408},
                                         StatusCase{"TooMany", 429},
                                         StatusCase{"Unavailable", 503}),
                         [](const auto& info) { return info.param.name; });

// A late response to an abandoned request can arrive on a reused connection.
TEST_F(AttemptsTest, SkipsResponseToAnotherRequest) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  EndpointResponse other = SignedResponse(call, 200);
  other.attempt_id = "id-of-another";
  EXPECT_EQ(m_entry.OnResponseHead(m_now, call, other), ResponseVerdict::kSkip);
  EXPECT_EQ(m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200)),
            ResponseVerdict::kAccept);
  m_entry.OnResponseBody(m_now, call, "whole");
  m_entry.OnResponseEnd(m_now, call);
  const auto replies = TakeOutputsOf<SendResponse>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().body, "whole");
}

// Guards against an earlier refusal that an endpoint writes once more on a kept
// connection: the caller is told that a request was not executed which runs.
TEST_F(AttemptsTest, SkipsRefusalOfAnotherRequest) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  TakeOutputsOf<SendAttempt>();
  EndpointResponse earlier = NotExecutedResponse();
  earlier.attempt_id = "id-of-another";
  EXPECT_EQ(m_entry.OnResponseHead(m_now, call, earlier),
            ResponseVerdict::kSkip);
  EXPECT_TRUE(TakeOutputsOf<SendResponse>().empty());
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
}

// The same without the attempt id, which endpoints echo in their responses.
TEST_F(AttemptsTest, DoesNotBelieveRefusalWithoutAttemptId) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  EndpointResponse earlier;
  earlier.status = 503;
  earlier.not_executed = true;
  m_entry.OnResponseHead(m_now, call, earlier);
  EXPECT_EQ(ResponseStatus(), 502);
}

TEST_F(AttemptsTest, RespondsBadGatewayWhenResponseIsTruncated) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call, "ha");
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_EQ(ResponseStatus(), 502);
}

TEST_F(AttemptsTest, RespondsGatewayTimeoutWhenEndpointIsUnresponsive) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const CallId call = Call("key-1", "/a/b", milliseconds(1000));
  m_entry.OnSending(m_now, call);
  AdvanceTime(milliseconds(900));
  EXPECT_EQ(ResponseStatus(), 0);
  AdvanceTime(milliseconds(150));
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(ResponseStatus(), 504);
}

// A link can become so slow that a request takes 3 seconds to reach its
// endpoint and its caller disconnects before the request is executed.
TEST_F(AttemptsTest, UnresponsiveEndpointGetsNoCallsUntilItResponds) {
  Start(Route(RouteKind::kNonIdempotent, false), 2);
  const CallId stuck = Call();
  const std::string unresponsive =
      TakeOutputsOf<SendAttempt>().front().endpoint_id;
  m_entry.OnSending(m_now, stuck);
  AdvanceTime(milliseconds(600));
  m_entry.OnConfigurationConfirmed(m_boot);
  for (int i = 0; i < 4; ++i) {
    Call();
    const auto sent = TakeOutputsOf<SendAttempt>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_NE(sent.front().endpoint_id, unresponsive);
  }
  m_entry.OnResponseHead(m_now, stuck, SignedResponse(stuck, 200));
  m_entry.OnResponseEnd(m_now, stuck);
  AdvanceTime(milliseconds(25));
  bool chosen = false;
  for (int i = 0; i < 20 && !chosen; ++i) {
    Call();
    const auto sent = TakeOutputsOf<SendAttempt>();
    chosen = !sent.empty() && sent.front().endpoint_id == unresponsive;
  }
  EXPECT_TRUE(chosen);
}

// An unresponsive endpoint looks idle and must not attract calls because of
// that.
TEST_F(AttemptsTest, ProbesUnresponsiveEndpointWithOneCallAtATime) {
  Start(Route(RouteKind::kNonIdempotent, false), 1);
  m_entry.OnSending(m_now, Call("key-1", "/a/b", milliseconds(700)));
  AdvanceTime(milliseconds(600));
  AdvanceTime(milliseconds(200));
  TakeOutputsOf<SendAttempt>();
  EXPECT_EQ(m_entry.CallsInProgress(), 0U);
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  AdvanceTime(milliseconds(2100));
  m_entry.OnConfigurationConfirmed(m_boot);
  m_entry.OnSending(m_now, Call());
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
}

// Calls that probe an endpoint behind a throttled link are stuck on the way
// until their callers have disconnected (scale-2 of both sites, GONE).
TEST_F(AttemptsTest, ProbesUnresponsiveEndpointWithIncreasingBackoff) {
  Start(Route(RouteKind::kNonIdempotent, false), 1);
  std::vector<milliseconds> attempt_times;
  for (milliseconds passed{0}; passed < milliseconds(30000);
       passed += milliseconds(100)) {
    m_entry.OnConfigurationConfirmed(m_boot);
    const CallId call = Call("key-1", "/a/b", milliseconds(700));
    if (!TakeOutputsOf<SendAttempt>().empty()) {
      m_entry.OnSending(m_now, call);
      attempt_times.push_back(passed);
    }
    AdvanceTime(milliseconds(100));
  }
  // The first attempts start before the endpoint counts as unresponsive.
  const auto backoffs = [&attempt_times](milliseconds minimum) {
    std::size_t count = 0;
    for (std::size_t i = 1; i < attempt_times.size(); ++i) {
      count += attempt_times[i] - attempt_times[i - 1] >= minimum ? 1 : 0;
    }
    return count;
  };
  EXPECT_GE(backoffs(milliseconds(2000)), 3U);
  EXPECT_GE(backoffs(milliseconds(4000)), 2U);
  EXPECT_GE(backoffs(milliseconds(8000)), 1U);
}

// After a machine was suspended for seconds, pending network events are handled
// before expired timers.
TEST_F(AttemptsTest, DoesNotRetryAfterDeadline) {
  Start(Route(RouteKind::kIdempotent, false));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  TakeOutputsOf<SendAttempt>();
  m_now += std::chrono::seconds(8);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  EXPECT_EQ(ResponseStatus(), 502);
}

TEST_F(AttemptsTest, CancelsAttemptWhenCallerDisconnects) {
  Start(Route(RouteKind::kStream, true));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnCallerDisconnected(m_now, call);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(m_entry.CallsInProgress(), 0U);
}

// Retries must not multiply the load when all endpoints fail.
TEST_F(AttemptsTest, RetriesStayWithinBudget) {
  Start(Route(RouteKind::kIdempotent, false));
  std::size_t attempts = 0;
  constexpr int kCalls = 400;
  for (int i = 0; i < kCalls; ++i) {
    const CallId call = Call();
    while (true) {
      const auto sent = TakeOutputsOf<SendAttempt>();
      if (sent.empty()) {
        break;
      }
      ++attempts;
      m_entry.OnSending(m_now, call);
      m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
    }
    AdvanceTime(milliseconds(10));
  }
  const EntrySettings settings;
  EXPECT_LE(static_cast<double>(attempts),
            kCalls * (1 + settings.retry_budget_ratio) +
                settings.maximum_saved_retries);
}

class StreamTest : public EntryFixture {
 protected:
  // Starts a stream whose first event has arrived.
  CallId StartStream(bool resumable) {
    Start(Route(RouteKind::kStream, resumable));
    const CallId call = Call();
    m_first_endpoint = TakeOutputsOf<SendAttempt>().front().endpoint_id;
    m_entry.OnSending(m_now, call);
    EndpointResponse response = SignedResponse(call, 200);
    response.version = 3;
    m_entry.OnResponseHead(m_now, call, response);
    EXPECT_TRUE(TakeOutputsOf<StartResponse>().empty());
    m_entry.OnResponseBody(m_now, call, "id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(TakeOutputsOf<StartResponse>().size(), 1U);
    EXPECT_EQ(BodyData(), "id: 1\ndata: a\n\n");
    return call;
  }
  std::string BodyData() {
    std::string data;
    for (const SendResponseBody& part : TakeOutputsOf<SendResponseBody>()) {
      data += part.data;
    }
    return data;
  }
  std::string m_first_endpoint;
};

TEST_F(StreamTest, ResumesOnAnotherEndpointAfterLastCompleteEvent) {
  const CallId call = StartStream(true);
  // Only endpoints with the same version may continue the stream.
  std::vector<ListedEndpoint> listed{MakeEndpoint("1"), MakeEndpoint("2"),
                                     MakeEndpoint("3")};
  for (ListedEndpoint& endpoint : listed) {
    endpoint.model_version = endpoint.id == m_first_endpoint ? 3 : 0;
  }
  const std::string other = m_first_endpoint == "2" ? "3" : "2";
  for (ListedEndpoint& endpoint : listed) {
    if (endpoint.id == other) {
      endpoint.model_version = 3;
    }
  }
  m_entry.OnEndpoints(m_now, listed);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  const auto sent = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().endpoint_id, other);
  EXPECT_EQ(sent.front().last_event_id, 1U);
  EXPECT_EQ(sent.front().expected_version, 3U);
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  m_entry.OnResponseEnd(m_now, call);
  EXPECT_EQ(BodyData(), "id: 2\ndata: b\n\n");
  EXPECT_EQ(TakeOutputsOf<FinishResponse>().size(), 1U);
}

class StreamErrorTest : public StreamTest,
                        public testing::WithParamInterface<StatusCase> {};

// Guards against an endpoint's error within a stream that another endpoint
// began, and against a stream that ends as complete after it.
TEST_P(StreamErrorTest, AbortsStreamThatNextEndpointsAnswerWithAnError) {
  const CallId call = StartStream(true);
  std::vector<ListedEndpoint> listed{MakeEndpoint("1"), MakeEndpoint("2"),
                                     MakeEndpoint("3")};
  for (ListedEndpoint& endpoint : listed) {
    endpoint.model_version = 3;  // That of the stream.
  }
  m_entry.OnEndpoints(m_now, listed);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  ASSERT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  m_entry.OnSending(m_now, call);
  if (m_entry.OnResponseHead(m_now, call,
                             SignedResponse(call, GetParam().status)) ==
      ResponseVerdict::kAccept) {
    m_entry.OnResponseBody(m_now, call, "{\"error\": \"busy\"}\n\n");
    m_entry.OnResponseEnd(m_now, call);
  }
  EXPECT_EQ(BodyData(), "");
  EXPECT_TRUE(TakeOutputsOf<FinishResponse>().empty());
  EXPECT_TRUE(TakeOutputsOf<SendResponse>().empty());
  EXPECT_EQ(TakeOutputsOf<AbortResponse>().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Errors,
                         StreamErrorTest,
                         testing::Values(StatusCase{"Redirect", 302},
                                         StatusCase{"BadRequest", 400},
                                         StatusCase{"NotFound", 404},
                                         StatusCase{"TooMany", 429},
                                         StatusCase{"Internal", 500},
                                         StatusCase{"BadGateway", 502},
                                         StatusCase{"Unavailable", 503},
                                         StatusCase{"Timeout", 504}),
                         [](const auto& info) { return info.param.name; });

TEST_F(StreamTest, AbortsResponseWhenStreamIsNotResumable) {
  const CallId call = StartStream(false);
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  EXPECT_EQ(TakeOutputsOf<AbortResponse>().size(), 1U);
}

TEST_F(StreamTest, AbortsResponseWhenStreamEndsInsideEvent) {
  const CallId call = StartStream(false);
  m_entry.OnResponseEnd(m_now, call);
  EXPECT_TRUE(TakeOutputsOf<FinishResponse>().empty());
  EXPECT_EQ(TakeOutputsOf<AbortResponse>().size(), 1U);
}

// Guards against a stalled stream that lasts because bytes which complete no
// event still arrive.
TEST_F(StreamTest, BytesWithoutAnEventAreNoProgress) {
  const CallId call = StartStream(true);
  for (int i = 0; i < 17; ++i) {
    AdvanceTime(milliseconds(100));
    m_entry.OnResponseBody(m_now, call, "x");
  }
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
}

// Guards against a slow stream that is sound being taken for a stalled one.
TEST_F(StreamTest, SlowEventsAreProgress) {
  const CallId call = StartStream(true);
  m_entry.OnResponseBody(m_now, call, "ta: b\n\n");
  for (int i = 3; i < 5; ++i) {
    AdvanceTime(milliseconds(1500));
    m_entry.OnResponseBody(m_now, call,
                           "id: " + std::to_string(i) + "\ndata: c\n\n");
  }
  EXPECT_TRUE(TakeOutputsOf<CancelAttempt>().empty());
}

// Guards against an event without end that fills the memory.
TEST_F(StreamTest, EventWithoutEndEndsTheAttempt) {
  const CallId call = StartStream(false);
  for (int i = 0; i < 40; ++i) {
    m_entry.OnResponseBody(m_now, call, std::string(65536, 'x'));
  }
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(TakeOutputsOf<AbortResponse>().size(), 1U);
}

TEST_F(StreamTest, RetriesOnAnotherEndpointWhenStreamStalls) {
  Start(Route(RouteKind::kStream, true));
  const CallId call = Call();
  TakeOutputsOf<SendAttempt>();
  m_entry.OnSending(m_now, call);
  AdvanceTime(milliseconds(1500));
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  AdvanceTime(milliseconds(200));
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
}

// Guards against an endpoint that is taken for silent, or blamed, because its
// answer is not read while the caller takes nothing.
class CallerBehindTest : public EntryFixture,
                         public testing::WithParamInterface<bool> {};

TEST_P(CallerBehindTest, AttemptOfSlowCallerGoesOn) {
  const bool behind = GetParam();
  Start(Route(RouteKind::kStream, /*resumable=*/true));
  const CallId call = Call();
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call, "id: 1\ndata: a\n\n");
  TakeOutputsOf<SendAttempt>();
  m_entry.OnCallerBehind(call, behind);
  for (int i = 0; i < 20; ++i) {
    AdvanceTime(milliseconds(100));
  }
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), behind ? 0U : 1U);
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), behind ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(All, CallerBehindTest, testing::Bool());

// Guards against healthy endpoints being ejected by callers that do not read
// their answers before the deadline.
TEST_F(EntryFixture, EndpointsAreNotBlamedForSlowCallers) {
  Start(Route(RouteKind::kIdempotent, /*resumable=*/false), /*endpoints=*/1);
  for (int i = 0; i < 20; ++i) {
    const CallId call = Call();
    ASSERT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
    m_entry.OnSending(m_now, call);
    m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
    m_entry.OnResponseBody(m_now, call, std::string(1U << 20U, 'a'));
    m_entry.OnCallerBehind(call, /*behind=*/true);
    for (int tick = 0; tick < 70; ++tick) {
      AdvanceTime(milliseconds(100));
    }
    EXPECT_EQ(TakeOutputsOf<AbortResponse>().size(), 1U);
    m_entry.OnConfigurationConfirmed(m_boot);
  }
}

// Guards against answers of many calls that together fill the memory: the more
// calls are in progress, the less is held of each.
class AnswerLimitTest : public EntryFixture {
 protected:
  AnswerLimitTest() : EntryFixture({.answer_memory = kMemory}) {}

  static constexpr std::size_t kMemory = 1U << 20U;
};

TEST_F(AnswerLimitTest, IsDividedBetweenCalls) {
  Start(Route(RouteKind::kIdempotent, /*resumable=*/false));
  constexpr std::size_t kCalls = 8;
  for (std::size_t i = 0; i < kCalls; ++i) {
    EXPECT_LE(i * m_entry.AnswerLimit(), kMemory);
    Call();
  }
  EXPECT_EQ(m_entry.AnswerLimit(), kMemory / kCalls);
}

}  // namespace
}  // namespace radishrudder::direct
