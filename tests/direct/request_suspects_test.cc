#include <gtest/gtest.h>

#include "radishrudder/direct/crash_suspects.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;
using SuspectRequests = CrashSuspects<RequestSignature>;
using Digests = std::vector<std::string>;

class RequestSuspectsTest : public testing::Test {
 protected:
  // An endpoint ends, a moment later than the one before.
  void Crash(const Digests& digests) {
    AdvanceTime(milliseconds(400));
    m_suspects.OnBroken(digests, {NextRun(), m_now, m_now - milliseconds(60)});
  }
  std::string NextRun() { return "i-" + std::to_string(++m_runs) + "/1"; }
  void AdvanceTime(milliseconds time) { m_now += time; }
  bool IsBlocked(const Digests& digests) const {
    return !m_suspects.FindBlocked(m_now, digests).empty();
  }
  void Tell(const SuspectRequests& from, SuspectRequests& to) const {
    for (const SuspectEvidence& item : from.Evidence(m_now)) {
      to.Merge(m_now, item);
    }
  }

  // As between processes: a report carries ages, which the receiver counts
  // from its arrival, so that what it tells of appears to be later.
  void TellLate(const SuspectRequests& from, SuspectRequests& to) {
    std::vector<SuspectEvidence> report = from.Evidence(m_now);
    AdvanceTime(kTransit);
    for (SuspectEvidence& item : report) {
      for (CrashSighting& crash : item.crashes) {
        crash.seen_at += kTransit;
        crash.began_at += kTransit;
      }
      if (item.cleared_at) {
        *item.cleared_at += kTransit;
      }
      to.Merge(m_now, item);
    }
  }

  static constexpr milliseconds kTransit{5};
  SuspectRequests m_suspects{CrashSuspectSettings{}};
  SuspectRequests m_other{CrashSuspectSettings{}};
  kernel::Time m_now{std::chrono::hours(1)};
  int m_runs = 0;
};

// Guards against a request that was answered once crashing endpoints for as
// long as that answer is remembered.
TEST_F(RequestSuspectsTest, CountsCrashesAfterAnAnswer) {
  Crash({"r"});
  m_suspects.OnAnswered(m_now, Digests{"r"});
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(IsBlocked({"r"}));
    Crash({"r"});
  }
  EXPECT_TRUE(IsBlocked({"r"}));
}

// Guards against a request that is often in progress beside the crashing one
// being blocked with it.
TEST_F(RequestSuspectsTest, AnswerExcusesEarlierCrashes) {
  for (int i = 0; i < 10; ++i) {
    Crash({"bad"});
    m_suspects.OnBroken(
        Digests{"popular"},
        {"i-" + std::to_string(m_runs) + "/1", m_now, m_now - milliseconds(9)});
    m_suspects.OnAnswered(m_now, Digests{"popular"});
  }
  EXPECT_FALSE(IsBlocked({"popular"}));
  EXPECT_FALSE(m_suspects.IsSuspicious(m_now, Digests{"popular"}));
  EXPECT_TRUE(IsBlocked({"bad"}));
}

// Guards against the digest of each request being computed for the rest of the
// process's life once a single call has broken off.
TEST_F(RequestSuspectsTest, IsEmptyAgainWhenEvidenceIsOld) {
  Crash({"r"});
  Crash({"answered"});
  m_suspects.OnResponded("i-0/1", m_now);
  m_suspects.OnAnswered(m_now, Digests{"answered"});
  AdvanceTime(std::chrono::minutes(5));
  m_suspects.OnTick(m_now);
  EXPECT_FALSE(m_suspects.IsEmpty());
  const std::uint64_t revision = m_suspects.Revision();
  AdvanceTime(std::chrono::minutes(5));
  m_suspects.OnTick(m_now);
  EXPECT_TRUE(m_suspects.IsEmpty());
  EXPECT_EQ(m_suspects.Size(), 0U);
  EXPECT_EQ(m_suspects.Revision(), revision);
}

TEST_F(RequestSuspectsTest, RemembersNoAnswerToWhatIsNotSuspected) {
  for (int i = 0; i < 100; ++i) {
    m_suspects.OnAnswered(m_now, Digests{std::to_string(i)});
  }
  EXPECT_EQ(m_suspects.Size(), 0U);
  EXPECT_EQ(m_suspects.Revision(), 0U);
}

