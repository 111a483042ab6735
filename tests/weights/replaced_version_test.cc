#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {
namespace {

constexpr std::uint32_t kChunkBytes = 4;
constexpr char kFirstBytes[] = "0123456789";
constexpr char kSecondBytes[] = "abcdefghij";

// The only instance of its service; its fetches are answered by the test.
class ReplacedVersion {
 public:
  ReplacedVersion() : m_transfer(MakeSettings(), kernel::Random(1), m_now) {
    m_transfer.OnPeers(m_now, {});
  }

  std::string Want(const std::string& bytes) {
    const Manifest manifest = DescribeFile("w", bytes, kChunkBytes);
    std::string digest = ManifestDigest(manifest);
    m_manifests[digest] = ToText(manifest);
    m_bytes[digest] = bytes;
    m_transfer.SetWantedVersions(m_now, {digest});
    return digest;
  }
  // Runs until each chunk of the version is requested, and holds the requests.
  std::vector<FetchChunk> HoldFetches(const std::string& digest) {
    std::vector<FetchChunk> held;
    for (int i = 0; i < 100; ++i) {
      for (const FetchChunk& fetch : Step()) {
        if (fetch.manifest_digest == digest) {
          held.push_back(fetch);
        }
      }
    }
    EXPECT_FALSE(held.empty());
    return held;
  }
  // Answers a fetch with the chunk of this version.
  void Answer(const FetchChunk& fetch, const std::string& digest) {
    m_transfer.OnChunkFetched(
        m_now, fetch.manifest_digest, fetch.index, fetch.source,
        m_bytes.at(digest).substr(fetch.offset, fetch.size));
  }
  // Answers each fetch with what it asks for.
  void Finish(const std::string& digest) {
    for (int i = 0; i < 1000 && !m_transfer.Progress(digest).complete; ++i) {
      for (const FetchChunk& fetch : Step()) {
        Answer(fetch, fetch.manifest_digest);
      }
    }
  }
  bool IsComplete(const std::string& digest) const {
    return m_transfer.Progress(digest).complete;
  }
  std::string StoredBytes(const std::string& digest) const {
    std::string bytes;
    std::string_view chunk;
    for (std::uint32_t i = 0;
         !(chunk = m_transfer.ChunkBytes(digest, i)).empty(); ++i) {
      bytes += chunk;
    }
    return bytes;
  }

 private:
  static TransferSettings MakeSettings() {
    TransferSettings settings;
    settings.self = {"self", 1};
    settings.region = "r";
    settings.store_region = "r";
    return settings;
  }

  std::vector<FetchChunk> Step() {
    m_now += std::chrono::milliseconds(100);
    m_transfer.OnTick(m_now);
    std::vector<FetchChunk> fetches;
    for (const TransferOutput& output : m_transfer.TakeOutputs()) {
      if (const auto* manifest = std::get_if<FetchManifest>(&output)) {
        m_transfer.OnManifestFetched(m_now, manifest->manifest_digest,
                                     manifest->source,
                                     m_manifests.at(manifest->manifest_digest));
      } else if (const auto* fetch = std::get_if<FetchChunk>(&output)) {
        fetches.push_back(*fetch);
      }
    }
    return fetches;
  }

  kernel::Time m_now{std::chrono::hours(1)};
  Transfer m_transfer;
  std::map<std::string, std::string> m_manifests;
  std::map<std::string, std::string> m_bytes;
};

// When an answer to a fetch for the first version arrives, and which version's
// bytes it has.
struct LateChunkCase {
  const char* name;
  bool is_wanted_again;
  const char* bytes;
};

void PrintTo(const LateChunkCase& late, std::ostream* out) {
  *out << late.name;
}

class LateChunkTest : public testing::TestWithParam<LateChunkCase> {};

// Guards against a version that holds a chunk of another one, because a fetch
// was answered after the version had been replaced.
TEST_P(LateChunkTest, EveryVersionHasItsOwnBytes) {
  ReplacedVersion agent;
  const std::string first = agent.Want(kFirstBytes);
  const std::vector<FetchChunk> held = agent.HoldFetches(first);
  const std::string second = agent.Want(kSecondBytes);
  agent.HoldFetches(second);
  const std::string wanted =
      GetParam().is_wanted_again ? agent.Want(kFirstBytes) : second;
  if (GetParam().is_wanted_again) {
    agent.HoldFetches(first);
  }
  const std::string answered =
      ManifestDigest(DescribeFile("w", GetParam().bytes, kChunkBytes));
  for (const FetchChunk& fetch : held) {
    agent.Answer(fetch, answered);
  }
  agent.Finish(wanted);
  EXPECT_TRUE(agent.IsComplete(wanted));
  EXPECT_EQ(agent.StoredBytes(wanted),
            GetParam().is_wanted_again ? kFirstBytes : kSecondBytes);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LateChunkTest,
    testing::Values(LateChunkCase{"Replaced", false, kFirstBytes},
                    LateChunkCase{"ReplacedOtherBytes", false, kSecondBytes},
                    LateChunkCase{"WantedAgain", true, kFirstBytes},
                    LateChunkCase{"WantedAgainOtherBytes", true, kSecondBytes}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::weights
