#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "radishrudder/settings/settings.h"
#include "tests/programs/run_program.h"

namespace radishrudder::command_line {
namespace {

struct UsageCase {
  const char* name;
  std::vector<std::string> arguments;
  int exit_code;
  const char* in_errors;
};

void PrintTo(const UsageCase& test, std::ostream* stream) {
  *stream << test.name;
}

class UsageTest : public testing::TestWithParam<UsageCase> {};

TEST_P(UsageTest, EndsWithCodeAndReason) {
  const Result result = RunWith(GetParam().arguments);
  EXPECT_EQ(result.exit_code, GetParam().exit_code);
  EXPECT_NE(result.errors.find(GetParam().in_errors), std::string::npos)
      << result.errors;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UsageTest,
    testing::Values(
        UsageCase{"NoCommand", {}, 2, "Usage:"},
        UsageCase{"Misspelled",
                  {"chekc"},
                  2,
                  "\"chekc\": error: is not a command; valid: check"},
        UsageCase{"CheckWithoutFile", {"check"}, 2, "FILE..."},
        UsageCase{"DiffOfOne", {"diff", "a"}, 2, "1 arguments are given"},
        UsageCase{"NoSuchFile",
                  {"check", "cases/absent.json"},
                  1,
                  "cases/absent.json: error: cannot be read: No such file"},
        UsageCase{"Folder", {"check", "cases"}, 1, "cases: error: is a folder"},
        UsageCase{"ChunkTooLarge",
                  {"manifest", "--chunk-kib=5000", "x"},
                  2,
                  "--chunk-kib: error: \"5000\" is not valid"},
        UsageCase{"BadBase",
                  {"manifest", "--base=sha256:xyz", "cases/weights.bin"},
                  1,
                  "sha256:xyz"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(CheckTest, ReportsAllFilesAndFailsIfOneIsBad) {
  const Result result =
      RunWith({"check", "cases/old.json", "cases/bad.json", "cases/new.json"});
  EXPECT_EQ(result.exit_code, settings::kExitFailure);
  EXPECT_EQ(result.output,
            "cases/old.json: valid document of service draft-llm\n"
            "cases/new.json: valid document of service draft-llm\n");
  EXPECT_EQ(result.errors,
            "cases/bad.json:2:1: error: key \"kind\" is missing; valid: "
            "model, plain\n"
            "cases/bad.json:2:3: error: key \"knid\" is unknown at /knid; "
            "valid: \"kind\"\n");
}

TEST(CheckTest, WarnsOfAPolicyThatNoProgramHas) {
  const Result result = RunWith({"check", "cases/unknown_policy.json"});
  EXPECT_EQ(result.exit_code, settings::kExitSuccess);
  EXPECT_EQ(result.errors,
            "cases/unknown_policy.json: warning: \"round-robbin\" is no policy "
            "of this program at /calls/routingPolicy; valid: "
            "least-expected-latency, least-loaded-of-two, "
            "least-predicted-wait, prefix-affinity, "
            "random, round-robin\n");
}

TEST(DiffTest, SaysWhatWillHappen) {
  const Result result = RunWith({"diff", "cases/old.json", "cases/new.json"});
  EXPECT_EQ(result.exit_code, settings::kExitSuccess);
  EXPECT_EQ(result.output,
            "The version's label changes from 1 to 2; the weights stay the "
            "same and nothing is loaded.\n"
            "The longest queue of an entry changes from 64 to 32 calls.\n");
  EXPECT_EQ(RunWith({"diff", "cases/old.json", "cases/old.json"}).output,
            "Nothing changes.\n");
}

// Writes files into a folder of its own, which it removes.
class ManifestTest : public testing::Test {
 protected:
  ManifestTest()
      : m_folder(
            testing::TempDir() + "radishrudder-" +
            testing::UnitTest::GetInstance()->current_test_info()->name()) {
    std::filesystem::create_directories(m_folder);
  }
  ~ManifestTest() override { std::filesystem::remove_all(m_folder); }

  std::string Write(const std::string& name, const std::string& content) {
    std::string path = (m_folder / name).string();
    std::ofstream(path, std::ios::binary) << content;
    return path;
  }

 private:
  std::filesystem::path m_folder;
};

TEST_F(ManifestTest, WritesCanonicalTextAndItsDigest) {
  const std::string weights = Write("w.bin", std::string(2500, 'x'));
  const Result result = RunWith({"manifest", "--chunk-kib=1", weights});
  EXPECT_EQ(result.exit_code, settings::kExitSuccess);
  EXPECT_TRUE(result.output.starts_with("{\"base\":\"\",\"chunks\":[{"));
  EXPECT_NE(result.output.find("\"offset\":2048,\"size\":452}],"
                               "\"file\":\"w.bin\",\"size\":2500"),
            std::string::npos);
  EXPECT_TRUE(result.errors.starts_with("sha256:"));
}

TEST_F(ManifestTest, VerifiesAFileAndNamesTheWrongChunk) {
  std::string bytes(2500, 'x');
  const std::string weights = Write("w.bin", bytes);
  const Result made = RunWith({"manifest", "--chunk-kib=1", weights});
  const std::string manifest = Write("w.manifest.json", made.output);
  const Result good = RunWith({"manifest", "--verify", manifest, weights});
  EXPECT_EQ(good.exit_code, settings::kExitSuccess);
  EXPECT_EQ(good.output, weights + ": matches " + made.errors);
  bytes[1500] = 'y';
  const std::string corrupted = Write("v.bin", bytes);
  const Result bad = RunWith({"manifest", "--verify", manifest, corrupted});
  EXPECT_EQ(bad.exit_code, settings::kExitFailure);
  EXPECT_NE(bad.errors.find("chunk 1 (1024 bytes at 1024) differs"),
            std::string::npos);
  EXPECT_EQ(bad.errors.find("chunk 0"), std::string::npos);
  const std::string cut = Write("c.bin", std::string(2499, 'x'));
  EXPECT_NE(RunWith({"manifest", "--verify", manifest, cut})
                .errors.find("has 2499 bytes; valid: 2500 bytes"),
            std::string::npos);
}

}  // namespace
}  // namespace radishrudder::command_line
