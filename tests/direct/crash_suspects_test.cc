#include "radishrudder/direct/crash_suspects.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;
using SuspectParts = CrashSuspects<PromptPartSignature>;

class CrashSuspectsTest : public testing::Test {
 protected:
  using Parts = std::vector<std::string>;

  // An endpoint ends, a moment later than the one before.
  void Crash(SuspectParts& suspects, const Parts& parts) {
    AdvanceTime(milliseconds(400));
    suspects.OnBroken(parts, Sighting("i-" + std::to_string(++m_runs) + "/1"));
  }
  void AdvanceTime(milliseconds time) { m_now += time; }
  // A crash at this moment of an attempt that began long ago.
  CrashSighting Sighting(std::string run) const {
    return {std::move(run), m_now, m_now - std::chrono::minutes(1)};
  }
  std::string_view Blocked(const SuspectParts& suspects, const Parts& parts) {
    return suspects.FindBlocked(m_now, parts);
  }
  void Tell(const SuspectParts& from, SuspectParts& to) {
    for (const SuspectEvidence& item : from.Evidence(m_now)) {
      to.Merge(m_now, item);
    }
  }
  // Both tell each other what they know.
  void Exchange(SuspectParts& one, SuspectParts& other) {
    Tell(one, other);
    Tell(other, one);
  }

  SuspectParts m_suspects{CrashSuspectSettings{}};
  SuspectParts m_other{CrashSuspectSettings{}};
  kernel::Time m_now{std::chrono::hours(1)};
  int m_runs = 0;
};

TEST_F(CrashSuspectsTest, BlocksPartAfterThreeCrashes) {
  Crash(m_suspects, {"bad"});
  EXPECT_FALSE(m_suspects.IsSuspicious(m_now, Parts{"bad"}));
  Crash(m_suspects, {"bad"});
  EXPECT_TRUE(m_suspects.IsSuspicious(m_now, Parts{"bad"}));
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "");
  Crash(m_suspects, {"bad"});
  EXPECT_EQ(Blocked(m_suspects, {"first", "bad"}), "bad");
  EXPECT_EQ(m_suspects.TakeNewlyBlocked(), Parts{"bad"});
  EXPECT_TRUE(m_suspects.TakeNewlyBlocked().empty());
}

// Sound requests share all parts but one with those that crash endpoints, and
// break off with them.
TEST_F(CrashSuspectsTest, AnsweredPartIsNeverBlocked) {
  m_suspects.OnAnswered(m_now, Parts{"first"});
  for (int i = 0; i < 10; ++i) {
    Crash(m_suspects, {"first", "bad"});
  }
  EXPECT_EQ(Blocked(m_suspects, {"first", "own"}), "");
  EXPECT_EQ(Blocked(m_suspects, {"first", "bad"}), "bad");
}

TEST_F(CrashSuspectsTest, AnswerEndsSuspicionOfItsParts) {
  for (int i = 0; i < 3; ++i) {
    Crash(m_suspects, {"rare", "bad"});
  }
  EXPECT_EQ(Blocked(m_suspects, {"rare"}), "rare");
  m_suspects.OnAnswered(m_now, Parts{"rare"});
  EXPECT_EQ(Blocked(m_suspects, {"rare"}), "");
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "bad");
}

// A fault of the machines ends many endpoints at once, each with many calls.
TEST_F(CrashSuspectsTest, EndpointsThatEndTogetherCountOnce) {
  for (int i = 0; i < 19; ++i) {
    m_suspects.OnBroken(Parts{"new"}, Sighting("i-" + std::to_string(i)));
    AdvanceTime(milliseconds(5));
  }
  EXPECT_FALSE(m_suspects.IsSuspicious(m_now, Parts{"new"}));
}

TEST_F(CrashSuspectsTest, CallsOfOneEndpointCountOnce) {
  for (int i = 0; i < 8; ++i) {
    m_suspects.OnBroken(Parts{"bad"}, Sighting("i-1/1"));
    AdvanceTime(milliseconds(400));
  }
  EXPECT_FALSE(m_suspects.IsSuspicious(m_now, Parts{"bad"}));
}

// From the fifth crash on, a block must outlast the pauses between requests
// with the part; after fewer crashes, a coincidence must not block it for long.
TEST_F(CrashSuspectsTest, BlockLastsLongerFromTheFifthCrashOn) {
  for (int i = 0; i < 4; ++i) {
    Crash(m_suspects, {"bad"});
  }
  AdvanceTime(milliseconds(29000));
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "bad");
  AdvanceTime(milliseconds(1100));
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "");
  Crash(m_suspects, {"bad"});
  AdvanceTime(milliseconds(120000));
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "bad");
}

