// Which requests an entry takes, and what it says to the others.
#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

class AdmissionTest : public EntryFixture {};

TEST_F(AdmissionTest, WithoutConfigurationNothingIsDenied) {
  Call("unknown");
  const auto replies = Take<ReplyWhole>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().status, 503);
  EXPECT_TRUE(replies.front().retry_after);
}

struct Denial {
  const char* name;
  const char* key;
  const char* path;
  int status;
};

class DenialTest : public EntryFixture,
                   public testing::WithParamInterface<Denial> {};

TEST_P(DenialTest, SaysWhy) {
  Begin(Route(RouteKind::kOnce, false));
  Call(GetParam().key, GetParam().path);
  EXPECT_EQ(WholeStatus(), GetParam().status);
  EXPECT_EQ(Take<SendAttempt>().size(), GetParam().status == 0 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    DenialTest,
    testing::Values(Denial{"Served", "key-1", "/a/b", 0},
                    Denial{"NoKey", "", "/a/b", 401},
                    Denial{"UnknownKey", "key-2", "/a/b", 401},
                    Denial{"NoRoute", "key-1", "/b/b", 404},
                    Denial{"PrefixIsWholeSegments", "key-1", "/ab", 404}),
    [](const auto& info) { return info.param.name; });

// A machine that stood still must not serve a key that was taken away while it
// did: the steady clock does not show that time.
TEST_F(AdmissionTest, SuspendedMachineRefusesKeysUntilItReadsAgain) {
  Begin(Route(RouteKind::kOnce, false));
  m_boot += milliseconds(3500);
  EXPECT_FALSE(m_entry.IsReady(m_boot));
  Call();
  EXPECT_EQ(WholeStatus(), 503);
  EXPECT_TRUE(Take<SendAttempt>().empty());
  m_entry.OnConfirmed(m_boot);
  Call();
  EXPECT_EQ(Take<SendAttempt>().size(), 1U);
}

// An answer confirms the time at which it was asked for, not its arrival.
TEST_F(AdmissionTest, SlowAnswerOfTheSourceConfirmsLittle) {
  Begin(Route(RouteKind::kOnce, false));
  const kernel::BootTime asked = m_boot + milliseconds(100);
  m_boot += milliseconds(3300);
  m_entry.OnConfirmed(asked);
  Call();
  EXPECT_EQ(WholeStatus(), 503);
}

TEST_F(AdmissionTest, RouteWithoutKeysIsServedFromAnOldConfiguration) {
  RouteRule route = Route(RouteKind::kIdempotent, false);
  route.without_key = true;
  Begin(route);
  m_boot += std::chrono::seconds(60);
  Call("");
  EXPECT_EQ(Take<SendAttempt>().size(), 1U);
}

TEST_F(AdmissionTest, OldConfigurationDeniesNoRouteThatMayBeNew) {
  Begin(Route(RouteKind::kOnce, false));
  m_boot += std::chrono::seconds(60);
  Call("key-1", "/new/b");
  EXPECT_EQ(WholeStatus(), 503);
}

TEST_F(AdmissionTest, OlderConfigurationIsIgnored) {
  Begin(Route(RouteKind::kOnce, false));
  RouteRule other = Route(RouteKind::kOnce, false);
  other.prefix = "/c/";
  EXPECT_TRUE(m_entry.OnConfiguration(m_now, MakeConfiguration(5, other)));
  EXPECT_FALSE(m_entry.OnConfiguration(
      m_now, MakeConfiguration(4, Route(RouteKind::kOnce, false))));
  Call();
  EXPECT_EQ(WholeStatus(), 404);
}

TEST_F(AdmissionTest, FullEndpointsRefuseAtOnceWithATimeToReturn) {
  Begin(Route(RouteKind::kIdempotent, false), 1);
  // Four slots, twice that may be there for a plain endpoint.
  for (int i = 0; i < 8; ++i) {
    m_entry.OnSending(m_now, Call());
  }
  EXPECT_EQ(Take<SendAttempt>().size(), 8U);
  Call();
  const auto replies = Take<ReplyWhole>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().status, 503);
  EXPECT_GT(replies.front().retry_after.value_or(milliseconds(0)),
            milliseconds(0));
}

