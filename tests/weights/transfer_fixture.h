#ifndef TESTS_WEIGHTS_TRANSFER_FIXTURE_H_
#define TESTS_WEIGHTS_TRANSFER_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>

#include "tests/weights/transfer_fleet.h"

namespace radishrudder::weights {

inline constexpr std::uint32_t kChunkBytes = 1024;
inline constexpr std::size_t kChunks = 60;
inline constexpr double kMaximumCopies = 1.1;
inline constexpr double kMaximumCopiesWithFaults = 2;

inline std::string MakeBytes(std::uint64_t seed) {
  kernel::Random random(seed);
  std::string bytes(kChunkBytes * kChunks - 17, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random.Next());
  }
  return bytes;
}

// Three regions of four instances each; the store is in the first region. The
// test parameter is the seed.
class TransferFleetTest : public testing::TestWithParam<int> {
 protected:
  TransferFleetTest() : m_fleet(static_cast<std::uint64_t>(GetParam())) {
    m_fleet.settings.instance_link_bytes_per_second = 16.0 * 1024;
    m_fleet.settings.origin_bytes_per_second = 32.0 * 1024;
    for (const std::string region : {"r1", "r2", "r3"}) {
      for (const std::string number : {"-0", "-1", "-2", "-3"}) {
        m_fleet.Add(region + number);
      }
    }
    m_fleet.DistributePeers();
    m_bytes = MakeBytes(7);
    m_digest = m_fleet.Publish("model.bin", m_bytes, kChunkBytes);
  }

  bool RunUntilHalf(const std::string& instance) {
    return m_fleet.Run(std::chrono::seconds(30), [&] {
      return m_fleet.Core(instance).Progress(m_digest).chunks_present >=
             kChunks / 2;
    });
  }

  TransferFleet m_fleet;
  std::string m_bytes;
  std::string m_digest;
};

}  // namespace radishrudder::weights

#endif  // TESTS_WEIGHTS_TRANSFER_FIXTURE_H_
