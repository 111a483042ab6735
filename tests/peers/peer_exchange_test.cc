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

  // Reads version 2 after an absence; nothing: this process just started.
  void Read(std::optional<milliseconds> absence) {
    m_exchange.OnDeclarationRead(
        m_now, kModel, 2,
        absence ? std::optional(m_now - *absence) : std::nullopt);
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
            .declarations = {{kModel, 2, read, absent}}};
  }
  void AdvanceTime(milliseconds time) {
    m_now += time;
    m_exchange.OnTick(m_now);
  }

  PeerExchange m_exchange;
  kernel::Time m_now{std::chrono::hours(1)};
};

TEST_F(PeerExchangeTest, AsksNobodyAboutDeclarationReadInTime) {
  AdvanceTime(milliseconds(1));
  Take<ExchangeReports>();
  Read(milliseconds(1100));
  EXPECT_TRUE(Take<ExchangeReports>().empty());
}

// What peers tell of a declaration that this entry read late, and the bound
// that follows.
struct Answers {
  const char* name;
  std::optional<milliseconds> own_absence;
  std::vector<PeerReport> reports;  // Of the peers "a" and "b".
  // Age of the declaration at most, as of the reading. Nothing: not dated.
  std::optional<milliseconds> maximum_age;
  bool after_outage = false;
};

PeerReport ReportOf(std::optional<milliseconds> store_age) {
  return {.store_age = store_age};
}

class LateDeclarationTest : public PeerExchangeTest,
                            public testing::WithParamInterface<Answers> {
 protected:
  void SetUp() override {
    AdvanceTime(milliseconds(1));
    for (const ExchangeReports& request : Take<ExchangeReports>()) {
      Respond(request.address, ReportOf(std::nullopt));
    }
  }
};

// Guards against two errors after an absence: calls on the previous version
// after the limit for the switch, because an absence of this entry alone is
// taken for an outage of the store; and needless refusals after an outage for
// all, because it is not.
TEST_P(LateDeclarationTest, IsDatedByPeers) {
  Read(GetParam().own_absence);
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

INSTANTIATE_TEST_SUITE_P(
    All,
    LateDeclarationTest,
    testing::Values(
        Answers{"PeersInContact",
                milliseconds(5200),
                {{.store_age = milliseconds(100),
                  .declarations = {{"draft", 2, milliseconds(900),
                                    milliseconds(1700)}}},
                 {.store_age = milliseconds(100),
                  .declarations = {{"draft", 2, milliseconds(900),
                                    milliseconds(1000)}}}},
                milliseconds(1000)},
        Answers{"OnePeerInContactAmongLostOnes",
                milliseconds(8000),
                {{.store_age = milliseconds(100),
                  .declarations = {{"draft", 2, milliseconds(10),
                                    milliseconds(8200)}}},
                 {.store_age = milliseconds(100),
                  .declarations = {{"draft", 2, milliseconds(4000),
                                    milliseconds(4500)}}}},
                milliseconds(4500)},
        Answers{"StoreLostByAll",
                milliseconds(8000),
                {{.store_age = milliseconds(100),
                  .declarations = {{"draft", 2, milliseconds(300),
                                    milliseconds(8200)}}},
                 ReportOf(milliseconds(7900))},
                milliseconds(300),
                true},
        Answers{"StoreLostByTheOnlyOneThatAnswers",
                milliseconds(8000),
                {ReportOf(milliseconds(8100))},
                milliseconds(0),
                true},
        Answers{"PeerHasNotReadItYet",
                milliseconds(3000),
                {ReportOf(milliseconds(400)), ReportOf(milliseconds(900))},
                milliseconds(400)},
        Answers{"ThisProcessJustStarted",
                std::nullopt,
                {{.store_age = milliseconds(100),
                  .declarations = {{"draft", 2, milliseconds(2000),
                                    milliseconds(2600)}}}},
                milliseconds(2600)},
        Answers{
            "PeersJustStarted",
            milliseconds(8000),
            {{.store_age = milliseconds(100),
              .declarations = {{"draft", 2, milliseconds(10), std::nullopt}}},
             ReportOf(std::nullopt)},
            std::nullopt},
        Answers{"NobodyAnswers", milliseconds(8000), {}, std::nullopt}),
    [](const auto& test) { return test.param.name; });

// A response computed from a report that was requested before the reading says
// nothing of the declaration.
TEST_F(PeerExchangeTest, IgnoresResponseToEarlierRequest) {
  const kernel::Time before = m_now;
  AdvanceTime(milliseconds(50));
  Read(milliseconds(4000));
  Take<ExchangeReports>();
  m_exchange.OnResponse(m_now, before, "a", ReportOf(milliseconds(10)));
  EXPECT_TRUE(Take<DeclarationDated>().empty());
}

TEST_F(PeerExchangeTest, AsksAgainWhereNoResponseCame) {
  AdvanceTime(milliseconds(1));
  for (const ExchangeReports& request : Take<ExchangeReports>()) {
    Respond(request.address, ReportOf(std::nullopt));
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
  PeerReport report = ReportOf(std::nullopt);
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
