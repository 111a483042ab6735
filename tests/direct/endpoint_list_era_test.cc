// What an endpoint list keeps when the store comes back from an older copy.
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "radishrudder/direct/endpoint_list.h"

namespace radishrudder::direct {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kEra = 4;
constexpr std::uint64_t kNewEra = 5;

ListedEndpoint MakeEndpoint(std::uint64_t revision,
                            std::uint64_t era,
                            bool leaving = false,
                            std::uint64_t started = 7) {
  ListedEndpoint endpoint;
  endpoint.id = "a";
  endpoint.service = "service";
  endpoint.started = started;
  endpoint.revision = revision;
  endpoint.era = era;
  endpoint.leaving = leaving;
  return endpoint;
}

// What is known of the endpoint before the store comes back.
enum class Known { kNothing, kReady, kLeaving, kRemoved, kLeftAndRemoved };
// What is known of it then.
enum class State { kAbsent, kReady, kLeaving };

struct EraListCase {
  const char* name;
  Known known;
  // What the copy has, with a lower revision. Nothing: no entry.
  std::optional<ListedEndpoint> copy;
  // A change in the new era, after the copy was read.
  std::optional<ListedEndpoint> written;
  State after_copy;
  State in_the_end;
};

class EraListTest : public testing::TestWithParam<EraListCase> {
 protected:
  State Find() const {
    const ListedEndpoint* endpoint = m_list.Find("a");
    if (endpoint == nullptr) {
      return State::kAbsent;
    }
    return endpoint->leaving ? State::kLeaving : State::kReady;
  }
  void Know(Known known) {
    m_list.OnSnapshot(m_now, {}, 90, kEra);
    if (known == Known::kNothing) {
      return;
    }
    m_list.OnUpdate(m_now, MakeEndpoint(100, kEra));
    if (known == Known::kLeaving || known == Known::kLeftAndRemoved) {
      m_list.OnUpdate(m_now, MakeEndpoint(101, kEra, true));
    }
    if (known == Known::kRemoved || known == Known::kLeftAndRemoved) {
      m_list.OnRemoved(m_now, "a", 102, kEra);
    }
  }

  EndpointList m_list{EndpointListSettings{}};
  kernel::Time m_now{std::chrono::hours(1)};
};

// Guards against endpoints that had left being used again, and against live
// ones being ignored, after the store came back from an older copy and gave out
// revisions again.
TEST_P(EraListTest, CopyBringsBackNothingThatHadLeft) {
  const EraListCase& test = GetParam();
  Know(test.known);
  std::vector<ListedEndpoint> copy;
  if (test.copy) {
    copy.push_back(*test.copy);
  }
  m_list.OnSnapshot(m_now, copy, 60, kNewEra);
  EXPECT_EQ(Find(), test.after_copy);
  m_now += milliseconds(1500);
  m_list.OnTick(m_now);
  if (test.written) {
    m_list.OnUpdate(m_now, *test.written);
  }
  m_now += milliseconds(1500);
  m_list.OnTick(m_now);
  EXPECT_EQ(Find(), test.in_the_end);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EraListTest,
    testing::Values(
        EraListCase{"Live", Known::kReady, MakeEndpoint(40, kNewEra),
                    MakeEndpoint(61, kNewEra), State::kReady, State::kReady},
        EraListCase{"LiveAndNotInTheCopy", Known::kReady, std::nullopt,
                    MakeEndpoint(61, kNewEra), State::kReady, State::kReady},
        EraListCase{"NeverWrittenAgain", Known::kReady, std::nullopt,
                    std::nullopt, State::kReady, State::kAbsent},
        EraListCase{"LeavesAfterwards", Known::kReady,
                    MakeEndpoint(40, kNewEra), MakeEndpoint(61, kNewEra, true),
                    State::kReady, State::kLeaving},
        EraListCase{"HadSaidThatItLeaves", Known::kLeaving,
                    MakeEndpoint(40, kNewEra), MakeEndpoint(61, kNewEra),
                    State::kLeaving, State::kLeaving},
        EraListCase{"HadBeenRemoved", Known::kRemoved,
                    MakeEndpoint(40, kNewEra), std::nullopt, State::kAbsent,
                    State::kAbsent},
        EraListCase{"HadLeftAndBeenRemoved", Known::kLeftAndRemoved,
                    MakeEndpoint(40, kNewEra), MakeEndpoint(61, kNewEra),
                    State::kAbsent, State::kLeaving},
        // Its listing had lapsed; it is alive and writes again.
        EraListCase{"HadLapsed", Known::kRemoved, MakeEndpoint(40, kNewEra),
                    MakeEndpoint(61, kNewEra), State::kAbsent, State::kReady},
        EraListCase{
            "StartedAnew", Known::kLeftAndRemoved, MakeEndpoint(40, kNewEra),
            MakeEndpoint(61, kNewEra, false, 8), State::kAbsent, State::kReady},
        EraListCase{"Unknown", Known::kNothing, MakeEndpoint(40, kNewEra),
                    std::nullopt, State::kReady, State::kReady},
        EraListCase{"LateAnswerOfTheEarlierEra", Known::kReady,
                    MakeEndpoint(40, kNewEra), MakeEndpoint(200, kEra, true),
                    State::kReady, State::kReady}),
    [](const auto& test) { return std::string(test.param.name); });

class FirstEraTest : public testing::Test {
 protected:
  EndpointList m_list{EndpointListSettings{}};
  kernel::Time m_now{std::chrono::hours(1)};
};

// Guards against a store that counts its eras from 0: the step to 1 is a new
// era like any other.
TEST_F(FirstEraTest, EndpointThatTheCopyLacksIsKept) {
  m_list.OnSnapshot(m_now, {MakeEndpoint(100, 0)}, 100, 0);
  m_list.OnSnapshot(m_now, {}, 50, 1);
  EXPECT_NE(m_list.Find("a"), nullptr);
}

TEST_F(FirstEraTest, EndpointThatIsGoneInTheSameEraIsRemoved) {
  m_list.OnSnapshot(m_now, {MakeEndpoint(100, 0)}, 100, 0);
  m_list.OnSnapshot(m_now, {}, 101, 0);
  EXPECT_EQ(m_list.Find("a"), nullptr);
}

}  // namespace
}  // namespace radishrudder::direct
