// Tests who asks the origin for a piece list, and when.
#include "source/radishrudder/staging/list_search.h"

#include <gtest/gtest.h>

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInstances = 100;
constexpr kernel::Time kStart{std::chrono::hours(1)};

class ListSearchTest : public testing::Test {
 protected:
  ListSearchTest() {
    for (std::size_t i = 0; i < kInstances; ++i) {
      const std::string name = "10.0.0." + std::to_string(i);
      m_searches.emplace_back(name, "a", kernel::Random(i + 1));
      m_peers.push_back({.instance = name, .data_centre = "a", .region = "a"});
      m_searches.back().Start(kStart, "draft/1", /*newly_declared=*/false);
    }
  }

  // Returns the number of requests to the origin in a time. None is answered.
  std::size_t CountOriginRequests(milliseconds begin, milliseconds end) {
    std::size_t count = 0;
    for (milliseconds at = begin; at < end; at += milliseconds(10)) {
      for (ListSearch& search : m_searches) {
        for (const ListSearch::Step& step : search.Advance(kStart + at)) {
          count += std::holds_alternative<ListSearch::AskOrigin>(step) ? 1 : 0;
        }
      }
    }
    return count;
  }

  std::vector<ListSearch> m_searches;
  std::vector<weights::TransferPeer> m_peers;
};

// Guards against a storm when all processes start at the same time: each knew
// no other instance at first, took itself for the first one, and asked the
// origin as soon as the others were known.
TEST_F(ListSearchTest, KeepsTurnsWhenPeersAreKnownLate) {
  EXPECT_EQ(CountOriginRequests(milliseconds(0), milliseconds(1500)), 0U);
  for (ListSearch& search : m_searches) {
    search.OnPeers(kStart + milliseconds(1500), m_peers);
  }
  EXPECT_LE(CountOriginRequests(milliseconds(1500), milliseconds(2900)), 4U);
}

// An instance whose list of instances does not arrive must not wait for ever.
TEST_F(ListSearchTest, AsksTheOriginWithoutPeersInTheEnd) {
  EXPECT_EQ(CountOriginRequests(milliseconds(0), milliseconds(3500)), 0U);
  EXPECT_EQ(CountOriginRequests(milliseconds(3500), milliseconds(7000)),
            kInstances);
}

// Guards against the same wrong list from another instance after the origin's
// pieces contradicted it.
TEST_F(ListSearchTest, AsksOnlyTheOriginAfterAWrongList) {
  ListSearch& search = m_searches.front();
  search.OnPeers(kStart, m_peers);
  search.Finish();
  EXPECT_TRUE(search.Advance(kStart + milliseconds(5000)).empty());
  search.RestartAtOrigin(kStart + milliseconds(5000));
  const auto steps = search.Advance(kStart + milliseconds(5000));
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ListSearch::AskOrigin>(steps.front()));
}

}  // namespace
}  // namespace radishrudder::staging
