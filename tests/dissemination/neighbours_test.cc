#include "radishrudder/dissemination/neighbours.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace radishrudder::dissemination {
namespace {

constexpr std::uint32_t kLocalRings = 3;
constexpr std::size_t kMaximumNeighbours = 8;

std::vector<GossipNode> MakeNodes(int count, int data_centres) {
  std::vector<GossipNode> nodes;
  for (int i = 0; i < count; ++i) {
    nodes.push_back(
        {"p" + std::to_string(i), "dc" + std::to_string(i % data_centres)});
  }
  return nodes;
}

TEST(ChooseNeighboursTest, IsSymmetricAndBounded) {
  const std::vector<GossipNode> nodes = MakeNodes(100, 4);
  for (const GossipNode& node : nodes) {
    const auto chosen = ChooseNeighbours(node, nodes, kLocalRings);
    EXPECT_LE(chosen.size(), kMaximumNeighbours);
    for (const std::string& name : chosen) {
      const auto other =
          std::find_if(nodes.begin(), nodes.end(),
                       [&](const auto& o) { return o.instance == name; });
      const auto neighbours_of_other =
          ChooseNeighbours(*other, nodes, kLocalRings);
      EXPECT_TRUE(std::binary_search(neighbours_of_other.begin(),
                                     neighbours_of_other.end(), node.instance));
    }
  }
}

TEST(ChooseNeighboursTest, TwoProcessesAreNeighbours) {
  const std::vector<GossipNode> nodes = {{"a", "x"}, {"b", "y"}};
  EXPECT_EQ(ChooseNeighbours(nodes[0], nodes, kLocalRings),
            std::vector<std::string>{"b"});
  EXPECT_EQ(ChooseNeighbours(nodes[1], nodes, kLocalRings),
            std::vector<std::string>{"a"});
}

TEST(ChooseNeighboursTest, ConnectsAllProcesses) {
  const std::vector<GossipNode> nodes = MakeNodes(200, 7);
  std::set<std::string> reached = {"p0"};
  std::vector<GossipNode> unvisited = {nodes[0]};
  while (!unvisited.empty()) {
    const GossipNode node = unvisited.back();
    unvisited.pop_back();
    for (const auto& name : ChooseNeighbours(node, nodes, kLocalRings)) {
      if (reached.insert(name).second) {
        unvisited.push_back(*std::find_if(
            nodes.begin(), nodes.end(),
            [&](const auto& other) { return other.instance == name; }));
      }
    }
  }
  EXPECT_EQ(reached.size(), nodes.size());
}

TEST(IsSelectedByRendezvousTest, SelectsCountInEachDataCentre) {
  const std::vector<GossipNode> nodes = MakeNodes(40, 4);
  std::map<std::string, int> chosen;
  for (const GossipNode& node : nodes) {
    chosen[node.data_centre] +=
        IsSelectedByRendezvous("x", node, nodes, 2) ? 1 : 0;
  }
  for (const auto& [data_centre, count] : chosen) {
    EXPECT_EQ(count, 2) << data_centre;
  }
}

}  // namespace
}  // namespace radishrudder::dissemination
