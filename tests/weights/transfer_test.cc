#include "radishrudder/weights/transfer.h"

#include <gtest/gtest.h>

#include "tests/weights/transfer_fleet.h"

namespace radishrudder::weights {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kChunkBytes = 1024;
constexpr std::size_t kChunks = 60;
constexpr double kMaximumCopies = 1.1;

std::string MakeBytes(std::uint64_t seed) {
  kernel::Random random(seed);
  std::string bytes(kChunkBytes * kChunks - 17, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random.Next());
  }
  return bytes;
}

// Three regions of four instances each, the store in the first.
class TransferTest : public testing::TestWithParam<int> {
 protected:
  TransferTest() : m_fleet(static_cast<std::uint64_t>(GetParam())) {
    m_fleet.settings.instance_link_bytes_per_second = 16.0 * 1024;
    m_fleet.settings.origin_bytes_per_second = 32.0 * 1024;
    for (const std::string region : {"r1", "r2", "r3"}) {
      for (const std::string number : {"-0", "-1", "-2", "-3"}) {
        m_fleet.Add(region + number);
      }
    }
    m_fleet.TellPeers();
    m_bytes = MakeBytes(7);
    m_digest = m_fleet.Publish("model.bin", m_bytes, kChunkBytes);
  }

  bool RunUntilHalf(const std::string& instance) {
    return m_fleet.Run(seconds(30), [&] {
      return m_fleet.Core(instance).Progress(m_digest).chunks_present >=
             kChunks / 2;
    });
  }

  TransferFleet m_fleet;
  std::string m_bytes;
  std::string m_digest;
};

TEST_P(TransferTest, EveryInstanceGetsTheVersionFromOneCopy) {
  m_fleet.WantEverywhere({m_digest});
  EXPECT_TRUE(m_fleet.RunToCompletion(seconds(30), m_digest));
  EXPECT_LE(m_fleet.Copies(Source::kOrigin, m_digest), kMaximumCopies);
  EXPECT_EQ(m_fleet.Copies(Source::kStore, m_digest), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TransferTest, testing::Range(1, 6));

}  // namespace
}  // namespace radishrudder::weights
