#include <gtest/gtest.h>

#include <vector>

#include "radishrudder/rollout/rollout.h"

namespace radishrudder::rollout {
namespace {

using std::chrono::seconds;

document::ServiceDocument DocumentOf(const std::string& digest) {
  document::ServiceDocument document;
  document.service = "draft";
  document.model = document::ModelSection{.name = "m",
                                          .version = digest,
                                          .manifest_digest = digest,
                                          .adapters = {}};
  return document;
}

// The only instance of its service, whose read-backs may be answered late and
// in any order.
class ReadBackTest : public testing::Test {
 protected:
  ReadBackTest()
      : m_rollout({.self = {"self", 9}, .service = "draft"},
                  kernel::Random(1)) {
    m_rollout.OnPeers(m_now, {});
    SetTarget(1, "v1");
  }

  void SetTarget(std::uint64_t revision, const std::string& digest) {
    m_rollout.OnDocument(m_now, revision, DocumentOf(digest));
    m_rollout.OnWeightsComplete(m_now, digest);
    HandleOutputs();
  }
  // Returns the read-back that is requested after this time.
  ReadBack Wait(kernel::Duration time) {
    m_now += time;
    m_rollout.OnTick(m_now);
    HandleOutputs();
    return m_read_back;
  }
  // Returns whether the answer was used.
  bool Answer(const ReadBack& request, const std::string& digest) {
    const bool is_used =
        m_rollout.OnEndpointStatus(m_now, request, {true, digest, "s1"});
    HandleOutputs();
    return is_used;
  }
  ReadBack EmptyGate() {
    m_rollout.OnGateEmpty(m_now);
    HandleOutputs();
    return m_read_back;
  }
  ReadBack EndOrder(OrderResult result) {
    m_rollout.OnOrderResult(m_now, m_orders.back().fence, result);
    HandleOutputs();
    return m_read_back;
  }

  // Makes the instance serve "v1" and close its gate for "v2".
  void StartChange() {
    Answer(Wait(seconds(1)), "v1");
    EXPECT_TRUE(m_gate_open);
    SetTarget(2, "v2");
    EXPECT_FALSE(m_gate_open);
  }

  kernel::Time m_now{std::chrono::hours(1)};
  ReadBack m_read_back;
  bool m_gate_open = false;
  std::vector<OrderLoad> m_orders;
  Readiness m_published;

 private:
  void HandleOutputs() {
    for (const RolloutOutput& output : m_rollout.TakeOutputs()) {
      if (const auto* read = std::get_if<ReadBack>(&output)) {
        m_read_back = *read;
      } else if (const auto* order = std::get_if<OrderLoad>(&output)) {
        m_orders.push_back(*order);
      } else if (const auto* ready = std::get_if<Readiness>(&output)) {
        m_published = *ready;
      } else {
        m_gate_open = std::holds_alternative<OpenGate>(output);
      }
    }
  }

  Rollout m_rollout;
};

// Guards against a gate that opens on the former version, because a status of
// before the end of the order arrives after it.
TEST_F(ReadBackTest, StatusRequestedDuringTheOrderDoesNotConfirmIt) {
  StartChange();
  Answer(EmptyGate(), "v1");
  ASSERT_EQ(m_orders.size(), 1U);
  const ReadBack during = Wait(seconds(1));
  const ReadBack after = EndOrder(OrderResult::kDone);
  EXPECT_FALSE(Answer(during, "v1"));
  EXPECT_FALSE(m_gate_open) << m_published.running_digest;
  Answer(after, "v2");
  EXPECT_TRUE(m_gate_open);
  EXPECT_EQ(m_published.running_digest, "v2");
}

// Guards against an order on a status of before the last call ended, which says
// nothing of what others ordered in the meantime.
TEST_F(ReadBackTest, StatusRequestedBeforeTheGateWasEmptyLeadsToNoOrder) {
  StartChange();
  const ReadBack before = Wait(seconds(1));
  const ReadBack after = EmptyGate();
  Answer(before, "v1");
  EXPECT_TRUE(m_orders.empty());
  Answer(after, "v1");
  EXPECT_EQ(m_orders.size(), 1U);
}

// Guards against a version that is withdrawn because an earlier status arrives
// after a later one.
TEST_F(ReadBackTest, EarlierStatusDoesNotReplaceALaterOne) {
  StartChange();
  Answer(EmptyGate(), "v1");
  const ReadBack confirming = EndOrder(OrderResult::kDone);
  Answer(confirming, "v2");
  const ReadBack earlier = Wait(seconds(1));
  EXPECT_TRUE(Answer(Wait(seconds(1)), "v2"));
  EXPECT_FALSE(Answer(earlier, "v1"));
  EXPECT_TRUE(m_gate_open);
  EXPECT_EQ(m_published.running_digest, "v2");
}

// Guards against an old status that counts as recent because another read-back
// was requested before it was read, as after a pause of this process.
TEST_F(ReadBackTest, StatusOfBeforeAPauseIsOld) {
  const ReadBack before = Wait(seconds(1));
  const ReadBack after = Wait(seconds(10));
  Answer(before, "v1");
  EXPECT_FALSE(m_gate_open);
  Answer(after, "v1");
  EXPECT_TRUE(m_gate_open);
}

// Guards against a late status that is ignored without another request.
TEST_F(ReadBackTest, LateStatusIsRequestedAgain) {
  const ReadBack late = Wait(seconds(1));
  m_now += seconds(10);
  EXPECT_FALSE(Answer(late, "v1"));
  EXPECT_FALSE(m_gate_open);
  EXPECT_GT(m_read_back.number, late.number);
}

// Guards against an endpoint that counts as out of reach because each status
// takes longer than the interval of the read-backs.
TEST_F(ReadBackTest, EachOfSeveralOutstandingStatusesCounts) {
  ReadBack outstanding = Wait(seconds(1));
  for (int i = 0; i < 5; ++i) {
    const ReadBack next = Wait(seconds(1));
    Answer(outstanding, "v1");
    EXPECT_TRUE(m_gate_open);
    outstanding = next;
  }
}

}  // namespace
}  // namespace radishrudder::rollout
