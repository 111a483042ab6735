#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "radishrudder/direct/allowed_regions.h"

namespace radishrudder::direct {
namespace {

using Names = std::vector<std::string>;

RegionsByDataCentre MakeRegions() {
  return {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}, {"n1", ""}};
}

struct AllowedCase {
  const char* name;
  Names route;
  Names workspace;
  std::optional<Names> expected;
};

class AllowedDataCentresTest : public testing::TestWithParam<AllowedCase> {};

// Guards against a call being served outside of its regions, or refused
// although a region is allowed.
TEST_P(AllowedDataCentresTest, AreThoseOfRegionsInBothLists) {
  const auto allowed =
      AllowedDataCentres(GetParam().route, GetParam().workspace, MakeRegions());
  EXPECT_EQ(allowed, GetParam().expected);
  EXPECT_EQ(IsAllowed(allowed, "unlisted"), !GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AllowedDataCentresTest,
    testing::Values(AllowedCase{"NoLists", {}, {}, std::nullopt},
                    AllowedCase{"RouteOnly", {"a"}, {}, Names{"a1", "a2"}},
                    AllowedCase{"WorkspaceOnly", {}, {"b"}, Names{"b1"}},
                    AllowedCase{"Common", {"a", "b"}, {"b", "c"}, Names{"b1"}},
                    AllowedCase{"Repeated", {"b", "b"}, {"b"}, Names{"b1"}},
                    AllowedCase{"NothingInCommon", {"a"}, {"b"}, Names{}},
                    AllowedCase{"Unknown", {"z"}, {}, Names{}},
                    AllowedCase{"KnownAndUnknown", {"z", "c"}, {}, Names{"c1"}},
                    // A list that could not be read; "n1" has no region either.
                    AllowedCase{"EmptyName", {""}, {}, Names{}},
                    AllowedCase{"EmptyNameInBoth", {""}, {""}, Names{}}),
    [](const auto& test) { return std::string(test.param.name); });

}  // namespace
}  // namespace radishrudder::direct
