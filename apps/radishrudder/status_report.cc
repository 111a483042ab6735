#include "status_report.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace radishrudder::command_line {
namespace {

using Json = nlohmann::json;

std::string Text(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::uint64_t Number(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : 0;
}

bool Flag(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_boolean() && found->get<bool>();
}

// Returns the objects in an array.
std::vector<Json> Objects(const Json& object, const char* key) {
  std::vector<Json> objects;
  const auto found = object.find(key);
  if (found == object.end() || !found->is_array()) {
    return objects;
  }
  for (const Json& element : *found) {
    if (element.is_object()) {
      objects.push_back(element);
    }
  }
  return objects;
}

void ReadWeights(const Json& json, AgentStatus& status) {
  const auto weights = json.find("weights");
  if (weights == json.end() || !weights->is_object()) {
    return;
  }
  status.manifest_digest = Text(*weights, "manifest_digest");
  status.chunks_present = Number(*weights, "chunks_present");
  status.chunks_total = Number(*weights, "chunks_total");
  status.origin_bytes = Number(*weights, "origin_bytes");
  status.peer_bytes = Number(*weights, "peer_bytes");
  status.weights_complete = Flag(*weights, "complete");
}

AgentStatus ReadAgent(const Json& json) {
  AgentStatus status;
  status.instance = Text(json, "instance");
  status.service = Text(json, "service");
  status.data_centre = Text(json, "data_centre");
  status.document_revision = Number(json, "document_revision");
  status.ready_revision = Number(json, "ready_revision");
  status.running_digest = Text(json, "running_digest");
  status.gate = Text(json, "gate");
  ReadWeights(json, status);
  status.waiting_for = Text(json, "waiting_for");
  status.calls_in_progress = Number(json, "calls_in_progress");
  status.calls_waiting = Number(json, "calls_waiting");
  status.draining = Flag(json, "draining");
  return status;
}

EndpointView ReadEndpoint(const Json& json) {
  return {Text(json, "instance"),  Text(json, "service"),
          Text(json, "state"),     Text(json, "running_digest"),
          Number(json, "running"), Number(json, "waiting"),
          Number(json, "capacity")};
}

EntryStatus ReadEntry(const Json& json) {
  EntryStatus status;
  status.instance = Text(json, "instance");
  status.data_centre = Text(json, "data_centre");
  for (const Json& document : Objects(json, "documents")) {
    status.documents.push_back(
        {Text(document, "service"), Number(document, "revision")});
  }
  for (const Json& endpoint : Objects(json, "endpoints")) {
    status.endpoints.push_back(ReadEndpoint(endpoint));
  }
  status.calls_in_progress = Number(json, "calls_in_progress");
  status.calls_waiting = Number(json, "calls_waiting");
  status.draining = Flag(json, "draining");
  return status;
}

}  // namespace

ProcessStatus ParseStatus(std::string url, std::string_view json) {
  ProcessStatus process{std::move(url), std::string(json), NoStatus{}};
  const Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object()) {
    process.status = NoStatus{
        "answered /status with something else than a "
        "JSON object"};
  } else if (parsed.contains("endpoints")) {
    process.status = ReadEntry(parsed);
  } else if (parsed.contains("gate")) {
    process.status = ReadAgent(parsed);
  } else {
    process.status = NoStatus{
        "answered /status without \"gate\" or "
        "\"endpoints\": neither an agent nor an entry"};
  }
  return process;
}

}  // namespace radishrudder::command_line
