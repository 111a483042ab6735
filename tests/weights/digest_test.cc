#include <gtest/gtest.h>

#include "radishrudder/weights/digest_stream.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::weights {
namespace {

// Example from FIPS 180-4.
constexpr std::string_view kDigestOfAbc =
    "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

TEST(DigestTest, MatchesPublishedExample) {
  EXPECT_EQ(ToText(Sha256("abc")), kDigestOfAbc);
  EXPECT_EQ(ParseDigest(kDigestOfAbc), Sha256("abc"));
}

TEST(DigestTest, StreamedPartsGiveDigestOfAllBytes) {
  DigestStream stream;
  stream.Update("a");
  stream.Update("");
  stream.Update("bc");
  EXPECT_EQ(stream.Finish(), Sha256("abc"));
}

class DigestTextTest : public testing::TestWithParam<std::string> {};

TEST_P(DigestTextTest, RefusesInvalidText) {
  EXPECT_FALSE(ParseDigest(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         DigestTextTest,
                         testing::Values("",
                                         "sha256:",
                                         "sha256:" + std::string(63, '0'),
                                         "sha256:" + std::string(65, '0'),
                                         "sha512:" + std::string(64, '0'),
                                         "sha256:" + std::string(63, '0') + "A",
                                         "sha256:" + std::string(63, '0') +
                                             "g"));

}  // namespace
}  // namespace radishrudder::weights
