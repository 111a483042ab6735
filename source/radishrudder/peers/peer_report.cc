#include "radishrudder/peers/peer_report.h"

#include <nlohmann/json.hpp>

namespace radishrudder::peers {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Limits of a report from another process.
constexpr std::size_t kMaximumPeers = 256;
constexpr std::size_t kMaximumDeclarations = 64;
constexpr std::size_t kMaximumSuspects = 256;
constexpr std::size_t kMaximumCrashesPerSuspect = 64;
constexpr std::size_t kMaximumDemands = 16384;
constexpr std::size_t kMaximumLimits = 1024;
constexpr double kMaximumCallsPerSecond = 1e6;
constexpr std::size_t kMaximumAddressLength = 64;
// Ten years, far within the range of `kernel::Duration`.
constexpr std::uint64_t kMaximumAgeMilliseconds = 315'360'000'000;

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

SuspectReport ParseSuspect(const Json& object, bool& valid) {
  SuspectReport suspect{.signature = object.at("part").get<std::string>(),
                        .cleared_age = ParseAge(object, "clearedMs", valid)};
  if (!suspect.cleared_age && object.value("cleared", false)) {
    suspect.cleared_age = milliseconds(0);
  }
  for (const Json& item : object.at("crashes")) {
    CrashReport crash{
        .run = item.at("run").get<std::string>(),
        .age = ToAge(item.at("ageMs"), valid).value_or(milliseconds(0))};
    crash.began_age = ParseAge(item, "beganMs", valid).value_or(crash.age);
    valid = valid && crash.began_age >= crash.age;
    suspect.crashes.push_back(std::move(crash));
  }
  valid = valid && suspect.crashes.size() <= kMaximumCrashesPerSuspect;
  return suspect;
}

DemandReport ParseDemand(const Json& object, bool& valid) {
  DemandReport demand{
      .entry = object.at("entry").get<std::string>(),
      .service = object.at("service").get<std::string>(),
      .calls_per_second = object.at("perSecond").get<double>(),
      .age = ToAge(object.at("ageMs"), valid).value_or(milliseconds(0))};
  valid = valid && demand.calls_per_second >= 0 &&
          demand.calls_per_second <= kMaximumCallsPerSecond;
  return demand;
}

LimitReport ParseLimit(const Json& object, bool& valid) {
  LimitReport limit{
      .endpoint = object.at("endpoint").get<std::string>(),
      .incarnation = object.at("incarnation").get<std::uint64_t>(),
      .age = ToAge(object.at("ageMs"), valid).value_or(milliseconds(0))};
  const auto rate = object.find("perSecond");
  if (rate != object.end()) {
    limit.requests_per_second = rate->get<double>();
    valid = valid && *limit.requests_per_second >= 0 &&
            *limit.requests_per_second <= kMaximumCallsPerSecond;
  }
  return limit;
}

Json ToJson(const LimitReport& limit) {
  Json object{{"endpoint", limit.endpoint},
              {"incarnation", limit.incarnation},
              {"ageMs", limit.age.count()}};
  if (limit.requests_per_second) {
    object["perSecond"] = *limit.requests_per_second;
  }
  return object;
}

Json ToJson(const DemandReport& demand) {
  return {{"entry", demand.entry},
          {"service", demand.service},
          {"perSecond", demand.calls_per_second},
          {"ageMs", demand.age.count()}};
}

// The members are named after prompt parts, the first kind of signature.
Json ToJson(const SuspectReport& suspect) {
  Json crashes = Json::array();
  for (const CrashReport& crash : suspect.crashes) {
    crashes.push_back({{"run", crash.run},
                       {"ageMs", crash.age.count()},
                       {"beganMs", crash.began_age.count()}});
  }
  Json object{{"part", suspect.signature},
              {"cleared", suspect.cleared_age.has_value()},
              {"crashes", std::move(crashes)}};
  if (suspect.cleared_age) {
    object["clearedMs"] = suspect.cleared_age->count();
  }
  return object;
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
  for (const SuspectReport& suspect : report.suspects) {
    parts.push_back(ToJson(suspect));
  }
  Json& demands = text["demands"] = Json::array();
  for (const DemandReport& demand : report.demands) {
    demands.push_back(ToJson(demand));
  }
  if (report.configuration) {
    text["configuration"] = {{"version", report.configuration->version},
                             {"ageMs", report.configuration->age.count()}};
  }
  Json& limits = text["limits"] = Json::array();
  for (const LimitReport& limit : report.limits) {
    limits.push_back(ToJson(limit));
  }
  // Signatures come from callers' headers and may be any bytes.
  return text.dump(-1, ' ', false, Json::error_handler_t::replace);
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
      report.suspects.push_back(ParseSuspect(item, valid));
    }
    for (const Json& item : document.value("demands", Json::array())) {
      report.demands.push_back(ParseDemand(item, valid));
    }
    const auto configuration = document.find("configuration");
    if (configuration != document.end()) {
      report.configuration = {
          .version = configuration->at("version").get<std::uint64_t>(),
          .age = ToAge(configuration->at("ageMs"), valid)
                     .value_or(milliseconds(0))};
    }
    for (const Json& item : document.value("limits", Json::array())) {
      report.limits.push_back(ParseLimit(item, valid));
    }
    valid = valid && report.limits.size() <= kMaximumLimits &&
            report.demands.size() <= kMaximumDemands &&
            report.suspects.size() <= kMaximumSuspects &&
            report.address.size() <= kMaximumAddressLength &&
            report.peers.size() <= kMaximumPeers &&
            report.declarations.size() <= kMaximumDeclarations;
    return valid ? std::optional(std::move(report)) : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller logs the rejected message.
  }
}

}  // namespace radishrudder::peers
