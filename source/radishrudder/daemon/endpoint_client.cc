#include "radishrudder/daemon/endpoint_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStatusTimeout{1'000};
constexpr std::chrono::milliseconds kOrderTimeout{60'000};
// Of answers without weights or calls: the status and answers to orders.
constexpr std::size_t kMaximumStatementBytes = 1U << 20U;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusConflict = 409;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;
constexpr int kFirstError = 300;
constexpr std::string_view kDigestHeader = "x-weights-digest";

std::string OrderText(const rollout::OrderLoad& order) {
  return json{
      {"kind", "load"},
      {"manifest_digest", order.manifest_digest},
      {"fence",
       {order.fence.revision, order.fence.incarnation, order.fence.order}}}
      .dump();
}

rollout::OrderResult ResultOf(const http::WholeAnswer& answer) {
  if (answer.result.error) {
    return answer.result.may_have_been_sent ? rollout::OrderResult::kUnanswered
                                            : rollout::OrderResult::kFailed;
  }
  switch (answer.result.status) {
    case kStatusOk:
      return rollout::OrderResult::kDone;
    case kStatusConflict:
      return rollout::OrderResult::kRefusedOldFence;
    case kStatusAccepted:
    case kStatusBadGateway:
    case kStatusGatewayTimeout:
      return rollout::OrderResult::kUnanswered;
    default:
      return rollout::OrderResult::kFailed;
  }
}

std::vector<calls::Header> ToCallHeaders(std::vector<http::Header> headers) {
  std::vector<calls::Header> converted;
  for (http::Header& header : headers) {
    converted.push_back({std::move(header.name), std::move(header.value)});
  }
  return converted;
}

}  // namespace

std::optional<EndpointReport> ParseEndpointReport(std::string_view text) {
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object() || !root.contains("running_digest") ||
      !root["running_digest"].is_string()) {
    return std::nullopt;
  }
  EndpointReport report;
  report.status.reachable = true;
  report.status.running_digest = root["running_digest"].get<std::string>();
  if (root.contains("start_id") && root["start_id"].is_string()) {
    report.status.start_id = root["start_id"].get<std::string>();
  }
  if (root.contains("capacity") && root["capacity"].is_number_unsigned()) {
    report.capacity = root["capacity"].get<std::uint32_t>();
  }
  return report;
}

EndpointClient::EndpointClient(http::Client& client,
                               std::string url,
                               EndpointCallHandlers handlers)
    : m_client(client),
      m_url(std::move(url)),
      m_handlers(std::move(handlers)),
      m_orders(1) {}

EndpointClient::~EndpointClient() {
  Stop();
}

void EndpointClient::Stop() {
  m_orders.stop();
  m_orders.join();
}

void EndpointClient::Start(calls::StartEndpointCall call) {
  http::ClientRequest request;
  request.method = std::move(call.method);
  request.url = m_url + call.target;
  request.body = std::move(call.body);
  request.timeout = call.timeout;
  for (calls::Header& header : call.headers) {
    request.headers.push_back(
        {std::move(header.name), std::move(header.value)});
  }
  const calls::EndpointCallId id = call.call;
  http::ClientHandlers handlers;
  handlers.on_head = [this, id](int status, std::vector<http::Header> headers) {
    std::string digest(http::FindHeader(headers, kDigestHeader));
    m_handlers.on_head(id, static_cast<std::uint32_t>(status),
                       ToCallHeaders(std::move(headers)), std::move(digest));
  };
  handlers.on_data = [this, id](std::string_view data) {
    m_handlers.on_data(id, data);
  };
  handlers.on_done = [this, id](const http::ClientResult& result) {
    HandleEnd(id, result);
  };
  {
    const std::lock_guard lock(m_mutex);
    m_requests[id] = {};
  }
  // Without the lock: a client that has stopped ends the request at once.
  const std::uint64_t number =
      m_client.Start(std::move(request), std::move(handlers));
  const std::lock_guard lock(m_mutex);
  const auto found = m_requests.find(id);
  if (found == m_requests.end()) {
    return;
  }
  found->second.number = number;
  if (found->second.cancelled) {
    m_client.Cancel(number);
  }
}

