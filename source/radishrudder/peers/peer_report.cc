#include "radishrudder/peers/peer_report.h"

#include <nlohmann/json.hpp>

namespace radishrudder::peers {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Limits of a report from another process.
constexpr std::size_t kMaximumPeers = 256;
constexpr std::size_t kMaximumDeclarations = 64;
constexpr std::size_t kMaximumParts = 256;
constexpr std::size_t kMaximumCrashesPerPart = 64;
constexpr std::size_t kMaximumAddressLength = 64;
constexpr std::uint64_t kMaximumAgeMilliseconds = 86'400'000;

// Returns nothing and sets `valid` to false if the number is not an age.
std::optional<milliseconds> ToAge(const Json& number, bool& valid) {
  if (!number.is_number_unsigned() ||
      number.get<std::uint64_t>() > kMaximumAgeMilliseconds) {
    valid = false;
    return std::nullopt;
  }
  return milliseconds(number.get<std::int64_t>());
}

std::optional<milliseconds> ParseAge(const Json& object,
                                     const char* name,
                                     bool& valid) {
  const auto found = object.find(name);
  return found == object.end() ? std::nullopt : ToAge(*found, valid);
}

DeclarationReport ParseDeclaration(const Json& object, bool& valid) {
  DeclarationReport declaration{
      .model = object.at("model").get<std::string>(),
      .version = object.at("version").get<std::uint64_t>(),
      .read_age = ToAge(object.at("readMs"), valid).value_or(milliseconds(0)),
      .absent_age = ParseAge(object, "absentMs", valid),
      .store_lost = object.value("storeLost", false)};
  valid = valid && (!declaration.absent_age ||
                    *declaration.absent_age >= declaration.read_age);
  return declaration;
}

PartReport ParsePart(const Json& object, bool& valid) {
  PartReport part{.part = object.at("part").get<std::string>(),
                  .cleared = object.value("cleared", false)};
  for (const Json& crash : object.at("crashes")) {
    part.crashes.push_back(
        {.run = crash.at("run").get<std::string>(),
         .age = ToAge(crash.at("ageMs"), valid).value_or(milliseconds(0))});
  }
  valid = valid && part.crashes.size() <= kMaximumCrashesPerPart;
  return part;
}

Json ToJson(const PartReport& part) {
  Json crashes = Json::array();
  for (const CrashReport& crash : part.crashes) {
    crashes.push_back({{"run", crash.run}, {"ageMs", crash.age.count()}});
  }
  return {{"part", part.part},
          {"cleared", part.cleared},
          {"crashes", std::move(crashes)}};
}

}  // namespace

std::string ToText(const PeerReport& report) {
  Json text{{"address", report.address}, {"peers", report.peers}};
  if (report.store_age) {
    text["storeMs"] = report.store_age->count();
  }
  text["storeLost"] = report.store_lost;
  Json& declarations = text["declarations"] = Json::array();
  for (const DeclarationReport& declaration : report.declarations) {
    Json item{{"model", declaration.model},
              {"version", declaration.version},
              {"readMs", declaration.read_age.count()},
              {"storeLost", declaration.store_lost}};
    if (declaration.absent_age) {
      item["absentMs"] = declaration.absent_age->count();
    }
    declarations.push_back(std::move(item));
  }
  Json& parts = text["parts"] = Json::array();
  for (const PartReport& part : report.parts) {
    parts.push_back(ToJson(part));
  }
  return text.dump();
}

std::optional<PeerReport> ParsePeerReport(std::string_view text) {
  try {
    const Json document = Json::parse(text);
    bool valid = true;
    PeerReport report{
        .address = document.at("address").get<std::string>(),
        .peers = document.at("peers").get<std::vector<std::string>>(),
        .store_age = ParseAge(document, "storeMs", valid),
        .store_lost = document.value("storeLost", false)};
    for (const Json& item : document.at("declarations")) {
      report.declarations.push_back(ParseDeclaration(item, valid));
    }
    for (const Json& item : document.value("parts", Json::array())) {
      report.parts.push_back(ParsePart(item, valid));
    }
    valid = valid && report.parts.size() <= kMaximumParts &&
            report.address.size() <= kMaximumAddressLength &&
            report.peers.size() <= kMaximumPeers &&
            report.declarations.size() <= kMaximumDeclarations;
    return valid ? std::optional(std::move(report)) : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller logs the rejected message.
  }
}

}  // namespace radishrudder::peers
