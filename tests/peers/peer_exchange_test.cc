#include "radishrudder/peers/peer_exchange.h"

#include <gtest/gtest.h>

namespace radishrudder::peers {
namespace {

using std::chrono::milliseconds;

// One entry with peers whose responses the test supplies.
class PeerExchangeTest : public testing::Test {
 protected:
  static constexpr const char* kModel = "draft";

  explicit PeerExchangeTest(std::vector<std::string> seeds = {"a", "b"})
      : m_exchange({.address = "self", .seeds = std::move(seeds)},
                   kernel::Random(5)) {}

  // Reads a version after an absence; nothing: this process just started.
  void Read(std::optional<milliseconds> absence,
            milliseconds failed_for = milliseconds(0),
            std::uint64_t version = 2) {
    m_exchange.OnDeclarationRead(
        m_now, kModel, version,
        absence ? std::optional(m_now - *absence) : std::nullopt, failed_for);
  }
  template <typename Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> found;
    for (PeerOutput& output : m_exchange.TakeOutputs()) {
      if (auto* item = std::get_if<Kind>(&output)) {
        found.push_back(std::move(*item));
      }
    }
    return found;
  }
  void Respond(const std::string& address, std::optional<PeerReport> report) {
    if (report) {
      report->address = address;
    }
    m_exchange.OnResponse(m_now, m_now, address, report);
  }
  // A peer that read the version itself, `read` ago.
  static PeerReport Reader(milliseconds read,
                           std::optional<milliseconds> absent) {
    return {.store_age = milliseconds(100),
            .declarations = {{.model = kModel,
                              .version = 2,
                              .read_age = read,
                              .absent_age = absent}}};
  }
  void AdvanceTime(milliseconds time) {
    m_now += time;
    m_exchange.OnTick(m_now);
  }

