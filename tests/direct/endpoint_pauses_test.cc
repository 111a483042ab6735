// What an entry sends to an endpoint that answered 503 with the time for which
// it wants no requests.
#include <algorithm>

#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

// Calls that are on their way when the endpoint asks for a pause may reach it
// for this long.
constexpr milliseconds kArrivalTime{500};
constexpr milliseconds kCallInterval{50};
// Within this time after a pause, the endpoint is used again.
constexpr milliseconds kReturnTime{1000};

// Something that endpoint 1 does, or that is read of it.
struct PauseStep {
  enum class Kind { kAsksForPause, kFull, kUnlisted, kListed, kRestarted };
  milliseconds at;
  Kind kind;
  milliseconds pause{0};
};

struct PauseSeries {
  const char* name;
  std::vector<PauseStep> steps;
  milliseconds end;  // Of the last pause.
};

class PauseFixture : public EntryFixture {
 protected:
  static constexpr const char* kPaused = "1";

  // Makes `count` calls to endpoint 1, which stay in progress.
  void HoldCalls(std::size_t count) {
    m_entry.OnEndpoints(m_now, {MakeEndpoint(kPaused)});
    for (std::size_t i = 0; i < count; ++i) {
      m_held.push_back(Call());
      m_entry.OnSending(m_now, m_held.back());
    }
    TakeOutputsOf<SendAttempt>();
  }

  void ListAll() {
    m_entry.OnEndpoints(
        m_now, {MakeEndpoint(kPaused), MakeEndpoint("2"), MakeEndpoint("3")});
  }

  void Answer(CallId call) {
    m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
    m_entry.OnResponseEnd(m_now, call);
  }

  // Endpoint 1 answers one of its calls.
  void Refuse(std::optional<milliseconds> pause) {
    ASSERT_FALSE(m_held.empty());
    EndpointResponse response = NotExecutedResponse();
    response.requested_pause = pause;
    const CallId call = m_held.back();
    m_held.pop_back();
    m_entry.OnResponseHead(m_now, call, response);
  }

  void Take(const PauseStep& step) {
    std::vector<ListedEndpoint> listed{MakeEndpoint("2"), MakeEndpoint("3")};
    switch (step.kind) {
      case PauseStep::Kind::kAsksForPause:
        Refuse(step.pause);
        return;
      case PauseStep::Kind::kFull:
        Refuse(std::nullopt);
        return;
      case PauseStep::Kind::kUnlisted:
        break;
      case PauseStep::Kind::kListed:
        listed.push_back(MakeEndpoint(kPaused));
        break;
      case PauseStep::Kind::kRestarted:
        listed.push_back(MakeEndpoint(kPaused));
        listed.back().started = 2;
        break;
    }
    m_entry.OnEndpoints(m_now, listed);
  }

  // Carries out the attempts that the entry wants to make and returns those to
  // endpoint 1.
  std::size_t CarryOut() {
    std::size_t arrivals = 0;
    for (auto sends = TakeOutputsOf<SendAttempt>(); !sends.empty();
         sends = TakeOutputsOf<SendAttempt>()) {
      for (const SendAttempt& send : sends) {
        m_entry.OnSending(m_now, send.call);
        arrivals += send.endpoint_id == kPaused ? 1 : 0;
        Answer(send.call);
      }
    }
    return arrivals;
  }

  std::vector<CallId> m_held;
};

class PausedEndpointTest : public PauseFixture,
                           public testing::WithParamInterface<PauseSeries> {};

// Guards against an endpoint that has asked for a pause getting calls before
// its end: the time was not read, was cut to 2 s, was replaced by a shorter one
// or was forgotten while the endpoint was missing from the list.
TEST_P(PausedEndpointTest, GetsNoCallsUntilThePauseEnds) {
  const PauseSeries& series = GetParam();
  Start(Route(RouteKind::kNonIdempotent, false));
  // One for each answer: an endpoint with other calls that it does not answer
  // would count as unresponsive.
  HoldCalls(static_cast<std::size_t>(
      std::ranges::count_if(series.steps, [](const PauseStep& step) {
        return step.kind == PauseStep::Kind::kAsksForPause ||
               step.kind == PauseStep::Kind::kFull;
      })));
  ListAll();
  std::size_t early = 0;
  std::size_t late = 0;
  auto step = series.steps.begin();
  for (milliseconds at{0}; at < series.end + kReturnTime; at += kCallInterval) {
    while (step != series.steps.end() && step->at <= at) {
      Take(*step++);
    }
    CarryOut();
    Call();
    (at < series.end ? early : late) += at < kArrivalTime ? 0 : CarryOut();
    CarryOut();
    AdvanceTime(kCallInterval);
    m_entry.OnConfigurationConfirmed(m_boot);
  }
  EXPECT_EQ(early, 0U);
  EXPECT_GT(late, 0U);
}

