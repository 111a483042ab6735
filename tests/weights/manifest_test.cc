#include "radishrudder/weights/manifest.h"

#include <gtest/gtest.h>

namespace radishrudder::weights {
namespace {

constexpr std::string_view kBytes = "0123456789";

std::string Replace(std::string text,
                    std::string_view from,
                    std::string_view to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(ManifestTest, SplitsFileWithoutGaps) {
  const Manifest manifest = DescribeFile("model.bin", kBytes, 4);
  ASSERT_EQ(manifest.chunks.size(), 3U);
  EXPECT_EQ(manifest.chunks[2].offset, 8U);
  EXPECT_EQ(manifest.chunks[2].size, 2U);
  EXPECT_EQ(manifest.chunks[2].digest, Sha256("89"));
  EXPECT_EQ(manifest.file_digest, Sha256(kBytes));
}

TEST(ManifestTest, IdentityIsTheDigestOfTheCanonicalText) {
  Manifest manifest = DescribeFile("model.bin", kBytes, 4);
  const std::string digest = ManifestDigest(manifest);
  EXPECT_EQ(digest, ToText(Sha256(ToText(manifest))));
  manifest.base = digest;
  EXPECT_NE(ManifestDigest(manifest), digest);
}

// Some origins provide only the digests of the chunks.
TEST(ManifestTest, AcceptsMissingFileDigest) {
  Manifest manifest = DescribeFile("model.bin", kBytes, 4);
  manifest.file_digest.reset();
  kernel::Findings findings;
  const auto parsed = ParseManifest("m.json", ToText(manifest), findings);
  ASSERT_TRUE(parsed) << kernel::Format(findings);
  EXPECT_FALSE(parsed->file_digest);
  EXPECT_EQ(ManifestDigest(*parsed), ManifestDigest(manifest));
}

TEST(ManifestTest, IgnoresOneTrailingLineFeed) {
  const Manifest manifest = DescribeFile("model.bin", kBytes, 4);
  kernel::Findings findings;
  const auto parsed =
      ParseManifest("m.json", ToText(manifest) + "\n", findings);
  ASSERT_TRUE(parsed) << kernel::Format(findings);
  EXPECT_EQ(ManifestDigest(*parsed), ManifestDigest(manifest));
}

struct InvalidCase {
  std::string name;
  std::string from;
  std::string to;
  std::string pointer;
};

void PrintTo(const InvalidCase& invalid_case, std::ostream* out) {
  *out << invalid_case.name;
}

class ManifestRefusalTest : public testing::TestWithParam<InvalidCase> {};

TEST_P(ManifestRefusalTest, IsRefusedWithPointer) {
  const std::string text = Replace(ToText(DescribeFile("model.bin", kBytes, 4)),
                                   GetParam().from, GetParam().to);
  kernel::Findings findings;
  EXPECT_FALSE(ParseManifest("m.json", text, findings));
  ASSERT_FALSE(findings.Empty());
  EXPECT_EQ(findings.Items()[0].place.source, "m.json");
  EXPECT_EQ(findings.Items()[0].place.pointer, GetParam().pointer);
  EXPECT_FALSE(findings.Items()[0].valid.empty());
}

INSTANTIATE_TEST_SUITE_P(
    InvalidTexts,
    ManifestRefusalTest,
    testing::Values(
        InvalidCase{"SizeOfFile", "\"size\":10", "\"size\":11", "/size"},
        InvalidCase{"HugeSize", "\"size\":10", "\"size\":18446744073709551615",
                    "/size"},
        InvalidCase{"NegativeSize", "\"size\":10", "\"size\":-1", "/size"},
        InvalidCase{"FractionalSize", "\"size\":10", "\"size\":10.5", "/size"},
        InvalidCase{"SizeOfChunk", "\"size\":4", "\"size\":5",
                    "/chunks/1/offset"},
        InvalidCase{"EmptyChunk", "\"size\":4", "\"size\":0", "/chunks/0/size"},
        InvalidCase{"ChunkTooLarge", "\"size\":4", "\"size\":4194305",
                    "/chunks/0/size"},
        InvalidCase{"Gap", "\"offset\":4", "\"offset\":5", "/chunks/1/offset"},
        InvalidCase{"HugeOffset", "\"offset\":8",
                    "\"offset\":18446744073709551615", "/chunks/2/offset"},
        InvalidCase{"FileAbove", "model.bin", "../m.bin", "/file"},
        InvalidCase{"FileAtRoot", "model.bin", "/m.bin", "/file"},
        InvalidCase{"NoFileName", "model.bin", "", "/file"},
        InvalidCase{"Base", "\"base\":\"\"", "\"base\":\"x\"", "/base"},
        InvalidCase{"UnknownMember", "\"file\"", "\"name\":1,\"file\"",
                    "/name"},
        InvalidCase{"MemberTwice", "\"file\"", "\"size\":10,\"file\"", ""},
        InvalidCase{"Blank", "\"file\":", "\"file\": ", ""},
        InvalidCase{"ChunksAreNoArray", "\"chunks\":[",
                    "\"chunks\":7,\"other\":[", "/other"},
        InvalidCase{"Cut", "]", "", ""}),
    [](const auto& info) { return info.param.name; });

TEST(ManifestTest, RefusesTextBeyondMaximumSize) {
  kernel::Findings findings;
  const std::string text(kMaximumManifestBytes + 1, '[');
  EXPECT_FALSE(ParseManifest("m.json", text, findings));
  EXPECT_EQ(findings.Items().size(), 1U);
}

TEST(ManifestTest, RefusesDeepNesting) {
  kernel::Findings findings;
  const std::string text = std::string(1000, '[') + std::string(1000, ']');
  EXPECT_FALSE(ParseManifest("m.json", text, findings));
  EXPECT_FALSE(findings.Empty());
}

}  // namespace
}  // namespace radishrudder::weights
