#include "radishrudder/routing/endpoint_subset.h"

#include <algorithm>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "tests/routing/routing_fixtures.h"

namespace radishrudder::routing {
namespace {

std::vector<Endpoint> EndpointsInTwoDataCentres(std::size_t near,
                                                std::size_t far) {
  std::vector<Endpoint> endpoints = Endpoints(near);
  const std::vector<Endpoint> others = Endpoints(far, "far", 0.005);
  endpoints.insert(endpoints.end(), others.begin(), others.end());
  return endpoints;
}

std::set<std::string> SelectedNames(const std::string& entry,
                                    std::span<const Endpoint> endpoints) {
  std::set<std::string> names;
  for (const std::size_t index : SelectSubset(entry, endpoints, {})) {
    names.insert(endpoints[index].instance);
  }
  return names;
}

struct SizeCase {
  std::size_t near;
  std::size_t far;
  std::size_t expected_near;
  std::size_t expected_far;
};

class SubsetSizeTest : public testing::TestWithParam<SizeCase> {};

TEST_P(SubsetSizeTest, SelectsNearestFirstAndReservesRemotePlaces) {
  const SizeCase& sizes = GetParam();
  const std::vector<Endpoint> endpoints =
      EndpointsInTwoDataCentres(sizes.near, sizes.far);
  const std::vector<std::size_t> subset = SelectSubset("entry", endpoints, {});
  ASSERT_EQ(subset.size(), sizes.expected_near + sizes.expected_far);
  for (std::size_t i = 0; i < subset.size(); ++i) {
    EXPECT_EQ(subset[i] < sizes.near, i < sizes.expected_near);
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         SubsetSizeTest,
                         testing::Values(SizeCase{0, 0, 0, 0},
                                         SizeCase{5, 11, 5, 11},
                                         SizeCase{134, 806, 24, 8},
                                         SizeCase{134, 3, 29, 3},
                                         SizeCase{4, 100, 4, 28},
                                         SizeCase{100, 0, 32, 0}));

TEST(EndpointSubsetTest, RemovingOneEndpointReplacesOnlyThatEndpoint) {
  std::vector<Endpoint> endpoints = Endpoints(200);
  const std::set<std::string> before = SelectedNames("entry", endpoints);
  std::erase_if(endpoints, [&](const Endpoint& endpoint) {
    return endpoint.instance == *before.begin();
  });
  const std::set<std::string> after = SelectedNames("entry", endpoints);
  std::vector<std::string> common;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(common));
  EXPECT_EQ(common.size(), before.size() - 1);
}

TEST(EndpointSubsetTest, ReplacesLeavingEndpoints) {
  std::vector<Endpoint> endpoints = Endpoints(200);
  const std::string leaving = *SelectedNames("entry", endpoints).begin();
  for (Endpoint& endpoint : endpoints) {
    endpoint.leaving = endpoint.instance == leaving;
  }
  const std::set<std::string> after = SelectedNames("entry", endpoints);
  EXPECT_EQ(after.size(), 32U);
  EXPECT_FALSE(after.contains(leaving));
}

TEST(EndpointSubsetTest, KeepsSuspectedEndpointsInAdditionToReplacements) {
  std::vector<Endpoint> endpoints = Endpoints(200);
  const std::set<std::string> before = SelectedNames("entry", endpoints);
  for (Endpoint& endpoint : endpoints) {
    endpoint.suspected = endpoint.instance == *before.begin();
  }
  const std::set<std::string> after = SelectedNames("entry", endpoints);
  EXPECT_EQ(after.size(), 33U);
  EXPECT_TRUE(
      std::includes(after.begin(), after.end(), before.begin(), before.end()));
}

TEST(EndpointSubsetTest, SubsetsOfAllEntriesCoverAllEndpoints) {
  constexpr int kEntries = 400;
  const std::vector<Endpoint> endpoints = Endpoints(940);
  std::vector<int> entry_counts(endpoints.size());
  for (int entry = 0; entry < kEntries; ++entry) {
    for (const std::size_t index :
         SelectSubset("entry-" + std::to_string(entry), endpoints, {})) {
      ++entry_counts[index];
    }
  }
  EXPECT_GT(*std::min_element(entry_counts.begin(), entry_counts.end()), 0);
}

}  // namespace
}  // namespace radishrudder::routing
