// Which requests an entry admits, and how it responds to the others.
#include "tests/direct/entry_fixture.h"

namespace radishrudder::direct {
namespace {

class AdmissionTest : public EntryFixture {};

TEST_F(AdmissionTest, RespondsUnavailableWithoutConfiguration) {
  Call("unknown");
  const auto replies = TakeOutputsOf<SendResponse>();
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

TEST_P(DenialTest, RespondsWithStatusForReason) {
  Start(Route(RouteKind::kNonIdempotent, false));
  Call(GetParam().key, GetParam().path);
  EXPECT_EQ(ResponseStatus(), GetParam().status);
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(),
            GetParam().status == 0 ? 1U : 0U);
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

struct LimitCase {
  const char* name;
  void (*change)(Configuration& configuration);
  const char* key;
  int status;  // 0: served.
};

void PrintTo(const LimitCase& limit, std::ostream* stream) {
  *stream << limit.name;
}

class LimitTest : public EntryFixture,
                  public testing::WithParamInterface<LimitCase> {};

// Guards against an entry that takes the end of the last workspace, an empty
// key or a route that can't be read for the absence of a limit.
TEST_P(LimitTest, IsKeptInOddForms) {
  RouteRule route = Route(RouteKind::kIdempotent, false);
  Start(route);
  Configuration next = MakeConfiguration(2, route);
  GetParam().change(next);
  m_entry.OnConfiguration(m_now, std::move(next));
  Call(GetParam().key);
  EXPECT_EQ(ResponseStatus(), GetParam().status);
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(),
            GetParam().status == 0 ? 1U : 0U);
}

void RemoveLastWorkspace(Configuration& configuration) {
  configuration.workspaces.clear();
  configuration.defines_workspaces = true;
}
void HoldEmptyKey(Configuration& configuration) {
  configuration.workspaces[0].keys = {""};
}
void MakeRouteUnreadable(Configuration& configuration) {
  configuration.routes[0].readable = false;
}
// Beside a shorter prefix that needs no key, of which the last one counts.
void MakeRouteBesideExemptUnreadable(Configuration& configuration) {
  RouteRule exempt = configuration.routes[0];
  exempt.name = "exempt";
  exempt.prefix = "/";
  exempt.key_exempt = true;
  configuration.routes.push_back(exempt);
  configuration.routes[0].readable = false;
}
void HideExemptRoute(Configuration& configuration) {
  configuration.routes[0].key_exempt = true;
  configuration.routes.push_back(configuration.routes[0]);
  configuration.routes[1].readable = false;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LimitTest,
    testing::Values(
        LimitCase{"LastWorkspaceRemoved", RemoveLastWorkspace, "key-1", 401},
        LimitCase{"LastWorkspaceRemovedNoKey", RemoveLastWorkspace, "", 401},
        LimitCase{"EmptyKey", HoldEmptyKey, "", 401},
        LimitCase{"UnreadableRoute", MakeRouteUnreadable, "key-1", 503},
        LimitCase{"UnreadableRouteUnknownKey", MakeRouteUnreadable, "key-2",
                  401},
        LimitCase{"UnreadableBesideExempt", MakeRouteBesideExemptUnreadable,
                  "key-1", 503},
        LimitCase{"UnreadableOfTheSamePrefix", HideExemptRoute, "key-1", 503}),
    [](const auto& info) { return std::string(info.param.name); });

class LateDenialTest : public EntryFixture,
                       public testing::WithParamInterface<Denial> {};

// Guards against a 401 or 404 for a key or a route that a newer configuration
// has: its news was held up on a full link between regions, and the entry went
// on denying for longer than a configuration may take. "Not run" is true, so
// the caller returns.
TEST_P(LateDenialTest, RefusesAsNotRunWhileANewerConfigurationMayExist) {
  Start(Route(RouteKind::kNonIdempotent, false));
  m_boot += milliseconds(2000);
  Call(GetParam().key, GetParam().path);
  EXPECT_EQ(ResponseStatus(), GetParam().status);
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(),
            GetParam().status == 0 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LateDenialTest,
    testing::Values(Denial{"Served", "key-1", "/a/b", 0},
                    Denial{"NoKey", "", "/a/b", 503},
                    Denial{"UnknownKey", "key-2", "/a/b", 503},
                    Denial{"NoRoute", "key-1", "/b/b", 503}),
    [](const auto& info) { return info.param.name; });

// A suspended machine must not serve a key that was revoked in the meantime.
// The steady clock does not count the time of the suspension; boot time does.
TEST_F(AdmissionTest, RefusesKeysAfterSuspensionUntilConfigurationIsConfirmed) {
  Start(Route(RouteKind::kNonIdempotent, false));
  m_boot += milliseconds(3500);
  EXPECT_FALSE(m_entry.IsReady(m_boot));
  Call();
  EXPECT_EQ(ResponseStatus(), 503);
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
}

// A response confirms the configuration as of the sending of its request, not
// as of its own arrival.
TEST_F(AdmissionTest, SlowStoreResponseConfirmsTimeOfRequest) {
  Start(Route(RouteKind::kNonIdempotent, false));
  const kernel::BootTime asked = m_boot + milliseconds(100);
  m_boot += milliseconds(3300);
  m_entry.OnConfigurationConfirmed(asked);
  Call();
  EXPECT_EQ(ResponseStatus(), 503);
}

TEST_F(AdmissionTest, ServesKeyExemptRouteFromStaleConfiguration) {
  RouteRule route = Route(RouteKind::kIdempotent, false);
  route.key_exempt = true;
  Start(route);
  m_boot += std::chrono::seconds(60);
  Call("");
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
}

struct OldConfigurationCase {
  const char* name;
  std::vector<std::string> route_regions{};
  std::vector<std::string> workspace_regions{};
  std::uint64_t told = 0;  // Version that another entry uses; 0: none.
  bool served = false;
};

void PrintTo(const OldConfigurationCase& old, std::ostream* stream) {
  *stream << old.name;
}

class OldConfigurationTest
    : public EntryFixture,
      public testing::WithParamInterface<OldConfigurationCase> {
 protected:
  OldConfigurationTest()
      : EntryFixture({.region = "east", .regions = {{"", "east"}}}) {}
};

// Guards against requests without keys that are served by a configuration which
// is known to be outdated, or outside the regions that a newer one allows.
TEST_P(OldConfigurationTest, ServesExemptRouteOnlyIfItMay) {
  RouteRule route = Route(RouteKind::kIdempotent, false);
  route.key_exempt = true;
  route.allowed_regions = GetParam().route_regions;
  Start(route);
  Configuration configuration = MakeConfiguration(2, route);
  configuration.workspaces.front().allowed_regions =
      GetParam().workspace_regions;
  m_entry.OnConfiguration(m_now, configuration);
  m_entry.OnConfigurationConfirmed(m_boot);
  Call("");
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  AdvanceTime(milliseconds(4000));
  if (GetParam().told > 0) {
    m_entry.OnPeerConfiguration(m_now, GetParam().told,
                                m_now - milliseconds(3000));
    AdvanceTime(milliseconds(25));
  }
  Call("");
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), GetParam().served ? 1U : 0U);
  EXPECT_EQ(ResponseStatus(), GetParam().served ? 0 : 503);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OldConfigurationTest,
    testing::Values(OldConfigurationCase{.name = "NothingNewerKnown",
                                         .served = true},
                    OldConfigurationCase{.name = "SameElsewhere",
                                         .told = 2,
                                         .served = true},
                    OldConfigurationCase{.name = "NewerElsewhere", .told = 3},
                    OldConfigurationCase{.name = "RouteHasRegions",
                                         .route_regions = {"east"}},
                    OldConfigurationCase{.name = "WorkspaceHasRegions",
                                         .workspace_regions = {"east"}}),
    [](const auto& info) { return std::string(info.param.name); });