using Kind = PauseStep::Kind;

INSTANTIATE_TEST_SUITE_P(
    All,
    PausedEndpointTest,
    testing::Values(
        PauseSeries{
            "Short",
            {{milliseconds(0), Kind::kAsksForPause, milliseconds(1500)}},
            milliseconds(1500)},
        PauseSeries{
            "Long",
            {{milliseconds(0), Kind::kAsksForPause, milliseconds(9000)}},
            milliseconds(9000)},
        PauseSeries{
            "ShorterOneFollows",
            {{milliseconds(0), Kind::kAsksForPause, milliseconds(6000)},
             {milliseconds(300), Kind::kAsksForPause, milliseconds(1000)}},
            milliseconds(6000)},
        PauseSeries{
            "LongerOneFollows",
            {{milliseconds(0), Kind::kAsksForPause, milliseconds(1000)},
             {milliseconds(300), Kind::kAsksForPause, milliseconds(4000)}},
            milliseconds(4300)},
        PauseSeries{"RefusalWithoutATimeFollows",
                    {{milliseconds(0), Kind::kAsksForPause, milliseconds(4000)},
                     {milliseconds(400), Kind::kFull}},
                    milliseconds(4000)},
        PauseSeries{"MissingFromTheList",
                    {{milliseconds(0), Kind::kAsksForPause, milliseconds(5000)},
                     {milliseconds(600), Kind::kUnlisted},
                     {milliseconds(1200), Kind::kListed}},
                    milliseconds(5000)},
        PauseSeries{"Restarted",
                    {{milliseconds(0), Kind::kAsksForPause, milliseconds(9000)},
                     {milliseconds(1000), Kind::kRestarted}},
                    milliseconds(1000)}),
    [](const auto& test) { return std::string(test.param.name); });

class PauseTest : public PauseFixture {};

// Guards against calls that waited for a connection when their endpoint asked
// for a pause being sent to it in the pause.
TEST_F(PauseTest, CallThatWaitsForAConnectionGoesElsewhere) {
  Start(Route(RouteKind::kNonIdempotent, false));
  HoldCalls(1);
  const CallId waiting = Call();
  ASSERT_EQ(TakeOutputsOf<SendAttempt>().front().endpoint_id, kPaused);
  ListAll();
  Refuse(milliseconds(5000));
  TakeOutputsOf<SendAttempt>();
  AdvanceTime(milliseconds(200));
  m_entry.OnSending(m_now, waiting);
  const auto cancelled = TakeOutputsOf<CancelAttempt>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled.front().call, waiting);
  const auto again = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_NE(again.front().endpoint_id, kPaused);
}

// Guards against callers waiting, or returning too early or all together, when
// every endpoint has asked for a pause.
TEST_F(PauseTest, RefusesAtOnceUntilRoomIsExpected) {
  Start(Route(RouteKind::kNonIdempotent, false), 1);
  HoldCalls(1);
  Refuse(milliseconds(4000));
  TakeOutputsOf<SendResponse>();
  AdvanceTime(milliseconds(1000));
  std::vector<milliseconds> returns;
  for (int i = 0; i < 100; ++i) {
    Call();
    EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
    const auto replies = TakeOutputsOf<SendResponse>();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front().status, 503);
    ASSERT_TRUE(replies.front().retry_after);
    returns.push_back(*replies.front().retry_after);
  }
  const auto [first, last] = std::ranges::minmax_element(returns);
  EXPECT_GE(*first, milliseconds(3000));
  EXPECT_GE(*last - *first, milliseconds(500));
  EXPECT_LE(*last, milliseconds(6000));
}

// Guards against everything that was held back reaching an endpoint at the end
// of its pause.
TEST_F(PauseTest, OneCallTriesTheEndpointAfterThePause) {
  Start(Route(RouteKind::kNonIdempotent, false), 1);
  HoldCalls(1);
  Refuse(milliseconds(2000));
  AdvanceTime(milliseconds(2010));
  for (int i = 0; i < 5; ++i) {
    Call();
  }
  const auto first = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(first.size(), 1U);
  m_entry.OnSending(m_now, first.front().call);
  Answer(first.front().call);
  for (int i = 0; i < 5; ++i) {
    Call();
  }
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 5U);
}

}  // namespace
}  // namespace radishrudder::direct