  PeerExchange m_exchange;
  kernel::Time m_now{std::chrono::hours(1)};
};

struct Known {
  std::uint64_t version;
  int read_ms;
  std::optional<int> absent_ms;
  bool store_lost = false;
};

// A report of a peer that reads the store and knows these declarations.
PeerReport ReportOf(const std::vector<Known>& declarations,
                    int store_ms = 100) {
  PeerReport report{.store_age = milliseconds(store_ms)};
  for (const Known& known : declarations) {
    DeclarationReport item{.model = "draft",
                           .version = known.version,
                           .read_age = milliseconds(known.read_ms),
                           .store_lost = known.store_lost};
    if (known.absent_ms) {
      item.absent_age = milliseconds(*known.absent_ms);
    }
    report.declarations.push_back(std::move(item));
  }
  return report;
}

TEST_F(PeerExchangeTest, AsksNobodyAboutDeclarationDatedClosely) {
  AdvanceTime(milliseconds(1));
  Take<ExchangeReports>();
  Read(milliseconds(100));
  EXPECT_TRUE(Take<ExchangeReports>().empty());
  AdvanceTime(milliseconds(300));
  EXPECT_TRUE(Take<ExchangeReports>().empty());
}

// An entry that reads a declaration at the end of a long watch would refuse
// calls up to a second too early; a question to all peers by every entry would
// be a flood.
TEST_F(PeerExchangeTest, AsksFewPeersOnceAboutDeclarationReadInTime) {
  for (const char* address : {"c", "d", "e", "f"}) {
    m_exchange.OnRequest({.address = address});
  }
  AdvanceTime(milliseconds(1));
  for (const ExchangeReports& request : Take<ExchangeReports>()) {
    Respond(request.address, PeerReport());
  }
  Read(milliseconds(100), milliseconds(0), 1);
  Read(milliseconds(2100));
  const auto asked = Take<ExchangeReports>();
  ASSERT_EQ(asked.size(), 4U);
  Respond(asked[0].address, ReportOf({{2, 100, 400}}));
  Respond(asked[1].address, ReportOf({}, 150));
  Respond(asked[2].address, ReportOf({{2, 100, 900}}));
  Respond(asked[3].address, std::nullopt);
  const auto dated = Take<DeclarationDated>();
  ASSERT_EQ(dated.size(), 2U);
  EXPECT_EQ(dated.back().absent_at, m_now - milliseconds(150));
  EXPECT_FALSE(dated.back().after_outage);
  AdvanceTime(milliseconds(300));
  EXPECT_TRUE(Take<ExchangeReports>().empty());
}

// What peers tell of a declaration that this entry read late, and the bound
// that follows.
struct Answers {
  const char* name;
  std::optional<milliseconds> own_absence;
  milliseconds own_failures;
  std::vector<PeerReport> reports;  // Of the peers "a" and "b".
  // Age of the declaration at most, as of the reading. Nothing: not dated.
  std::optional<milliseconds> maximum_age;
  bool after_outage = false;
};

// A report of a peer that cannot read the store.
PeerReport LostSince(int milliseconds_ago) {
  PeerReport report = ReportOf({}, milliseconds_ago);
  report.store_lost = true;
  return report;
}

class LateDeclarationTest : public PeerExchangeTest,
                            public testing::WithParamInterface<Answers> {
 protected:
  // This entry has known version 1 and contacted one peer.
  void SetUp() override {
    if (GetParam().own_absence) {
      Read(milliseconds(100), milliseconds(0), 1);
    }
    AdvanceTime(milliseconds(1));
    for (const ExchangeReports& request : Take<ExchangeReports>()) {
      Respond(request.address, PeerReport());
    }
  }
};

// Guards against two errors after an absence: calls on a previous version after
// the limit for the switch, because an absence of this entry alone is taken for
// an outage of the store, or a version in between is overlooked; and needless
// refusals after an outage for all, because it is not recognised.
TEST_P(LateDeclarationTest, IsDatedByPeers) {
  Read(GetParam().own_absence, GetParam().own_failures, 3);
  EXPECT_EQ(Take<ExchangeReports>().size(), 2U);
  const char* addresses[] = {"a", "b"};
  for (std::size_t i = 0; i < GetParam().reports.size(); ++i) {
    Respond(addresses[i], GetParam().reports[i]);
  }
  const kernel::Time read_at = m_now;
  auto dated = Take<DeclarationDated>();
  AdvanceTime(milliseconds(1000));
  for (DeclarationDated& late : Take<DeclarationDated>()) {
    dated.push_back(std::move(late));
  }
  ASSERT_EQ(!dated.empty(), GetParam().maximum_age.has_value());
  if (!dated.empty()) {
    EXPECT_EQ(dated.back().absent_at, read_at - *GetParam().maximum_age);
    EXPECT_EQ(dated.back().after_outage, GetParam().after_outage);
  }
}

constexpr milliseconds kNoFailures{0};

INSTANTIATE_TEST_SUITE_P(
    All,
    LateDeclarationTest,
    testing::Values(
        Answers{"PeersInContact",
                milliseconds(5200),
                kNoFailures,
                {ReportOf({{3, 900, 1700}}), ReportOf({{3, 900, 1000}})},
                milliseconds(1000)},
        Answers{"VersionInBetweenIsOlder",
                milliseconds(5200),
                kNoFailures,
                {ReportOf({{2, 4000, 4200}, {3, 900, 1000}}),
                 ReportOf({{2, 4000, 4100}, {3, 900, 1000}})},
                milliseconds(4100)},
        Answers{"PeersAreAtTheVersionInBetween",
                milliseconds(9000),
                kNoFailures,
                {ReportOf({{2, 4000, 4200}})},
                milliseconds(4200)},
        Answers{"OnePeerInContactAmongLostOnes",
                milliseconds(8000),
                milliseconds(6500),
                {ReportOf({{3, 10, 8200, true}}), ReportOf({{3, 4000, 4500}})},
                milliseconds(4500)},
        Answers{"StoreLostByAll",
                milliseconds(8000),
                milliseconds(6500),
                {ReportOf({{3, 300, 8200, true}}), LostSince(7900)},
                milliseconds(300),
                true},
        Answers{"StoreLostByTheOnlyOneThatAnswers",
                milliseconds(8000),
                milliseconds(6500),
                {LostSince(8100)},
                milliseconds(0),
                true},
        Answers{"AllWereSuspended",
                milliseconds(6000),
                kNoFailures,
                {ReportOf({{3, 10, 6100}}), ReportOf({{3, 10, 5900}})},
                milliseconds(5900)},
        Answers{"OnlyThisOneLostTheStoreAndOthersWereSuspended",
                milliseconds(6000),
                milliseconds(4500),
                {ReportOf({{3, 10, 6100}}), ReportOf({{3, 10, 5900}})},
                milliseconds(5900)},
        Answers{"PeerHasNotReadItYet",
                milliseconds(3000),
                kNoFailures,
                {ReportOf({}, 400), ReportOf({}, 900)},
                milliseconds(400)},
        Answers{"ThisProcessJustStarted",
                std::nullopt,
                kNoFailures,
                {ReportOf({{3, 2000, 2600}})},
                milliseconds(2600)},
        Answers{"PeersJustStarted",
                milliseconds(8000),
                milliseconds(6500),
                {ReportOf({{3, 10, std::nullopt}}), PeerReport()},
                std::nullopt},
        Answers{"NobodyAnswers",
                milliseconds(8000),
                milliseconds(6500),
                {},
                std::nullopt}),
    [](const auto& test) { return test.param.name; });

// A response computed from a report that was requested before the reading says
// nothing of the declaration.
TEST_F(PeerExchangeTest, IgnoresResponseToEarlierRequest) {
  const kernel::Time before = m_now;
  AdvanceTime(milliseconds(50));
  Read(milliseconds(4000));
  Take<ExchangeReports>();
  m_exchange.OnResponse(m_now, before, "a", ReportOf({}, 10));
  EXPECT_TRUE(Take<DeclarationDated>().empty());
}

TEST_F(PeerExchangeTest, AsksAgainWhereNoResponseCame) {
  AdvanceTime(milliseconds(1));
  for (const ExchangeReports& request : Take<ExchangeReports>()) {
    Respond(request.address, PeerReport());
  }
  Read(milliseconds(4000));
  Take<ExchangeReports>();
  Respond("a", std::nullopt);
  Respond("b", Reader(milliseconds(2000), milliseconds(2500)));
  AdvanceTime(milliseconds(300));
  const auto again = Take<ExchangeReports>();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again.front().address, "a");
}

