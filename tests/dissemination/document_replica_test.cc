#include "radishrudder/dissemination/document_replica.h"

#include <gtest/gtest.h>

#include "replica_network.h"

namespace radishrudder::dissemination {
namespace {

using std::chrono::seconds;

constexpr int kProcesses = 60;
constexpr int kDataCentres = 3;
constexpr kernel::Duration kPropagationTimeout = seconds(3);

struct LossCase {
  const char* name;
  double loss;
};

class PropagationTest : public testing::TestWithParam<LossCase> {};

TEST_P(PropagationTest, DocumentTakesEffectInEveryProcessWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ReplicaNetwork network(seed, kProcesses, kDataCentres);
    network.loss = GetParam().loss;
    network.Start();
    network.RunFor(seconds(5));
    network.Service().Publish("draft", "{}");
    network.RunFor(kPropagationTimeout);
    EXPECT_EQ(network.CountInForce("draft", 1), kProcesses) << "seed " << seed;
    EXPECT_EQ(network.Regressions(), 0);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         PropagationTest,
                         testing::Values(LossCase{"NoLoss", 0},
                                         LossCase{"TenPercentLost", 0.1}),
                         [](const auto& info) { return info.param.name; });

TEST(DocumentReplicaTest, SingleProcessReadsAndBecomesCurrent) {
  ReplicaNetwork network(1, 1, 1);
  network.Service().Publish("draft", "{}");
  network.Start();
  network.RunFor(seconds(1));
  EXPECT_EQ(network.CountInForce("draft", 1), 1);
  EXPECT_TRUE(network.At(0).replica->IsReader());
  EXPECT_TRUE(network.At(0).replica->IsCurrent());
}

TEST(DocumentReplicaTest, OnlyTheReadersOfEachDataCentreRead) {
  ReplicaNetwork network(2, kProcesses, kDataCentres);
  network.Service().Publish("draft", "{}");
  network.Start();
  network.RunFor(seconds(10));
  int readers = 0;
  for (std::size_t i = 0; i < network.Size(); ++i) {
    readers += network.At(i).replica->IsReader() ? 1 : 0;
    EXPECT_TRUE(network.At(i).replica->IsCurrent()) << i;
    EXPECT_EQ(network.At(i).reads != 0, network.At(i).replica->IsReader());
  }
  EXPECT_EQ(readers, 2 * kDataCentres);
}

TEST(DocumentReplicaTest, RejectsLowerRevisionFromServiceAndPeers) {
  DocumentReplica replica({.self = {"p0", 1}, .data_centre = "a"},
                          kernel::Random(1));
  const kernel::Time now{seconds(1)};
  replica.OnPeers(now, {});
  replica.OnRead(now, {true, 9, {{"draft", 9, false, "new"}}});
  replica.OnRead(now, {true, 4, {{"draft", 4, false, "old"}}});
  wire::Envelope message;
  message.mutable_document_update()->set_service("draft");
  message.mutable_document_update()->set_revision(8);
  replica.OnMessage(now, message);
  EXPECT_EQ(replica.Find("draft")->revision, 9U);
  EXPECT_EQ(replica.Find("draft")->content, "new");
}

}  // namespace
}  // namespace radishrudder::dissemination
