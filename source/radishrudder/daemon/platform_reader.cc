#include "radishrudder/daemon/platform_reader.h"

#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

using nlohmann::json;

// Added to the time a watch waits, for the answer to arrive.
constexpr std::chrono::milliseconds kAnswerTime{2'000};
constexpr int kStatusOk = 200;
constexpr std::size_t kMaximumProblemBytes = 200;
constexpr std::size_t kMaximumAnswerBytes = std::size_t{64} << 20U;

std::string Query(std::uint64_t after, std::chrono::milliseconds wait) {
  return "?after=" + std::to_string(after) +
         "&wait_ms=" + std::to_string(wait.count());
}

http::ClientRequest Watch(std::string url, std::chrono::milliseconds wait) {
  http::ClientRequest request;
  request.url = std::move(url);
  request.timeout = wait + kAnswerTime;
  request.maximum_body_bytes = kMaximumAnswerBytes;
  return request;
}

// Returns a member that must be a non-negative integer. The library converts
// any number, also one that does not fit.
std::uint64_t Unsigned(const json& object, const char* name) {
  const json& member = object.at(name);
  if (!member.is_number_unsigned()) {
    throw std::invalid_argument(std::string(name) +
                                " is not a non-negative integer");
  }
  return member.get<std::uint64_t>();
}

dissemination::PublishedDocument ParseDocument(const json& item) {
  dissemination::PublishedDocument document;
  document.service = item.at("service").get<std::string>();
  document.revision = Unsigned(item, "revision");
  document.deleted = item.value("deleted", false);
  document.content = item.value("content", "");
  return document;
}

membership::ListedInstance ParseInstance(const json& item) {
  membership::ListedInstance instance;
  instance.instance = item.at("instance").get<std::string>();
  instance.role = item.at("role").get<std::string>() == "entry"
                      ? membership::Role::kEntry
                      : membership::Role::kAgent;
  instance.service = item.value("service", "");
  instance.address = item.at("address").get<std::string>();
  instance.data_centre = item.at("data_centre").get<std::string>();
  instance.region = item.value("region", instance.data_centre);
  instance.leaving = item.value("leaving", false);
  return instance;
}

// Calls `parse`; a malformed text or member is a problem, not an exception.
template <typename Parse>
bool Try(std::string& problem, Parse parse) {
  try {
    parse();
    return true;
  } catch (const std::exception& error) {
    problem = std::string(error.what()).substr(0, kMaximumProblemBytes);
    return false;
  }
}

// Parses the items of an array. A malformed one is left out: the others hold.
template <typename Item, typename Parse>
std::vector<Item> ParseItems(const json& array,
                             std::string& problem,
                             Parse parse) {
  if (!array.is_array()) {
    throw std::invalid_argument("the items are not an array");
  }
  std::vector<Item> items;
  std::size_t malformed = 0;
  std::string first;
  for (const json& item : array) {
    std::string ignored;
    const bool valid = Try(malformed == 0 ? first : ignored,
                           [&] { items.push_back(parse(item)); });
    malformed += valid ? 0 : 1;
  }
  if (malformed > 0) {
    problem =
        std::to_string(malformed) + " malformed items, the first: " + first;
  }
  return items;
}

// Returns the parsed answer, or an unsuccessful result after logging why.
template <typename Result, typename Parse>
Result Interpret(const http::WholeAnswer& answer,
                 std::string_view url,
                 Parse parse) {
  std::string problem;
  std::optional<Result> result;
  if (answer.result.error) {
    problem = answer.result.error.message();
  } else if (answer.result.status != kStatusOk) {
    problem = "status " + std::to_string(answer.result.status);
  } else {
    result = parse(answer.body, problem);
  }
  if (result && !problem.empty()) {
    logging::Log(logging::kDocumentRejected,
                 {{"finding", std::string(url) + ": error: " + problem}});
  } else if (!result) {
    logging::Log(logging::kConfigurationUnavailable,
                 {{"url", std::string(url)}, {"problem", problem}});
  }
  return std::move(result).value_or(Result{});
}

}  // namespace

std::optional<dissemination::DocumentReadResult> ParseDocuments(
    std::string_view text,
    std::string& problem) {
  dissemination::DocumentReadResult result;
  result.succeeded = true;
  const bool valid = Try(problem, [&] {
    const json root = json::parse(text);
    result.revision = Unsigned(root, "revision");
    result.documents = ParseItems<dissemination::PublishedDocument>(
        root.at("documents"), problem, ParseDocument);
  });
  return valid ? std::optional(std::move(result)) : std::nullopt;
}

std::optional<membership::InstanceListResult> ParseInstances(
    std::string_view text,
    std::string& problem) {
  membership::InstanceListResult result;
  result.succeeded = true;
  const bool valid = Try(problem, [&] {
    const json root = json::parse(text);
    result.revision = Unsigned(root, "revision");
    result.instances = ParseItems<membership::ListedInstance>(
        root.at("instances"), problem, ParseInstance);
  });
  return valid ? std::optional(std::move(result)) : std::nullopt;
}

PlatformReader::PlatformReader(http::Client& client,
                               std::string configuration_url,
                               std::string instances_url)
    : m_client(client),
      m_configuration_url(std::move(configuration_url)),
      m_instances_url(std::move(instances_url)) {}

void PlatformReader::ReadDocuments(
    const dissemination::StartDocumentRead& read,
    std::function<void(dissemination::DocumentReadResult)> done) {
  const std::string url =
      m_configuration_url + "/v1/documents" + Query(read.after, read.wait);
  m_client.Fetch(Watch(url, read.wait), [url, done = std::move(done)](
                                            const http::WholeAnswer& answer) {
    done(Interpret<dissemination::DocumentReadResult>(answer, url,
                                                      ParseDocuments));
  });
}

void PlatformReader::ReadInstances(
    const membership::StartInstanceListRead& read,
    std::function<void(membership::InstanceListResult)> done) {
  const std::string url =
      m_instances_url + "/v1/instances" + Query(read.after, read.wait);
  m_client.Fetch(Watch(url, read.wait), [url, done = std::move(done)](
                                            const http::WholeAnswer& answer) {
    done(
        Interpret<membership::InstanceListResult>(answer, url, ParseInstances));
  });
}

}  // namespace radishrudder::daemon