// Entries start with a few seeds and must come to know all others.
TEST_F(PeerExchangeTest, LearnsPeersAndForgetsLostOnes) {
  PeerReport report;
  report.peers = {"c", "self", "a"};
  AdvanceTime(milliseconds(1));
  Take<ExchangeReports>();
  Respond("a", report);
  m_exchange.OnRequest({.address = "d"});
  EXPECT_EQ(m_exchange.KnownPeers(), 4U);
  EXPECT_EQ(m_exchange.MakeReport(m_now).peers.size(), 4U);
  for (int i = 0; i < 3; ++i) {
    Respond("c", std::nullopt);
    Respond("b", std::nullopt);
  }
  EXPECT_EQ(m_exchange.KnownPeers(), 3U);  // Seeds are kept.
}

// News of crashing prompts must reach all entries within a second or two.
TEST_F(PeerExchangeTest, PassesOnNewsToSeveralPeersOnceInAnInterval) {
  for (const char* address : {"c", "d", "e", "f"}) {
    m_exchange.OnRequest({.address = address});
  }
  AdvanceTime(milliseconds(1));
  for (const ExchangeReports& request : Take<ExchangeReports>()) {
    Respond(request.address, PeerReport());
  }
  m_exchange.OnNews();
  AdvanceTime(milliseconds(1));
  const auto told = Take<ExchangeReports>();
  EXPECT_EQ(told.size(), 4U);
  for (const ExchangeReports& request : told) {
    Respond(request.address, PeerReport());
  }
  m_exchange.OnNews();
  AdvanceTime(milliseconds(100));
  EXPECT_TRUE(Take<ExchangeReports>().empty());
  AdvanceTime(milliseconds(150));
  const auto again = Take<ExchangeReports>();
  EXPECT_EQ(again.size(), 4U);
  for (const ExchangeReports& request : again) {
    Respond(request.address, std::nullopt);
  }
  AdvanceTime(milliseconds(250));
  EXPECT_EQ(Take<ExchangeReports>().size(), 4U);
}

TEST_F(PeerExchangeTest, ReportHasAgesOfStoreAndDeclarations) {
  m_exchange.OnStoreRead(m_now - milliseconds(200));
  Read(milliseconds(900));
  AdvanceTime(milliseconds(50));
  const PeerReport report = m_exchange.MakeReport(m_now);
  EXPECT_EQ(report.address, "self");
  EXPECT_EQ(report.store_age, milliseconds(250));
  ASSERT_EQ(report.declarations.size(), 1U);
  EXPECT_EQ(report.declarations[0].read_age, milliseconds(50));
  EXPECT_EQ(report.declarations[0].absent_age, milliseconds(950));
}

}  // namespace
}  // namespace radishrudder::peers
