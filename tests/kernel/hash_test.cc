#include "radishrudder/kernel/hash.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace radishrudder::kernel {
namespace {

std::vector<std::string> InstanceNames(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("instance-" + std::to_string(i));
  }
  return names;
}

std::vector<std::string> OrderNames(const std::string& key,
                                    const std::vector<std::string>& names) {
  std::vector<std::string> ordered;
  for (const std::size_t index : RendezvousOrder(key, names)) {
    ordered.push_back(names[index]);
  }
  return ordered;
}

TEST(RendezvousOrderTest, RemovingNamePreservesOrderOfOthers) {
  std::vector<std::string> names = InstanceNames(20);
  std::vector<std::string> before = OrderNames("key", names);
  names.erase(names.begin() + 7);
  std::erase(before, "instance-7");
  EXPECT_EQ(OrderNames("key", names), before);
}

TEST(RendezvousOrderTest, IsIndependentOfInputOrder) {
  std::vector<std::string> names = InstanceNames(20);
  const std::vector<std::string> before = OrderNames("key", names);
  std::reverse(names.begin(), names.end());
  EXPECT_EQ(OrderNames("key", names), before);
}

TEST(RendezvousOrderTest, DistributesKeysEvenly) {
  constexpr int kNameCount = 10;
  constexpr int kKeyCount = 10'000;
  constexpr int kExpectedKeysPerName = kKeyCount / kNameCount;
  constexpr int kTolerance = kExpectedKeysPerName / 4;
  const std::vector<std::string> names = InstanceNames(kNameCount);
  std::vector<int> keys_per_name(kNameCount);
  for (int key = 0; key < kKeyCount; ++key) {
    ++keys_per_name[RendezvousOrder("key-" + std::to_string(key), names)
                        .front()];
  }
  for (const int count : keys_per_name) {
    EXPECT_NEAR(count, kExpectedKeysPerName, kTolerance);
  }
}

TEST(StableHashTest, DependsOnBoundaryBetweenTexts) {
  EXPECT_NE(StableHash("ab", "c"), StableHash("a", "bc"));
}

}  // namespace
}  // namespace radishrudder::kernel