// Guards against connections that are reset being taken for crashes: the
// endpoints behind them go on.
TEST_F(RequestSuspectsTest, ResponseOfTheSameRunWithdrawsItsCrash) {
  for (int i = 0; i < 3; ++i) {
    Crash({"slow"});
  }
  EXPECT_TRUE(IsBlocked({"slow"}));
  AdvanceTime(milliseconds(10));
  // An answer to an attempt from before the break proves nothing.
  m_suspects.OnResponded("i-2/1", m_now - milliseconds(1000));
  EXPECT_TRUE(IsBlocked({"slow"}));
  m_suspects.OnResponded("i-2/1", m_now);
  EXPECT_FALSE(IsBlocked({"slow"}));
}

// Guards against a withdrawn crash coming back from another entry.
TEST_F(RequestSuspectsTest, WithdrawnCrashIsNotLearnedAgain) {
  for (int i = 0; i < 3; ++i) {
    Crash({"slow"});
  }
  Tell(m_suspects, m_other);
  AdvanceTime(milliseconds(10));
  for (int i = 1; i <= 3; ++i) {
    m_suspects.OnResponded("i-" + std::to_string(i) + "/1", m_now);
  }
  const std::uint64_t revision = m_suspects.Revision();
  Tell(m_other, m_suspects);
  EXPECT_FALSE(IsBlocked({"slow"}));
  EXPECT_EQ(m_suspects.Revision(), revision);
}

// Guards against an endpoint that starts again under the same id withdrawing
// the crash of its run before, under which it is still listed.
TEST_F(RequestSuspectsTest, LateResponseMayBeOfTheNextRun) {
  for (int i = 0; i < 3; ++i) {
    Crash({"bad"});
  }
  AdvanceTime(milliseconds(3500));
  m_suspects.OnResponded("i-3/1", m_now);
  m_suspects.OnResponded("i-3/1", m_now + milliseconds(100));
  EXPECT_TRUE(IsBlocked({"bad"}));
  Tell(m_suspects, m_other);
  EXPECT_FALSE(m_other.FindBlocked(m_now, Digests{"bad"}).empty());
}

// Guards against a withdrawn crash coming back when its run goes on for longer
// than an endpoint takes to start again.
TEST_F(RequestSuspectsTest, RunThatRespondsAgainAndAgainGoesOn) {
  for (int i = 0; i < 3; ++i) {
    Crash({"slow"});
  }
  Tell(m_suspects, m_other);
  for (int second = 0; second < 20; ++second) {
    AdvanceTime(milliseconds(1000));
    m_suspects.OnResponded("i-3/1", m_now);
    Tell(m_other, m_suspects);
    EXPECT_FALSE(IsBlocked({"slow"}));
  }
}

// Guards against an old answer, told again and again by another entry, erasing
// what was seen after it.
TEST_F(RequestSuspectsTest, ToldAnswerExcusesEarlierCrashesOnly) {
  Crash({"r"});
  Tell(m_suspects, m_other);
  m_other.OnAnswered(m_now, Digests{"r"});
  for (int i = 0; i < 3; ++i) {
    Crash({"r"});
    Tell(m_other, m_suspects);
  }
  EXPECT_TRUE(IsBlocked({"r"}));
  Tell(m_suspects, m_other);
  EXPECT_FALSE(m_other.FindBlocked(m_now, Digests{"r"}).empty());
  const std::uint64_t settled = m_suspects.Revision() + m_other.Revision();
  Tell(m_suspects, m_other);
  Tell(m_other, m_suspects);
  EXPECT_EQ(m_suspects.Revision() + m_other.Revision(), settled);
}

