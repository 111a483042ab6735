// Data centres that are evacuated: what the store says of them, and the calls
// of an entry that knows it.
#include "radishrudder/direct/evacuations.h"

#include <gtest/gtest.h>

#include <functional>
#include <initializer_list>
#include <set>

#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

constexpr kernel::Time kStart{std::chrono::hours(1)};

kernel::Time After(int seconds) {
  return kStart + std::chrono::seconds(seconds);
}

using Items = std::vector<EvacuationItem>;

struct EvacuationCase {
  const char* name;
  std::function<void(Evacuations&)> input;
  std::set<std::string> expected{};
};

class EvacuationsTest : public testing::TestWithParam<EvacuationCase> {};

// Guards against an evacuation that is lost, or that outlives its end.
TEST_P(EvacuationsTest, HoldsWhatTheStoreSaidLast) {
  Evacuations evacuations;
  GetParam().input(evacuations);
  std::set<std::string> evacuated;
  for (const char* data_centre : {"a", "b", "c", "z"}) {
    if (evacuations.Contains(data_centre)) {
      evacuated.insert(data_centre);
    }
  }
  EXPECT_EQ(evacuated, GetParam().expected);
  EXPECT_EQ(evacuations.IsEmpty(), GetParam().expected.empty());
}

void Snapshot(Evacuations& evacuations,
              int seconds,
              const Items& items,
              std::uint64_t era) {
  evacuations.OnSnapshot(After(seconds), items, era);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EvacuationsTest,
    testing::Values(
        EvacuationCase{"None", [](Evacuations& e) { Snapshot(e, 0, {}, 1); }},
        EvacuationCase{"Several",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 3}}, 1);
                         e.OnWritten({"b", 5});
                       },
                       {"a", "b"}},
        EvacuationCase{"All",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 3}, {"b", 4}, {"c", 5}}, 1);
                       },
                       {"a", "b", "c"}},
        EvacuationCase{"UnknownName",
                       [](Evacuations& e) {
                         e.OnWritten({"z", 3});
                       },
                       {"z"}},
        EvacuationCase{"TakenBack",
                       [](Evacuations& e) {
                         e.OnWritten({"a", 3});
                         e.OnTakenBack({"a", 4});
                       }},
        EvacuationCase{"TakenBackByAnOlderRevision",
                       [](Evacuations& e) {
                         e.OnWritten({"a", 3});
                         e.OnTakenBack({"a", 2});
                       },
                       {"a"}},
        EvacuationCase{"OlderRevisionAfterTakenBack",
                       [](Evacuations& e) {
                         e.OnWritten({"a", 3});
                         e.OnTakenBack({"a", 5});
                         e.OnWritten({"a", 4});
                       }},
        EvacuationCase{"WrittenAgainAfterTakenBack",
                       [](Evacuations& e) {
                         e.OnWritten({"a", 3});
                         e.OnTakenBack({"a", 5});
                         e.OnWritten({"a", 6});
                       },
                       {"a"}},
        EvacuationCase{"OlderRevisionDoesNotReplaceANewer",
                       [](Evacuations& e) {
                         e.OnWritten({"a", 9});
                         e.OnWritten({"a", 3});
                         e.OnTakenBack({"a", 5});
                       },
                       {"a"}},
        EvacuationCase{"TakenBackBeforeTheOlderRevisionArrives",
                       [](Evacuations& e) {
                         e.OnTakenBack({"a", 5});
                         e.OnWritten({"a", 4});
                       }},
        EvacuationCase{"SnapshotAfterAGap",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 3}, {"b", 4}}, 1);
                         Snapshot(e, 30, {{"b", 4}, {"c", 8}}, 1);
                       },
                       {"b", "c"}},
        EvacuationCase{"NewEraWithoutTheKey",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 3}}, 1);
                         Snapshot(e, 20, {}, 2);
                         e.OnTick(After(29));
                       },
                       {"a"}},
        EvacuationCase{"NewEraWithoutTheKeyForLong",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 3}}, 1);
                         Snapshot(e, 20, {}, 2);
                         e.OnTick(After(30));
                       }},
        EvacuationCase{"NewEraReadTwice",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 3}}, 1);
                         Snapshot(e, 20, {}, 2);
                         Snapshot(e, 25, {}, 2);
                         e.OnTick(After(29));
                       },
                       {"a"}},
        EvacuationCase{"NewEraAndWrittenAgain",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 30}}, 1);
                         Snapshot(e, 20, {}, 2);
                         e.OnWritten({"a", 4});
                         e.OnTick(After(60));
                       },
                       {"a"}},
        EvacuationCase{"NewEraAndWrittenAgainBySnapshot",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 30}}, 1);
                         Snapshot(e, 20, {}, 2);
                         Snapshot(e, 25, {{"a", 4}}, 2);
                         e.OnTick(After(60));
                       },
                       {"a"}},
        EvacuationCase{"TakenBackInTheNewEra",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 30}}, 1);
                         Snapshot(e, 20, {}, 2);
                         e.OnTakenBack({"a", 4});
                       }},
        EvacuationCase{"WrittenInTheNewEraAfterTakenBackInTheOld",
                       [](Evacuations& e) {
                         Snapshot(e, 0, {{"a", 30}}, 1);
                         e.OnTakenBack({"a", 31});
                         Snapshot(e, 20, {}, 2);
                         e.OnWritten({"a", 4});
                       },
                       {"a"}}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against keys of no data centre that fill the memory.
