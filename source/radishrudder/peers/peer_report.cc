#include "radishrudder/peers/peer_report.h"

#include <nlohmann/json.hpp>

namespace radishrudder::peers {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Limits of a report from another process.
constexpr std::size_t kMaximumPeers = 256;
constexpr std::size_t kMaximumDeclarations = 64;

std::optional<milliseconds> ParseAge(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return std::nullopt;
  }
  return milliseconds(found->get<std::uint32_t>());
}

DeclarationReport ParseDeclaration(const Json& object) {
  return {.model = object.at("model").get<std::string>(),
          .version = object.at("version").get<std::uint64_t>(),
          .read_age = milliseconds(object.at("readMs").get<std::uint32_t>()),
          .absent_age = ParseAge(object, "absentMs")};
}

}  // namespace

std::string ToText(const PeerReport& report) {
  Json text{{"address", report.address}, {"peers", report.peers}};
  if (report.store_age) {
    text["storeMs"] = report.store_age->count();
  }
  Json& declarations = text["declarations"] = Json::array();
  for (const DeclarationReport& declaration : report.declarations) {
    Json item{{"model", declaration.model},
              {"version", declaration.version},
              {"readMs", declaration.read_age.count()}};
    if (declaration.absent_age) {
      item["absentMs"] = declaration.absent_age->count();
    }
    declarations.push_back(std::move(item));
  }
  return text.dump();
}

std::optional<PeerReport> ParsePeerReport(std::string_view text) {
  try {
    const Json document = Json::parse(text);
    PeerReport report{
        .address = document.at("address").get<std::string>(),
        .peers = document.at("peers").get<std::vector<std::string>>(),
        .store_age = ParseAge(document, "storeMs")};
    for (const Json& item : document.at("declarations")) {
      report.declarations.push_back(ParseDeclaration(item));
    }
    if (report.peers.size() > kMaximumPeers ||
        report.declarations.size() > kMaximumDeclarations) {
      return std::nullopt;
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller logs the rejected message.
  }
}

}  // namespace radishrudder::peers