// Guards against entries passing on one answer to each other without end, for
// it appears to be later at each of them.
TEST_F(RequestSuspectsTest, LateReportsOfAnAnswerAreNoNews) {
  Crash({"r"});
  TellLate(m_suspects, m_other);
  m_suspects.OnAnswered(m_now, Digests{"r"});
  TellLate(m_suspects, m_other);
  TellLate(m_other, m_suspects);
  const std::uint64_t settled = m_suspects.Revision() + m_other.Revision();
  for (int i = 0; i < 200; ++i) {
    TellLate(m_suspects, m_other);
    TellLate(m_other, m_suspects);
  }
  EXPECT_EQ(m_suspects.Revision() + m_other.Revision(), settled);
}

// Guards against an old answer excusing crashes that came after it, once it has
// been told to and fro for some time.
TEST_F(RequestSuspectsTest, LateReportsDoNotDelayAnAnswer) {
  Crash({"r"});
  TellLate(m_suspects, m_other);
  m_suspects.OnAnswered(m_now, Digests{"r"});
  for (int i = 0; i < 3; ++i) {
    AdvanceTime(milliseconds(1000));
    Crash({"r"});
    for (int k = 0; k < 200; ++k) {
      TellLate(m_suspects, m_other);
      TellLate(m_other, m_suspects);
    }
  }
  EXPECT_TRUE(IsBlocked({"r"}));
}

// Guards against an answer never being told to the others because earlier ones
// fill the reports.
TEST_F(RequestSuspectsTest, LatestAnswersAreToldFirst) {
  for (int i = 0; i < 200; ++i) {
    const Digests earlier{"a-" + std::to_string(i)};
    Crash(earlier);
    m_suspects.OnAnswered(m_now, earlier);
  }
  for (int i = 0; i < 3; ++i) {
    Crash({"z"});
  }
  Tell(m_suspects, m_other);
  EXPECT_FALSE(m_other.FindBlocked(m_now, Digests{"z"}).empty());
  m_suspects.OnAnswered(m_now, Digests{"z"});
  Tell(m_suspects, m_other);
  EXPECT_TRUE(m_other.FindBlocked(m_now, Digests{"z"}).empty());
}

// Guards against memory and reports that grow with the number of requests that
// break off, and against such a flood pushing out what is blocked.
TEST_F(RequestSuspectsTest, FloodOfRequestsIsBoundedAndKeepsTheBlockedOne) {
  for (int i = 0; i < 3; ++i) {
    Crash({"bad"});
  }
  for (int i = 0; i < 20000; ++i) {
    m_suspects.OnBroken(Digests{"own-" + std::to_string(i)},
                        {"i-x/1", m_now, m_now - milliseconds(60)});
  }
  EXPECT_TRUE(IsBlocked({"bad"}));
  EXPECT_LE(m_suspects.Size(), 1024U);
  const std::vector<SuspectEvidence> evidence = m_suspects.Evidence(m_now);
  EXPECT_LE(evidence.size(), 128U);
  EXPECT_EQ(evidence.front().signature, "bad");
}

struct MomentCase {
  const char* name;
  milliseconds gap;             // Between the crashes.
  bool began_after_the_former;  // The attempt at the next endpoint.
  bool suspicious;
};

class CrashMomentTest : public testing::TestWithParam<MomentCase> {};

// Guards against the crash of a repetition being taken for a part of the first
// one, since it often follows within 100 ms; and against endpoints that end by
// one fault being counted one by one.
TEST_P(CrashMomentTest, CountsAttemptsOneAfterTheOther) {
  const kernel::Time first{std::chrono::hours(1)};
  const kernel::Time second = first + GetParam().gap;
  SuspectRequests suspects{CrashSuspectSettings{}};
  suspects.OnBroken(Digests{"r"}, {"i-1/1", first, first - milliseconds(80)});
  suspects.OnBroken(
      Digests{"r"},
      {"i-2/1", second,
       GetParam().began_after_the_former ? first : first - milliseconds(1)});
  EXPECT_EQ(suspects.IsSuspicious(second, Digests{"r"}), GetParam().suspicious);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CrashMomentTest,
    testing::Values(
        MomentCase{"RepetitionSoonAfter", milliseconds(80), true, true},
        MomentCase{"AtTheSameTime", milliseconds(80), false, false},
        MomentCase{"RepetitionInTheSameFault", milliseconds(20), true, false},
        MomentCase{"LongAfter", milliseconds(300), false, true}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace radishrudder::direct
