#include "file_source.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "radishrudder/weights/manifest.h"
#include "tests/standins/running_stand_in.h"

namespace radishrudder::standin {
namespace {

constexpr char kBytes[] = "0123456789abcdef";

class FileSourceTest : public testing::Test {
 protected:
  FileSourceTest()
      : m_directory(testing::TempDir() + "file_source_" +
                    std::to_string(getpid())) {
    std::filesystem::create_directories(m_directory);
    std::ofstream(m_directory + "/w.bin") << kBytes;
    const auto manifest = weights::DescribeFile("w.bin", kBytes, 10);
    m_digest = weights::ManifestDigest(manifest);
    std::ofstream(m_directory + "/w.bin.manifest.json")
        << weights::ToText(manifest) << "\n";
  }
  ~FileSourceTest() override { std::filesystem::remove_all(m_directory); }

  static http::WholeAnswer GetRange(RunningStandIn<FileSource>& source,
                                    std::string range) {
    http::ClientRequest request = source.Make("GET", "/files/w.bin");
    request.headers = {{"Range", std::move(range)}};
    return source.Client().FetchNow(request);
  }

  std::string m_directory;
  std::string m_digest;
};

TEST_F(FileSourceTest, ServesManifestsByDigest) {
  RunningStandIn<FileSource> source(
      FileSourceSettings{.directory = m_directory});
  const auto answer = source.Call("GET", "/manifests/" + m_digest);
  EXPECT_EQ(answer.result.status, 200);
  EXPECT_EQ(weights::ToText(weights::Sha256(answer.body)), m_digest);
  EXPECT_EQ(source.Call("GET", "/manifests/sha256:00").result.status, 404);
}

TEST_F(FileSourceTest, ServesRangesAndCountsThem) {
  RunningStandIn<FileSource> source(
      FileSourceSettings{.directory = m_directory});
  const auto answer = GetRange(source, "bytes=10-15");
  EXPECT_EQ(answer.result.status, 206);
  EXPECT_EQ(answer.body, "abcdef");
  EXPECT_EQ(GetRange(source, "bytes=16-20").result.status, 416);
  EXPECT_EQ(GetRange(source, "lines=1-2").result.status, 416);
  EXPECT_EQ(source.Get("/v1/statistics"),
            nlohmann::json({{"requests", 3}, {"bytes", 6}}));
}

TEST_F(FileSourceTest, CorruptsAsControlled) {
  RunningStandIn<FileSource> source(
      FileSourceSettings{.directory = m_directory});
  source.Call("PUT", "/v1/control", R"({"corrupt_percent":100})");
  const auto answer = GetRange(source, "bytes=0-15");
  EXPECT_EQ(answer.body.size(), 16);
  EXPECT_NE(answer.body, kBytes);
}

TEST_F(FileSourceTest, RefusesRequestsOverItsRate) {
  RunningStandIn<FileSource> store(FileSourceSettings{
      .directory = m_directory, .requests_per_second = 0.001});
  const auto answer = GetRange(store, "bytes=0-1");
  EXPECT_EQ(answer.result.status, 429);
  EXPECT_EQ(http::FindHeader(answer.headers, "retry-after"), "1");
}

TEST(SendRateTest, SpacesWhatIsSent) {
  SendRate rate(1000);
  const kernel::Time start{std::chrono::seconds(5)};
  EXPECT_EQ(rate.Reserve(start, 500), std::chrono::milliseconds(500));
  EXPECT_EQ(rate.Reserve(start, 500), std::chrono::milliseconds(1000));
  EXPECT_EQ(rate.Reserve(start + std::chrono::seconds(2), 500),
            std::chrono::milliseconds(500));
}

}  // namespace
}  // namespace radishrudder::standin
