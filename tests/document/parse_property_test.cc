#include <algorithm>
#include <cstdlib>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "radishrudder/document/compare.h"
#include "radishrudder/document/service_document.h"
#include "radishrudder/document/writer.h"

namespace radishrudder::document {
namespace {

class ParsePropertyTest : public testing::Test {
 protected:
  // The seed is fixed; the variable may replace it to search further.
  static void SetUpTestSuite() {
    setenv("RC_PARAMS", "seed=20261203 max_success=500", 0);
  }
};

rc::Gen<std::string> TextOf(const std::string& letters,
                            std::size_t minimum,
                            std::size_t maximum) {
  return rc::gen::mapcat(rc::gen::inRange(minimum, maximum + 1),
                         [letters](std::size_t size) {
                           return rc::gen::container<std::string>(
                               size, rc::gen::elementOf(letters));
                         });
}

rc::Gen<std::string> Digest() {
  return rc::gen::map(
      TextOf("0123456789abcdef", 64, 64),
      [](const std::string& digits) { return "sha256:" + digits; });
}

rc::Gen<std::string> Printable(std::size_t maximum) {
  std::string letters;
  for (char letter = '!'; letter <= '~'; ++letter) {
    letters += letter;
  }
  return TextOf(letters, 1, maximum);
}

ModelSection AnyModel() {
  ModelSection model;
  model.name = *Printable(128);
  model.version = *Printable(128);
  model.manifest_digest = *Digest();
  model.adapters = *rc::gen::unique<std::vector<std::string>>(Digest());
  model.adapters.resize(std::min<std::size_t>(model.adapters.size(), 64));
  return model;
}

CallsSection AnyCalls() {
  CallsSection calls;
  calls.timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 3'600'001));
  calls.maximum_queue = *rc::gen::inRange(0U, 100'001U);
  calls.endpoint_concurrency = *rc::gen::inRange(1U, 4'097U);
  calls.retry_budget = *rc::gen::inRange(0, 1'001) / 10'000.0;
  calls.hedge_budget = calls.retry_budget * *rc::gen::inRange(0, 11) / 10;
  calls.routing_policy = "p" + *TextOf("abz09-", 0, 62);
  const auto prefixes =
      *rc::gen::unique<std::vector<std::string>>(Printable(200));
  for (const std::string& prefix : prefixes) {
    const auto method =
        *rc::gen::element<std::string>("*", "GET", "POST", "DELETE");
    calls.routes.push_back({method, "/" + prefix, *rc::gen::arbitrary<bool>()});
  }
  return calls;
}

ServiceDocument AnyDocument() {
  ServiceDocument document;
  document.service = "s" + *TextOf("abz09-", 0, 62);
  if (*rc::gen::arbitrary<bool>()) {
    document.model = AnyModel();
  } else {
    document.kind = ServiceKind::kPlain;
  }
  for (const std::string& name :
       *rc::gen::unique<std::vector<std::string>>(Printable(128))) {
    document.workspaces.push_back(
        {name, *rc::gen::inRange(1, 1'000'001) / 1000.0});
  }
  document.calls = AnyCalls();
  document.rollout.ready_floor = *rc::gen::inRange(0, 100) / 100.0;
  document.rollout.pace = *rc::gen::inRange(0U, 10'001U);
  document.transfer.speed = *rc::gen::inRange(0, 1'001) / 1000.0;
  return document;
}

// Whatever the text, each finding lies in it, and what is accepted is read
// back equal from its own writing.
void CheckParse(const std::string& text) {
  kernel::Findings findings;
  const auto document = Parse("any", text, findings);
  RC_ASSERT(document.has_value() == !findings.HasErrors());
  const auto lines =
      static_cast<std::size_t>(std::ranges::count(text, '\n')) + 1;
  for (const kernel::Finding& finding : findings.Items()) {
    RC_ASSERT(finding.place.line <= lines);
    RC_ASSERT(finding.place.column <= text.size() + 1);
    RC_ASSERT(kernel::Format(finding).find('\n') == std::string::npos);
  }
  if (document) {
    kernel::Findings none;
    const auto again = Parse("again", ToText(*document), none);
    RC_ASSERT(again.has_value());
    RC_ASSERT(*again == *document);
    RC_ASSERT(EqualMeaning(*again, *document));
    RC_ASSERT(DescribeChanges(*again, *document).empty());
  }
}

TEST_F(ParsePropertyTest, AcceptsAndRereadsEveryDocumentInBounds) {
  EXPECT_TRUE(rc::check([] {
    const ServiceDocument document = AnyDocument();
    kernel::Findings findings;
    const auto parsed = Parse("any", ToText(document), findings);
    RC_ASSERT(kernel::Format(findings).find("error") == std::string::npos);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == document);
  }));
}

TEST_F(ParsePropertyTest, SurvivesAnyBytes) {
  EXPECT_TRUE(rc::check([](const std::string& text) { CheckParse(text); }));
}

TEST_F(ParsePropertyTest, SurvivesAnyTokens) {
  EXPECT_TRUE(rc::check([] {
    const auto tokens = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>(
            "{", "}", "[", "]", ",", ":", " ", "\n", "\"service\"", "\"kind\"",
            "\"model\"", "\"calls\"", "\"routes\"", "\"plain\"", "1", "-2.5e9",
            "1e999", "true", "null", "\"\\u00e9\\n\"", "\"\\ud800\"", "\xff"));
    std::string text;
    for (const std::string& token : tokens) {
      text += token;
    }
    CheckParse(text);
  }));
}

TEST_F(ParsePropertyTest, SurvivesChangedDocuments) {
  EXPECT_TRUE(rc::check([] {
    std::string text = ToText(AnyDocument());
    const auto changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto count = *rc::gen::inRange<std::size_t>(0, 8);
      text.replace(at, count, *rc::gen::arbitrary<std::string>());
    }
    CheckParse(text);
  }));
}

}  // namespace
}  // namespace radishrudder::document