TEST(EvacuationsTest, RemembersABoundedNumberOfNames) {
  Evacuations evacuations;
  std::size_t changes = 0;
  for (std::uint64_t i = 1; i <= 10000; ++i) {
    changes += evacuations.OnWritten({std::to_string(i), i}).size();
  }
  EXPECT_LE(changes, 1000U);
}

class EvacuatedCallsTest : public EntryFixture {
 protected:
  EvacuatedCallsTest()
      : EntryFixture({.name = "entry-1",
                      .data_centre = "a",
                      .region = "north",
                      .regions = {{"a", "north"}, {"b", "north"}}}) {}

  // Two endpoints in "a", which is preferred, and one in "b".
  void StartIn(RouteKind kind) {
    Start(Route(kind, kind == RouteKind::kStream));
    std::vector<ListedEndpoint> listed{MakeEndpoint("1"), MakeEndpoint("2"),
                                       MakeEndpoint("3")};
    listed[0].data_centre = listed[1].data_centre = "a";
    listed[2].data_centre = "b";
    m_entry.OnEndpoints(m_now, listed);
    m_entry.OnEvacuations(m_now, {}, 1);
    TakeOutputsOf<SendAttempt>();
  }
  CallId CallAt(const std::string& endpoint) {
    for (int i = 0; i < 50; ++i) {
      const CallId call = Call();
      const auto sent = TakeOutputsOf<SendAttempt>();
      if (!sent.empty() && sent.front().endpoint_id == endpoint) {
        TakeOutputsOf<CancelAttempt>();
        return call;
      }
      m_entry.OnCallerDisconnected(m_now, call);
    }
    ADD_FAILURE() << "no call went to " << endpoint;
    return 0;
  }
  std::string Selected() {
    const auto sent = TakeOutputsOf<SendAttempt>();
    return sent.empty() ? std::string() : sent.back().endpoint_id;
  }
};

TEST_F(EvacuatedCallsTest, NothingNewBeginsThereUntilItIsTakenBack) {
  StartIn(RouteKind::kNonIdempotent);
  m_entry.OnEvacuated(m_now, {"a", 3});
  const auto changes = TakeOutputsOf<DataCentreEvacuated>();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes.front().evacuated);
  EXPECT_TRUE(changes.front().known);
  for (int i = 0; i < 6; ++i) {
    Call();
    EXPECT_EQ(Selected(), "3");
  }
  m_entry.OnEvacuationTakenBack(m_now, {"a", 4});
  EXPECT_EQ(TakeOutputsOf<DataCentreEvacuated>().size(), 1U);
  CallAt("1");
}

TEST_F(EvacuatedCallsTest, AttemptThatWaitsForAConnectionIsChosenAgain) {
  StartIn(RouteKind::kNonIdempotent);
  const CallId call = CallAt("1");
  m_entry.OnEvacuated(m_now, {"a", 3});
  m_entry.OnSending(m_now, call);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(Selected(), "3");
}