struct UnreadableCase {
  const char* name;
  bool key_exempt;
  bool readable_again;
  int status;  // 0: served.
};

void PrintTo(const UnreadableCase& unreadable, std::ostream* stream) {
  *stream << unreadable.name;
}

class UnreadableConfigurationTest
    : public EntryFixture,
      public testing::WithParamInterface<UnreadableCase> {};

// Guards against calls that are served for good by a configuration although the
// newest one, which can't be read, may take their key away or require one.
TEST_P(UnreadableConfigurationTest, EndsServiceUntilOneCanBeRead) {
  RouteRule route = Route(RouteKind::kIdempotent, false);
  route.key_exempt = GetParam().key_exempt;
  Start(route);
  m_entry.OnNewestConfiguration(/*readable=*/false);
  Call();
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  m_boot += milliseconds(5000);
  if (GetParam().readable_again) {
    m_entry.OnNewestConfiguration(/*readable=*/true);
  }
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(ResponseStatus(), GetParam().status);
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(),
            GetParam().status == 0 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UnreadableConfigurationTest,
    testing::Values(UnreadableCase{"Key", false, false, 503},
                    UnreadableCase{"Exempt", true, false, 503},
                    UnreadableCase{"KeyReadableAgain", false, true, 0},
                    UnreadableCase{"ExemptReadableAgain", true, true, 0}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(AdmissionTest, RespondsUnavailableForUnknownRouteOnStaleConfiguration) {
  Start(Route(RouteKind::kNonIdempotent, false));
  m_boot += std::chrono::seconds(60);
  Call("key-1", "/new/b");
  EXPECT_EQ(ResponseStatus(), 503);
}

TEST_F(AdmissionTest, IgnoresOlderConfiguration) {
  Start(Route(RouteKind::kNonIdempotent, false));
  RouteRule other = Route(RouteKind::kNonIdempotent, false);
  other.prefix = "/c/";
  EXPECT_TRUE(m_entry.OnConfiguration(m_now, MakeConfiguration(5, other)));
  EXPECT_FALSE(m_entry.OnConfiguration(
      m_now, MakeConfiguration(4, Route(RouteKind::kNonIdempotent, false))));
  Call();
  EXPECT_EQ(ResponseStatus(), 404);
}

TEST_F(AdmissionTest, RefusesWithRetryAfterWhenAllEndpointsAreFull) {
  Start(Route(RouteKind::kIdempotent, false), 1);
  // Four slots; an endpoint without an engine may have twice as many calls.
  for (int i = 0; i < 8; ++i) {
    m_entry.OnSending(m_now, Call());
  }
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 8U);
  Call();
  const auto replies = TakeOutputsOf<SendResponse>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().status, 503);
  EXPECT_GT(replies.front().retry_after.value_or(milliseconds(0)),
            milliseconds(0));
}

