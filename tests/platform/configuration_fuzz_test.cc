// Guards against damaged configurations that end the check, or that pass it
// without a finding or a reported change although they lost or changed a field
// that the entries act on.
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/configuration_text.h"
#include "platform/documents.h"
#include "platform/json_fields.h"

namespace radishrudder::platform {
namespace {

constexpr int kSeeds = 200;
constexpr std::uint64_t kVersionInForce = 6;
constexpr std::uint64_t kPlausibleVersions = 1'000'000;

// Has every field that the decoder reads, none with its default value, so that
// each removed field makes a difference.
constexpr char kDocument[] = R"({
  "version": 7, "routes": [
    {"name": "r-1", "host": "h.example", "prefix": "/a/", "kind": "streaming",
     "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1,
     "service": "s", "max_attempts": 2, "auth_exempt": true,
     "resumable": true, "target_gap_ms": 300, "allowed_regions": ["eu"]},
    {"name": "r-2", "host": "h.example", "prefix": "/b/", "kind": "idempotent",
     "traffic_split": [{"service": "s", "weight": 90},
                       {"service": "t", "weight": 10}]}],
  "services": [
    {"name": "s", "max_connections": 264, "cold_start_s": 20, "cold_per_s": 2,
     "engine": {"slots": 16, "stride": 5, "step_ms": 8.87, "chunk": 2048,
      "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100,
      "pairs_per_m": 1.47, "report_lag_ms": 100, "models": [{"name": "m"}],
      "chunks": 64, "chunk_bytes": 32768,
      "usual": {"prompt": 979, "answer": 92}}},
    {"name": "t"},
    {"name": "w", "origin": "172.20.0.3:8006", "zone": "z", "link_mbps": 8}],
  "limits": {"max_header_bytes": 100, "max_body_bytes": 2000,
             "header_timeout_ms": 1000, "idle_timeout_ms": 2500},
  "tenants": [
    {"name": "t-1", "api_keys": ["secret-key-1", "secret-key-2"],
     "priority": 3, "allowed_regions": ["eu", "us"]},
    {"name": "t-2", "api_keys": ["secret-key-3"]}]})";

// Known positions of a document, outermost first.
void CollectPointers(const Json& value,
                     const Json::json_pointer& place,
                     std::vector<Json::json_pointer>& pointers) {
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) {
      pointers.push_back(place / name);
      CollectPointers(member, place / name, pointers);
    }
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      pointers.push_back(place / i);
      CollectPointers(value[i], place / i, pointers);
    }
  }
}

class Damage {
 public:
  explicit Damage(std::uint64_t seed) : m_random(seed) {}

  std::string Truncated() {
    const std::string text = kDocument;
    return text.substr(0, Below(text.size()));
  }

  std::string Flipped() {
    std::string text = kDocument;
    for (std::size_t i = 0, count = 1 + Below(3); i < count; ++i) {
      char& byte = text[Below(text.size())];
      byte = static_cast<char>(byte ^ (1U << Below(8)));
    }
    return text;
  }

  std::string WithoutField() {
    Json document = Json::parse(kDocument);
    const Json::json_pointer place = AnyPlace(document);
    Json& parent = document[place.parent_pointer()];
    if (parent.is_object()) {
      parent.erase(place.back());
    } else {
      parent.erase(std::stoul(place.back()));
    }
    return document.dump();
  }

  std::string OfAnotherType() {
    const std::vector<Json> values = {nullptr,  true,          "text", -1,
                                      1.5,      Json::array(), 0,      "",
                                      {5, "x"}, Json::object()};
    Json document = Json::parse(kDocument);
    document[AnyPlace(document)] = values[Below(values.size())];
    return document.dump();
  }

  // Replaces a number in the text, since some of these don't fit any type.
  std::string WithHugeNumber() {
    const std::vector<std::string> values = {
        "4294967296",           "4294967298", "18446744073709551615",
        "18446744073709551616", "1e300",      "1e999",
        "-9223372036854775808", "1e19"};
    Json document = Json::parse(kDocument);
    std::vector<Json::json_pointer> numbers;
    for (const Json::json_pointer& place : Places(document)) {
      if (document[place].is_number()) {
        numbers.push_back(place);
      }
    }
    document[numbers[Below(numbers.size())]] = "@";
    std::string text = document.dump();
    return text.replace(text.find("\"@\""), 3, values[Below(values.size())]);
  }