TEST_F(AdmissionTest, TimeLeftIsTheShorterOfCallerAndRoute) {
  Begin(Route(RouteKind::kOnce, false));
  Call("key-1", "/a/b", milliseconds(1500));
  Call("key-1", "/a/b", milliseconds(9000));
  const auto sent = Take<SendAttempt>();
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].time_left, milliseconds(1500));
  EXPECT_EQ(sent[1].time_left, milliseconds(6000));
  EXPECT_EQ(sent[0].workspace, "north");
}

class VersionTest : public EntryFixture {
 protected:
  void BeginModel() {
    Configuration configuration =
        MakeConfiguration(1, Route(RouteKind::kStream, true));
    configuration.services.front().engine =
        EngineRule{.slots = 4, .model = "draft"};
    m_entry.OnConfiguration(m_now, std::move(configuration));
    m_entry.OnConfirmed(m_boot);
    List(1, 1);
  }
  void List(std::uint64_t first, std::uint64_t second) {
    std::vector<ListedEndpoint> listed{MakeEndpoint("1"), MakeEndpoint("2")};
    listed[0].model_version = first;
    listed[1].model_version = second;
    m_entry.OnEndpoints(m_now, std::move(listed));
  }
};

TEST_F(VersionTest, OlderVersionServesOnlyDuringItsGrace) {
  BeginModel();
  m_entry.OnVersionDeclared(m_now, "draft", 2, /*just_now=*/true);
  Pass(milliseconds(6000));
  m_entry.OnConfirmed(m_boot);
  Call();
  EXPECT_EQ(Take<SendAttempt>().size(), 1U);
  Pass(milliseconds(600));
  m_entry.OnConfirmed(m_boot);
  Call();
  EXPECT_TRUE(Take<SendAttempt>().empty());
  EXPECT_EQ(WholeStatus(), 503);
  List(1, 2);
  Call();
  const auto sent = Take<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().endpoint_id, "2");
  EXPECT_EQ(sent.front().expected_version, 2U);
}

// Seen in a hunt (scale-1 of sb-quotes, VERSION): calls sent within the grace
// waited at full endpoints and began after it.
TEST_F(VersionTest, CallThatHasNotBegunIsWithdrawnSoonAfterTheGrace) {
  BeginModel();
  EarnRetries();
  m_entry.OnVersionDeclared(m_now, "draft", 2, /*just_now=*/true);
  Pass(milliseconds(6400));
  m_entry.OnConfirmed(m_boot);
  const CallId waits = Call();
  const CallId runs = Call();
  for (const CallId call : {waits, runs}) {
    m_entry.OnSending(m_now, call);
  }
  m_entry.OnAnswerHead(m_now, runs, Good(runs, 200));
  m_entry.OnAnswerBody(m_now, runs, "id: 1\ndata: a\n\n");
  m_entry.TakeOutputs();
  Pass(milliseconds(100));
  Pass(milliseconds(400));
  EXPECT_TRUE(Take<CancelAttempt>().empty());
  Pass(milliseconds(150));
  const auto withdrawn = Take<CancelAttempt>();
  ASSERT_EQ(withdrawn.size(), 1U);
  EXPECT_EQ(withdrawn.front().call, waits);
  // Nothing runs the new version yet, and whether it ran is not known.
  EXPECT_EQ(WholeStatus(), 502);
}

// Seen on a day on which an entry restarted long after the declaration and
// took it as new.
TEST_F(VersionTest, DeclarationOfUnknownAgeHasLittleGrace) {
  BeginModel();
  m_entry.OnVersionDeclared(m_now, "draft", 2, /*just_now=*/false);
  Pass(milliseconds(3100));
  m_entry.OnConfirmed(m_boot);
  Call();
  EXPECT_TRUE(Take<SendAttempt>().empty());
}

TEST_F(VersionTest, EndpointWithoutAModelGetsNothing) {
  BeginModel();
  List(0, 0);
  Call();
  EXPECT_TRUE(Take<SendAttempt>().empty());
}

}  // namespace
}  // namespace radishrudder::direct