TEST_F(AdmissionTest, TimeLeftIsMinimumOfCallerAndRouteTimeout) {
  Start(Route(RouteKind::kNonIdempotent, false));
  Call("key-1", "/a/b", milliseconds(1500));
  Call("key-1", "/a/b", milliseconds(9000));
  const auto sent = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].time_left, milliseconds(1500));
  EXPECT_EQ(sent[1].time_left, milliseconds(6000));
  EXPECT_EQ(sent[0].workspace, "north");
}

class VersionTest : public EntryFixture {
 protected:
  void StartWithModel() {
    Configuration configuration =
        MakeConfiguration(1, Route(RouteKind::kStream, true));
    configuration.services.front().engine =
        EngineRule{.slots = 4, .model = "draft"};
    m_entry.OnConfiguration(m_now, std::move(configuration));
    m_entry.OnConfigurationConfirmed(m_boot);
    List(1, 1);
  }
  static VersionDeclaration Declaration(std::optional<kernel::Time> absent_at) {
    return {.model = "draft", .version = 2, .absent_at = absent_at};
  }
  void List(std::uint64_t first, std::uint64_t second) {
    std::vector<ListedEndpoint> listed{MakeEndpoint("1"), MakeEndpoint("2")};
    listed[0].model_version = first;
    listed[1].model_version = second;
    m_entry.OnEndpoints(m_now, std::move(listed));
  }
};