  // Repeats an element of an array, or a member with another value.
  std::string WithDuplicate() {
    Json document = Json::parse(kDocument);
    const Json::json_pointer place = AnyPlace(document);
    Json& parent = document[place.parent_pointer()];
    if (parent.is_array()) {
      parent.push_back(Json(document[place]));
      return document.dump();
    }
    const std::string other = Below(2) == 0 ? "1" : document[place].dump();
    parent["@"] = nullptr;
    std::string text = document.dump();
    return text.replace(text.find("\"@\":null"), 8,
                        Json(place.back()).dump() + ":" + other);
  }

 private:
  std::size_t Below(std::size_t limit) { return m_random() % limit; }
  static std::vector<Json::json_pointer> Places(const Json& document) {
    std::vector<Json::json_pointer> places;
    CollectPointers(document, Json::json_pointer(), places);
    return places;
  }
  Json::json_pointer AnyPlace(const Json& document) {
    const std::vector<Json::json_pointer> places = Places(document);
    return places[Below(places.size())];
  }

  std::mt19937_64 m_random;
};

bool HasPlausibleVersion(const Json& document) {
  const auto version = document.find("version");
  return version != document.end() && version->is_number_unsigned() &&
         version->get<std::uint64_t>() > kVersionInForce &&
         version->get<std::uint64_t>() <= kVersionInForce + kPlausibleVersions;
}

// Leaves only what the entries act on: they use the first model of an engine,
// and any higher version has the same effect.
Json Effective(Json document) {
  if (HasPlausibleVersion(document)) {
    document["version"] = kVersionInForce + 1;
  }
  const Json::json_pointer models("/services/0/engine/models");
  if (document.contains(models) && document[models].is_array() &&
      !document[models].empty() && document[models][0].is_object()) {
    document[models] = Json::array({document[models][0]});
  }
  return document;
}

bool IsDamaged(const std::string& text) {
  const Json document = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return document.is_discarded() || !document.is_object() ||
         Effective(document) != Effective(Json::parse(kDocument));
}

direct::CheckContext Context() {
  kernel::Findings findings;
  direct::CheckContext context;
  context.in_force = DecodeConfiguration(kDocument, findings);
  context.in_force->version = kVersionInForce;
  context.regions = {"eu", "us"};
  return context;
}

class ConfigurationFuzzTest : public testing::TestWithParam<int> {
 protected:
  static void Check(const std::string& text) {
    // Without a context, only for crashes.
    CheckConfigurationText("file", text, {});
    const CheckedConfiguration checked =
        CheckConfigurationText("file", text, Context());
    const std::string report = kernel::Format(checked.findings);
    EXPECT_EQ(report.find("secret-key-"), std::string::npos) << report;
    if (IsDamaged(text)) {
      EXPECT_TRUE(!checked.findings.Empty() || !checked.changes.empty())
          << text;
    }
    if (!checked.configuration) {
      EXPECT_TRUE(checked.findings.HasErrors()) << text;
    }
  }
};

TEST(ConfigurationFuzzDocumentTest, IsCleanWhenNotDamaged) {
  const auto checked = CheckConfigurationText("file", kDocument, Context());
  EXPECT_EQ(kernel::Format(checked.findings), "");
  EXPECT_TRUE(checked.changes.empty());
  EXPECT_FALSE(IsDamaged(kDocument));
}

TEST_P(ConfigurationFuzzTest, ReportsEveryDamage) {
  Damage damage(static_cast<std::uint64_t>(GetParam()));
  Check(damage.Truncated());
  Check(damage.Flipped());
  Check(damage.WithoutField());
  Check(damage.OfAnotherType());
  Check(damage.WithHugeNumber());
  Check(damage.WithDuplicate());
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ConfigurationFuzzTest,
                         testing::Range(0, kSeeds));

}  // namespace
}  // namespace radishrudder::platform
