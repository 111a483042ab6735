// Tests that entries of another writer among those of the endpoints name no
// endpoint, and take bounded findings and time to decode.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "platform/documents.h"
#include "platform/duplicate_members.h"
#include "platform/endpoint_list_file.h"
#include "platform/json_fields.h"
#include "platform/store_codec.h"
#include "radishrudder/kernel/findings.h"
#include "tests/platform/odd_entries.h"

namespace radishrudder::platform {
namespace {

// Each finding is a record of the log, in each process and at each change.
constexpr std::size_t kMaximumFindings = 8;
constexpr std::size_t kMaximumFindingBytes = 1024;

std::vector<OddValue> OddValues() {
  std::vector<OddValue> values = SmallOddValues();
  for (OddValue& value : LargeOddValues()) {
    values.push_back(std::move(value));
  }
  return values;
}

void ExpectBounded(const kernel::Findings& findings) {
  EXPECT_LE(findings.Items().size(), kMaximumFindings);
  for (const kernel::Finding& finding : findings.Items()) {
    ASSERT_LE(kernel::Format(finding).size(), kMaximumFindingBytes);
  }
}

class OddEntryTest : public testing::TestWithParam<OddValue> {};

// Guards against calls to an endpoint that an odd entry names, figures of it
// that affect other endpoints, and a log that it fills.
TEST_P(OddEntryTest, NamesNoEndpoint) {
  kernel::Findings findings;
  EXPECT_FALSE(
      DecodeEndpoint({"servers/i-1", GetParam().value(), 4, false}, findings));
  EXPECT_TRUE(findings.HasErrors());
  ExpectBounded(findings);
}

// Guards against an endpoint's report about itself that fills the log of its
// agent.
TEST_P(OddEntryTest, AsReportHasBoundedFindings) {
  kernel::Findings findings;
  DecodeReport(GetParam().value(), findings);
  ExpectBounded(findings);
}

// Guards against a declaration or piece list that fills the log or declares a
// version.
TEST_P(OddEntryTest, AsDeclarationOrPieceListIsRejected) {
  kernel::Findings findings;
  EXPECT_FALSE(DecodeVersion(GetParam().value(), findings));
  ExpectBounded(findings);
  kernel::Findings list_findings;
  EXPECT_FALSE(DecodePieceList({"m", 2}, GetParam().value(), list_findings));
  ExpectBounded(list_findings);
}

// Guards against an answer of the store, or a list in a file, that fills the
// memory and the log with what is wrong in it.
TEST_P(OddEntryTest, AsStoreAnswerIsAShortProblem) {
  const std::string as_items = R"({"at": 9, "items": )" + GetParam().value() +
                               R"(, "events": )" + GetParam().value() + "}";
  for (const std::string& body : {GetParam().value(), as_items}) {
    std::string problem;
    exchange::FetchedAnswer answer;
    answer.status = 200;
    answer.body = body;
    EXPECT_FALSE(StoreCodec::Decode(answer, problem) && body != as_items);
    ASSERT_LE(problem.size(), kMaximumFindings * kMaximumFindingBytes);
    kernel::Findings findings;
    DecodeEndpointList(body, findings);
    ASSERT_LE(kernel::Format(findings).size(),
              2 * kMaximumFindings * kMaximumFindingBytes);
  }
}

// Guards against a check of a document that takes quadratic time, or ends the
// program.
TEST_P(OddEntryTest, AsConfigurationIsCheckedInTime) {
  constexpr std::chrono::seconds kLimit{5};
  const auto begin = std::chrono::steady_clock::now();
  kernel::Findings findings;
  DecodeConfiguration(GetParam().value(), findings);
  FindDuplicateMembers("document", GetParam().value(), findings);
  EXPECT_LE(std::chrono::steady_clock::now() - begin, kLimit);
}

struct SizeCase {
  const char* name;
  std::size_t depth;
  std::size_t values;  // Of the innermost array.
  bool allowed;
};

class DocumentSizeTest : public testing::TestWithParam<SizeCase> {};

// Guards against a document that is rejected although it is within the limits,
// and one that takes many times its size in memory.
TEST_P(DocumentSizeTest, IsLimited) {
  constexpr std::size_t kMaximum = 100;
  std::string text = R"({"a": 1, "a": )";
  // One level is the object.
  text += std::string(GetParam().depth - 1, '[');
  for (std::size_t i = 0; i < GetParam().values; ++i) {
    text += i == 0 ? "7" : ",7";
  }
  text += std::string(GetParam().depth - 1, ']') + "}";
  kernel::Findings findings;
  const Json document = ParseObject("d", text, findings, kMaximum);
  EXPECT_EQ(findings.HasErrors(), !GetParam().allowed);
  EXPECT_EQ(document.contains("a"), GetParam().allowed);
  if (GetParam().allowed) {
    // As of other parsers: the last one counts.
    EXPECT_TRUE(document["a"].is_array());
  }
}

// The object, its first member and the outer arrays are values as well.
INSTANTIATE_TEST_SUITE_P(
    All,
    DocumentSizeTest,
    testing::Values(SizeCase{"Small", 2, 3, true},
                    SizeCase{"Deepest", kMaximumDepth, 1, true},
                    SizeCase{"TooDeep", kMaximumDepth + 1, 1, false},
                    SizeCase{"MostValues", 2, 97, true},
                    SizeCase{"TooManyValues", 2, 98, false}),
    [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(All,
                         OddEntryTest,
                         testing::ValuesIn(OddValues()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::platform
