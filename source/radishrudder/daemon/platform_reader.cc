#include "radishrudder/daemon/platform_reader.h"

#include <nlohmann/json.hpp>

#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

using nlohmann::json;

// Added to the time a watch waits, for the answer to arrive.
constexpr std::chrono::milliseconds kAnswerTime{2'000};
constexpr int kStatusOk = 200;
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

dissemination::PublishedDocument ParseDocument(const json& item) {
  dissemination::PublishedDocument document;
  document.service = item.at("service").get<std::string>();
  document.revision = item.at("revision").get<std::uint64_t>();
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

// Calls `parse` on the JSON of `text`; a malformed text is a problem, not an
// exception.
template <typename Result, typename Parse>
std::optional<Result> ParseWith(std::string_view text,
                                std::string& problem,
                                Parse parse) {
  try {
    return parse(json::parse(text));
  } catch (const json::exception& error) {
    problem = error.what();
    return std::nullopt;
  }
}

// Returns the parsed answer, or an unsuccessful result after logging why.
template <typename Result, typename Parse>
Result Interpret(const http::WholeAnswer& answer,
                 std::string_view url,
                 Parse parse) {
  std::string problem;
  if (answer.result.error) {
    problem = answer.result.error.message();
  } else if (answer.result.status != kStatusOk) {
    problem = "status " + std::to_string(answer.result.status);
  } else if (std::optional<Result> result = parse(answer.body, problem)) {
    return *std::move(result);
  }
  logging::Log(logging::kConfigurationUnavailable,
               {{"url", std::string(url)}, {"problem", problem}});
  return Result{};
}

}  // namespace

std::optional<dissemination::DocumentReadResult> ParseDocuments(
    std::string_view text,
    std::string& problem) {
  return ParseWith<dissemination::DocumentReadResult>(
      text, problem, [](const json& root) {
        dissemination::DocumentReadResult result;
        result.succeeded = true;
        result.revision = root.at("revision").get<std::uint64_t>();
        for (const json& item : root.at("documents")) {
          result.documents.push_back(ParseDocument(item));
        }
        return result;
      });
}

std::optional<membership::InstanceListResult> ParseInstances(
    std::string_view text,
    std::string& problem) {
  return ParseWith<membership::InstanceListResult>(
      text, problem, [](const json& root) {
        membership::InstanceListResult result;
        result.succeeded = true;
        result.revision = root.at("revision").get<std::uint64_t>();
        for (const json& item : root.at("instances")) {
          result.instances.push_back(ParseInstance(item));
        }
        return result;
      });
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