TEST_F(VersionTest, OlderVersionServesOnlyDuringGracePeriod) {
  StartWithModel();
  m_entry.OnVersionDeclared(m_now, Declaration(m_now));
  AdvanceTime(milliseconds(6000));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  AdvanceTime(milliseconds(600));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
  EXPECT_EQ(ResponseStatus(), 503);
  List(1, 2);
  Call();
  const auto sent = TakeOutputsOf<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().endpoint_id, "2");
  EXPECT_EQ(sent.front().expected_version, 2U);
}

// Guards against calls that are sent within the grace period, are queued at
// full endpoints and start on the old version after it (scale-1 of sb-quotes,
// VERSION).
TEST_F(VersionTest, WithdrawsQueuedCallAfterGracePeriod) {
  StartWithModel();
  EarnRetries();
  m_entry.OnVersionDeclared(m_now, Declaration(m_now));
  AdvanceTime(milliseconds(6400));
  m_entry.OnConfigurationConfirmed(m_boot);
  const CallId waits = Call();
  const CallId runs = Call();
  for (const CallId call : {waits, runs}) {
    m_entry.OnSending(m_now, call);
  }
  m_entry.OnResponseHead(m_now, runs, SignedResponse(runs, 200));
  m_entry.OnResponseBody(m_now, runs, "id: 1\ndata: a\n\n");
  m_entry.TakeOutputs();
  AdvanceTime(milliseconds(100));
  AdvanceTime(milliseconds(400));
  EXPECT_TRUE(TakeOutputsOf<CancelAttempt>().empty());
  AdvanceTime(milliseconds(150));
  const auto withdrawn = TakeOutputsOf<CancelAttempt>();
  ASSERT_EQ(withdrawn.size(), 1U);
  EXPECT_EQ(withdrawn.front().call, waits);
  // No endpoint runs the new version yet, and it is unknown whether the call
  // was executed.
  EXPECT_EQ(ResponseStatus(), 502);
}

// An entry that restarts long after the declaration must not treat it as new
// and grant the full grace period.
TEST_F(VersionTest, DeclarationOfUnknownAgeHasShortGracePeriod) {
  StartWithModel();
  m_entry.OnVersionDeclared(m_now, Declaration(std::nullopt));
  AdvanceTime(milliseconds(3100));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
}

// How an entry comes to read a declaration long after it was acknowledged.
struct LateReading {
  const char* name;
  // From the last confirmed read without the declaration to the reading of it;
  // nothing: the process had read nothing before.
  std::optional<milliseconds> absent_for;
};

class LateReadingTest : public VersionTest,
                        public testing::WithParamInterface<LateReading> {};

// Guards against calls on the previous version after the limit for the switch
// (VERSION on sb-quotes-grown): an entry that is suspended, cut off, refused by
// the store or restarted reads the declaration late. It may have been
// acknowledged right after the last read without it, but its grace period was
// counted from the late reading.
TEST_P(LateReadingTest, GracePeriodStartsWhenDeclarationMayHaveBeenMade) {
  StartWithModel();
  VersionDeclaration declaration = Declaration(std::nullopt);
  if (GetParam().absent_for) {
    declaration.absent_at = m_now - *GetParam().absent_for;
  }
  const EntrySettings settings;
  const milliseconds wait =
      GetParam().absent_for
          ? std::max(settings.dating_time,
                     settings.version_switch_grace - *GetParam().absent_for)
          : settings.undated_version_grace;
  m_entry.OnVersionDeclared(m_now, declaration);
  AdvanceTime(wait - milliseconds(50));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  AdvanceTime(milliseconds(100));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LateReadingTest,
    testing::Values(LateReading{"WatchInterval", milliseconds(900)},
                    LateReading{"Suspended", milliseconds(5200)},
                    LateReading{"RefusedByTheStore", milliseconds(9000)},
                    LateReading{"BehindFullLink", milliseconds(6450)},
                    LateReading{"FirstReadAfterFailures", std::nullopt}),
    [](const auto& test) { return test.param.name; });