void EndpointClient::HandleEnd(calls::EndpointCallId call,
                               const http::ClientResult& result) {
  {
    const std::lock_guard lock(m_mutex);
    m_requests.erase(call);
  }
  if (!result.error) {
    m_handlers.on_end(call, calls::EndpointCallResult::kComplete);
    return;
  }
  logging::Log(logging::kHttpFailed,
               {{"url", m_url}, {"problem", result.error.message()}});
  m_handlers.on_end(call, result.may_have_been_sent
                              ? calls::EndpointCallResult::kInterrupted
                              : calls::EndpointCallResult::kNotSent);
}

void EndpointClient::Cancel(calls::EndpointCallId call) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_requests.find(call);
  if (found == m_requests.end()) {
    return;
  }
  found->second.cancelled = true;
  if (found->second.number != 0) {
    m_client.Cancel(found->second.number);
  }
}

void EndpointClient::Stage(VersionAtHand version,
                           std::function<void(bool)> done) {
  asio::post(m_orders, [this, version = std::move(version),
                        done = std::move(done)] { done(StageNow(version)); });
}

bool EndpointClient::StageNow(const VersionAtHand& version) {
  const std::string base =
      "/v1/weights/" + weights::ManifestDigest(version.manifest);
  if (!Put(base + "/manifest", weights::ToText(version.manifest))) {
    return false;
  }
  for (std::uint32_t i = 0; i < version.manifest.chunks.size(); ++i) {
    std::optional<std::string> bytes = version.chunk(i);
    if (!bytes ||
        !Put(base + "/chunks/" + std::to_string(i), *std::move(bytes))) {
      return false;
    }
  }
  return true;
}

void EndpointClient::Load(
    rollout::OrderLoad order,
    std::function<bool()> still_wanted,
    std::function<void(std::optional<rollout::OrderResult>)> done) {
  asio::post(
      m_orders,
      [this, order = std::move(order), still_wanted = std::move(still_wanted),
       done = std::move(done)] { done(LoadNow(order, still_wanted)); });
}

std::optional<rollout::OrderResult> EndpointClient::LoadNow(
    const rollout::OrderLoad& order,
    const std::function<bool()>& still_wanted) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = m_url + "/v1/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = OrderText(order);
  request.timeout = kOrderTimeout;
  request.maximum_body_bytes = kMaximumStatementBytes;
  if (!still_wanted()) {
    return std::nullopt;
  }
  return ResultOf(m_client.FetchNow(std::move(request)));
}

bool EndpointClient::Put(const std::string& path, std::string body) {
  http::ClientRequest request;
  request.method = "PUT";
  request.url = m_url + path;
  request.body = std::move(body);
  request.timeout = kOrderTimeout;
  request.maximum_body_bytes = kMaximumStatementBytes;
  const http::WholeAnswer answer = m_client.FetchNow(std::move(request));
  const bool accepted =
      !answer.result.error && answer.result.status < kFirstError;
  if (!accepted) {
    logging::Log(logging::kOrderRefused,
                 {{"path", path},
                  {"status", std::to_string(answer.result.status)},
                  {"problem", answer.result.error.message()}});
  }
  return accepted;
}

void EndpointClient::ReadStatus(std::function<void(EndpointReport)> done) {
  http::ClientRequest request;
  request.url = m_url + "/v1/status";
  request.timeout = kStatusTimeout;
  request.maximum_body_bytes = kMaximumStatementBytes;
  m_client.Fetch(std::move(request), [done = std::move(done)](
                                         const http::WholeAnswer& answer) {
    const bool succeeded =
        !answer.result.error && answer.result.status == kStatusOk;
    done(succeeded ? ParseEndpointReport(answer.body).value_or(EndpointReport{})
                   : EndpointReport{});
  });
}

}  // namespace radishrudder::daemon
