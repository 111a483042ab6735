// Tests that entries of another writer among those of the endpoints name no
// endpoint, and take bounded findings and time to decode.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "platform/documents.h"
#include "platform/duplicate_members.h"
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
      DecodeEndpoint({"servers/i-1", GetParam().value, 4, false}, findings));
  EXPECT_TRUE(findings.HasErrors());
  ExpectBounded(findings);
}

// Guards against an endpoint's report about itself that fills the log of its
// agent.
TEST_P(OddEntryTest, AsReportHasBoundedFindings) {
  kernel::Findings findings;
  DecodeReport(GetParam().value, findings);
  ExpectBounded(findings);
}

// Guards against a declaration or piece list that fills the log or declares a
// version.
TEST_P(OddEntryTest, AsDeclarationOrPieceListIsRejected) {
  kernel::Findings findings;
  EXPECT_FALSE(DecodeVersion(GetParam().value, findings));
  ExpectBounded(findings);
  kernel::Findings list_findings;
  EXPECT_FALSE(DecodePieceList({"m", 2}, GetParam().value, list_findings));
  ExpectBounded(list_findings);
}

// Guards against a check of a document that takes quadratic time, or ends the
// program.
TEST_P(OddEntryTest, AsConfigurationIsCheckedInTime) {
  constexpr std::chrono::seconds kLimit{5};
  const auto begin = std::chrono::steady_clock::now();
  kernel::Findings findings;
  DecodeConfiguration(GetParam().value, findings);
  FindDuplicateMembers("document", GetParam().value, findings);
  EXPECT_LE(std::chrono::steady_clock::now() - begin, kLimit);
}

INSTANTIATE_TEST_SUITE_P(All,
                         OddEntryTest,
                         testing::ValuesIn(OddValues()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::platform