// An entry that was cut off while the version was declared must not refuse
// calls earlier than others do once a peer has told it when that was.
TEST_F(VersionTest, LaterBoundExtendsGracePeriod) {
  StartWithModel();
  m_entry.OnVersionDeclared(m_now, Declaration(m_now - milliseconds(5000)));
  EXPECT_TRUE(m_entry.OnVersionDated(Declaration(m_now - milliseconds(1000))));
  EXPECT_FALSE(m_entry.OnVersionDated(Declaration(m_now - milliseconds(2000))));
  AdvanceTime(milliseconds(5400));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_EQ(TakeOutputsOf<SendAttempt>().size(), 1U);
  AdvanceTime(milliseconds(200));
  m_entry.OnConfigurationConfirmed(m_boot);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
}

TEST_F(VersionTest, EndpointWithoutModelGetsNoCalls) {
  StartWithModel();
  List(0, 0);
  Call();
  EXPECT_TRUE(TakeOutputsOf<SendAttempt>().empty());
}

struct SupersededCase {
  const char* name;
  std::uint64_t version;         // That another entry uses.
  milliseconds in_force_for;     // There, when it tells of it.
  milliseconds later;            // When the request comes.
  std::uint64_t read_meanwhile;  // From the store; 0: nothing.
  int status;
  // When the other entry tells of it once more; 0: it does not.
  milliseconds told_again_after{0};
};

class SupersededTest : public EntryFixture,
                       public testing::WithParamInterface<SupersededCase> {};

// Guards against a key that was revoked being accepted by an entry that starts
// after the store came back from a copy made before the revocation, and against
// keys being refused for good because of what another entry tells.
TEST_P(SupersededTest, KeysWaitForTheConfigurationThatOthersUse) {
  Start(Route(RouteKind::kNonIdempotent, false));
  m_entry.OnPeerConfiguration(m_now, GetParam().version,
                              m_now - GetParam().in_force_for);
  if (GetParam().told_again_after > milliseconds(0)) {
    AdvanceTime(GetParam().told_again_after);
    m_entry.OnPeerConfiguration(m_now, GetParam().version,
                                m_now - GetParam().in_force_for);
  }
  AdvanceTime(GetParam().later - GetParam().told_again_after);
  m_entry.OnConfigurationConfirmed(m_boot);
  if (GetParam().read_meanwhile > 0) {
    m_entry.OnConfiguration(
        m_now, MakeConfiguration(GetParam().read_meanwhile,
                                 Route(RouteKind::kNonIdempotent, false)));
  }
  EXPECT_EQ(m_entry.IsReady(m_boot), GetParam().status == 0);
  Call();
  EXPECT_EQ(ResponseStatus(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SupersededTest,
    testing::Values(
        SupersededCase{"InForceElsewhere", 9, milliseconds(30000),
                       milliseconds(0), 0, 503},
        SupersededCase{"JustRead", 9, milliseconds(100), milliseconds(200), 0,
                       0},
        SupersededCase{"OverdueHere", 9, milliseconds(100), milliseconds(1600),
                       0, 503},
        SupersededCase{"ReadMeanwhile", 9, milliseconds(30000),
                       milliseconds(1600), 9, 0},
        SupersededCase{"Same", 1, milliseconds(30000), milliseconds(0), 0, 0},
        SupersededCase{"NeverWrittenAgain", 9, milliseconds(30000),
                       milliseconds(10100), 0, 0},
        SupersededCase{"StillInForceElsewhere", 9, milliseconds(30000),
                       milliseconds(15000), 0, 503, milliseconds(8000)},
        SupersededCase{"NotInForceElsewhereAnyMore", 9, milliseconds(30000),
                       milliseconds(18100), 0, 0, milliseconds(8000)}),
    [](const auto& test) { return std::string(test.param.name); });

}  // namespace
}  // namespace radishrudder::direct