// A block that ends must withdraw calls again when it begins anew.
TEST_F(CrashSuspectsTest, ReportsEachBlock) {
  for (int i = 0; i < 3; ++i) {
    Crash(m_suspects, {"bad"});
  }
  EXPECT_EQ(m_suspects.TakeNewlyBlocked(), Parts{"bad"});
  AdvanceTime(milliseconds(31000));
  Crash(m_suspects, {"bad"});
  EXPECT_EQ(m_suspects.TakeNewlyBlocked(), Parts{"bad"});
}

// Endpoints that end together are one moment, but count towards certainty,
// since the limit on requests after the fifth crash counts endpoints.
TEST_F(CrashSuspectsTest, CertaintyCountsEndpoints) {
  for (int i = 0; i < 2; ++i) {
    Crash(m_suspects, {"bad"});
    m_suspects.OnBroken(Parts{"bad"}, Sighting("other-" + std::to_string(i)));
  }
  Crash(m_suspects, {"bad"});
  AdvanceTime(milliseconds(120000));
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "bad");
}

// News goes round among the entries; it must come to rest.
TEST_F(CrashSuspectsTest, EvidenceSettlesWhenMemoryIsFull) {
  for (int i = 0; i < 20; ++i) {
    Crash(m_suspects, {"bad"});
    Crash(m_other, {"bad"});
  }
  for (int i = 0; i < 3; ++i) {
    Exchange(m_suspects, m_other);
  }
  const std::uint64_t settled = m_suspects.Revision() + m_other.Revision();
  Exchange(m_suspects, m_other);
  EXPECT_EQ(m_suspects.Revision() + m_other.Revision(), settled);
}

// Each entry sees only the crashes under its own calls.
TEST_F(CrashSuspectsTest, EntriesAddUpTheirSightings) {
  Crash(m_suspects, {"bad"});
  Crash(m_other, {"bad"});
  Crash(m_other, {"bad"});
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "");
  const std::uint64_t revision = m_suspects.Revision();
  Exchange(m_suspects, m_other);
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "bad");
  EXPECT_EQ(Blocked(m_other, {"bad"}), "bad");
  EXPECT_NE(m_suspects.Revision(), revision);
  const std::uint64_t settled = m_suspects.Revision();
  Exchange(m_suspects, m_other);
  EXPECT_EQ(m_suspects.Revision(), settled);
}

// An entry that has just started knows no answered parts.
TEST_F(CrashSuspectsTest, OtherEntryClearsPart) {
  m_other.OnAnswered(m_now, Parts{"first"});
  for (int i = 0; i < 3; ++i) {
    Crash(m_suspects, {"first"});
  }
  EXPECT_EQ(Blocked(m_suspects, {"first"}), "first");
  Exchange(m_suspects, m_other);
  EXPECT_EQ(Blocked(m_suspects, {"first"}), "");
  EXPECT_EQ(Blocked(m_other, {"first"}), "");
}

TEST_F(CrashSuspectsTest, ForgetsOldEvidence) {
  Crash(m_suspects, {"bad"});
  Crash(m_suspects, {"bad"});
  AdvanceTime(milliseconds(601000));
  Crash(m_suspects, {"bad"});
  EXPECT_EQ(Blocked(m_suspects, {"bad"}), "");
  const auto evidence = m_suspects.Evidence(m_now);
  ASSERT_EQ(evidence.size(), 1U);
  EXPECT_EQ(evidence.front().crashes.size(), 1U);
}

TEST_F(CrashSuspectsTest, MemoryIsLimited) {
  for (int i = 0; i < 20000; ++i) {
    AdvanceTime(milliseconds(1));
    m_suspects.OnAnswered(m_now, Parts{"part" + std::to_string(i)});
    m_suspects.OnBroken(Parts{"other" + std::to_string(i)}, Sighting("i-1/1"));
  }
  EXPECT_LE(m_suspects.Size(), 10000U);
  EXPECT_LE(m_suspects.Evidence(m_now).size(), 256U);
}

// Guards against a flood of parts of which too much is forgotten at once.
TEST_F(CrashSuspectsTest, FloodOfPartsKeepsRecentAnswers) {
  constexpr int kParts = 20000;
  constexpr int kRecent = 7000;
  for (int i = 0; i < kParts; ++i) {
    AdvanceTime(milliseconds(1));
    m_suspects.OnAnswered(m_now, Parts{"part" + std::to_string(i)});
  }
  for (int i = kParts - kRecent; i < kParts; ++i) {
    m_suspects.OnBroken(Parts{"part" + std::to_string(i)}, Sighting("i-1/1"));
  }
  EXPECT_TRUE(m_suspects.Evidence(m_now).empty());
}

}  // namespace
}  // namespace radishrudder::direct
