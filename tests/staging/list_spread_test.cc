// Tests that the list of a new version's pieces reaches all instances of a
// large fleet soon, without many of them asking the origin.
#include <gtest/gtest.h>

#include <ostream>

#include "tests/staging/stager_fleet.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// The rate of the origin on the users' platform, 9.9 Mbit/s.
constexpr double kOriginRate = 9.9e6 / 8;

struct SpreadCase {
  const char* name = "";
  FleetOptions options{};
  milliseconds limit{0};  // From the declaration until all have the list.
};

void PrintTo(const SpreadCase& spread, std::ostream* out) {
  *out << spread.name;
}

class ListSpreadTest : public testing::TestWithParam<SpreadCase> {
 protected:
  ListSpreadTest() : m_fleet(GetParam().options) {
    m_fleet.DeclareVersion(1, /*newly_declared=*/false);
    m_fleet.Run(milliseconds(4000));
    m_lists_before = m_fleet.OriginListCount();
  }

  std::size_t NewOriginLists() const {
    return m_fleet.OriginListCount() - m_lists_before;
  }

  StagerFleet m_fleet;
  std::size_t m_lists_before = 0;
};

// Guards against the collapse of a fleet of hundreds after a declaration: some
// instances missed the list because it arrived before they had read the
// declaration, those below them in the tree as well, and all asked the origin
// at the same time, whose link then carried more lists than pieces.
TEST_P(ListSpreadTest, ReachesAllInstancesWithoutAStormAtTheOrigin) {
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  m_fleet.Run(GetParam().limit);
  EXPECT_EQ(m_fleet.ListedCount(2), m_fleet.Size());
  EXPECT_LE(NewOriginLists(), 4U);
  m_fleet.Run(milliseconds(3000));
  EXPECT_LE(NewOriginLists(), 4U);
  EXPECT_LE(m_fleet.MaximumOriginLists(), 4U);
}

// Guards against the same storm when all processes start at the same time.
TEST_P(ListSpreadTest, StartsWithoutAStormAtTheOrigin) {
  EXPECT_EQ(m_fleet.ListedCount(1), m_fleet.Size());
  EXPECT_LE(m_lists_before, 4U);
}

// Guards against instances that join asking the origin for a list that all
// others have.
TEST_P(ListSpreadTest, JoiningInstancesAskTheOthers) {
  const std::size_t joining = m_fleet.Size() / 2;
  for (std::size_t i = 0; i < joining; ++i) {
    m_fleet.AddInstance();
  }
  m_fleet.DeclareVersion(1, /*newly_declared=*/false);
  m_fleet.Run(milliseconds(1500));
  EXPECT_EQ(m_fleet.ListedCount(1), m_fleet.Size());
  EXPECT_LE(NewOriginLists(), 4U);
}

// Guards against a storm when the origin comes back after an outage.
TEST_P(ListSpreadTest, AsksTheOriginSparinglyDuringAnOutage) {
  m_fleet.SetOriginAvailable(false);
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  m_fleet.Run(milliseconds(6000));
  // Four instances ask up to four times a second at first, then once a second;
  // all others together 25 times a second.
  EXPECT_LE(NewOriginLists(), 4U * 12 + 6 * 25);
  m_fleet.SetOriginAvailable(true);
  m_fleet.Run(GetParam().limit + milliseconds(1000));
  EXPECT_EQ(m_fleet.ListedCount(2), m_fleet.Size());
  EXPECT_LE(m_fleet.MaximumOriginLists(), 8U);
}

// Guards against an instance that learns of a version only when its own watch
// of the store ends, although all others have it.
TEST_P(ListSpreadTest, TellsInstancesThatMissedTheDeclaration) {
  for (std::size_t i = 0; i < m_fleet.Size(); i += 4) {
    m_fleet.SetStoreAvailable(i, false);
  }
  m_fleet.DeclareVersion(2, /*newly_declared=*/true);
  // The first instances load 2.6 s after the declaration.
  m_fleet.Run(milliseconds(2500));
  const std::size_t without_store = (m_fleet.Size() + 3) / 4;
  EXPECT_EQ(m_fleet.ListedCount(2), m_fleet.Size() - without_store);
  // Instances without the store ask nobody, so a message that is lost on its
  // way down the tree leaves one of them without the news.
  const double reached = 1 - 2 * GetParam().options.message_loss;
  EXPECT_GE(static_cast<double>(m_fleet.NewerVersionCount()),
            reached * static_cast<double>(without_store));
  EXPECT_LE(NewOriginLists(), 4U);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    ListSpreadTest,
    testing::Values(SpreadCase{"Of16",
                               {.instances = 16,
                                .seed = 1,
                                .regions = 3,
                                .maximum_declaration_delay = milliseconds(150),
                                .origin_bytes_per_second = kOriginRate},
                               milliseconds(1000)},
                    SpreadCase{"Of64",
                               {.instances = 64,
                                .seed = 2,
                                .regions = 3,
                                .maximum_declaration_delay = milliseconds(150),
                                .origin_bytes_per_second = kOriginRate},
                               milliseconds(1000)},
                    SpreadCase{"Of265",
                               {.instances = 265,
                                .seed = 3,
                                .regions = 5,
                                .maximum_declaration_delay = milliseconds(150),
                                .origin_bytes_per_second = kOriginRate},
                               milliseconds(1000)},
                    SpreadCase{"Of265WithLoss",
                               {.instances = 265,
                                .seed = 4,
                                .regions = 5,
                                .maximum_declaration_delay = milliseconds(150),
                                .message_loss = 0.1,
                                .origin_bytes_per_second = kOriginRate},
                               milliseconds(1500)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::staging