// Guards against a request to an endpoint of the data centre that is no longer
// listed.
TEST_F(EvacuatedCallsTest, AttemptThatWaitsForAVanishedEndpointIsChosenAgain) {
  StartIn(RouteKind::kNonIdempotent);
  const CallId call = CallAt("1");
  ListedEndpoint other = MakeEndpoint("3");
  other.data_centre = "b";
  m_entry.OnEndpoints(m_now, {other});
  m_entry.OnEvacuated(m_now, {"a", 3});
  m_entry.OnSending(m_now, call);
  EXPECT_EQ(TakeOutputsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(Selected(), "3");
}

TEST_F(EvacuatedCallsTest, CallsInProgressRunToCompletion) {
  StartIn(RouteKind::kNonIdempotent);
  const CallId call = CallAt("1");
  m_entry.OnSending(m_now, call);
  m_entry.OnEvacuated(m_now, {"a", 3});
  AdvanceTime(milliseconds(100));
  EXPECT_TRUE(TakeOutputsOf<CancelAttempt>().empty());
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseEnd(m_now, call);
  EXPECT_EQ(ResponseStatus(), 200);
}

TEST_F(EvacuatedCallsTest, RetriesGoElsewhere) {
  StartIn(RouteKind::kIdempotent);
  const CallId call = CallAt("1");
  m_entry.OnSending(m_now, call);
  m_entry.OnEvacuated(m_now, {"a", 3});
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_EQ(Selected(), "3");
}

TEST_F(EvacuatedCallsTest, ResumedStreamsGoElsewhere) {
  StartIn(RouteKind::kStream);
  const CallId call = CallAt("1");
  m_entry.OnSending(m_now, call);
  m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
  m_entry.OnResponseBody(m_now, call, "id: 1\ndata: a\n\n");
  m_entry.OnEvacuated(m_now, {"a", 3});
  m_entry.OnAttemptFailed(m_now, call, AttemptFailure::kInterrupted);
  EXPECT_EQ(Selected(), "3");
}

TEST_F(EvacuatedCallsTest, RefusesAtOnceIfAllAreEvacuated) {
  StartIn(RouteKind::kNonIdempotent);
  m_entry.OnEvacuations(m_now, Items{{"a", 3}, {"b", 4}}, 1);
  Call();
  EXPECT_EQ(Selected(), "");
  const auto replies = TakeOutputsOf<SendResponse>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().status, 503);
  EXPECT_TRUE(replies.front().retry_after);
}

// Guards against a service whose endpoints are first listed during an
// evacuation.
TEST_F(EvacuatedCallsTest, AppliesToEndpointsThatAppearLater) {
  StartIn(RouteKind::kNonIdempotent);
  m_entry.OnEvacuated(m_now, {"a", 3});
  ListedEndpoint later = MakeEndpoint("9");
  later.data_centre = "a";
  m_entry.OnEndpoints(m_now, {later});
  Call();
  EXPECT_EQ(Selected(), "");
}

TEST_F(EvacuatedCallsTest, UnknownNameIsLoggedAndHasNoEffect) {
  StartIn(RouteKind::kNonIdempotent);
  m_entry.OnEvacuated(m_now, {"z", 3});
  const auto changes = TakeOutputsOf<DataCentreEvacuated>();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes.front().known);
  CallAt("1");
}

// Guards against the endpoints staying excluded after the time in which an
// operator writes again what a store's older copy lacks.
TEST_F(EvacuatedCallsTest, EndsTenSecondsAfterANewEraWithoutIt) {
  StartIn(RouteKind::kNonIdempotent);
  m_entry.OnEvacuated(m_now, {"a", 3});
  m_entry.OnEvacuations(m_now, {}, 2);
  AdvanceTime(milliseconds(9900));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(Selected(), "3");
  AdvanceTime(milliseconds(200));
  m_entry.OnConfigurationConfirmed(m_boot);
  CallAt("1");
}

TEST_F(EvacuatedCallsTest, FirstEraMayBeZero) {
  StartIn(RouteKind::kNonIdempotent);
  const EvacuationItem item{"a", 3};
  m_entry.OnEvacuations(m_now, {&item, 1}, 0);
  m_entry.OnEvacuations(m_now, {}, 1);
  AdvanceTime(milliseconds(9900));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(Selected(), "3");
}

}  // namespace
}  // namespace radishrudder::direct
