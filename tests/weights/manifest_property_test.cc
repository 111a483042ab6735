#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {
namespace {

// Checks that an accepted text is the canonical text of the parsed manifest.
void CheckParse(const std::string& text) {
  kernel::Findings findings;
  const auto parsed = ParseManifest("m.json", text, findings);
  RC_ASSERT(parsed.has_value() != findings.HasErrors());
  if (parsed) {
    RC_ASSERT(text == ToText(*parsed) || text == ToText(*parsed) + "\n");
  }
}

class ManifestPropertyTest : public testing::Test {
 protected:
  // The seed is fixed unless RC_PARAMS is already set.
  static void SetUpTestSuite() {
    setenv("RC_PARAMS", "seed=20261203 max_success=500", 0);
  }
};

TEST_F(ManifestPropertyTest, RandomBytesNeverCrash) {
  EXPECT_TRUE(rc::check([](const std::string& text) { CheckParse(text); }));
}

TEST_F(ManifestPropertyTest, MutatedTextIsRefusedOrCanonical) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    const auto chunk_bytes = *rc::gen::inRange<std::uint32_t>(1, 20);
    std::string text = ToText(DescribeFile("model.bin", bytes, chunk_bytes));
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto count = *rc::gen::inRange<std::size_t>(0, 5);
      text.replace(at, count, *rc::gen::arbitrary<std::string>());
    }
    CheckParse(text);
  }));
}

TEST_F(ManifestPropertyTest, DescribedFileRoundTrips) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    const auto chunk_bytes = *rc::gen::inRange<std::uint32_t>(1, 50);
    const Manifest manifest = DescribeFile("a/b-c_d.bin", bytes, chunk_bytes);
    kernel::Findings findings;
    const auto parsed = ParseManifest("m.json", ToText(manifest), findings);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(ToText(*parsed) == ToText(manifest));
    RC_ASSERT(ManifestDigest(*parsed) == ManifestDigest(manifest));
    std::string joined;
    for (const Chunk& chunk : parsed->chunks) {
      joined += bytes.substr(chunk.offset, chunk.size);
    }
    RC_ASSERT(joined == bytes);
  }));
}

}  // namespace
}  // namespace radishrudder::weights
