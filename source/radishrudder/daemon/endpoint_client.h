#ifndef RADISHRUDDER_DAEMON_ENDPOINT_CLIENT_H_
#define RADISHRUDDER_DAEMON_ENDPOINT_CLIENT_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "radishrudder/calls/agent_gate.h"
#include "radishrudder/http/client.h"
#include "radishrudder/rollout/rollout.h"
#include "radishrudder/weights/manifest.h"

namespace radishrudder::daemon {

// What the endpoint says of itself.
struct EndpointReport {
  rollout::EndpointStatus status;
  std::uint32_t capacity = 0;  // Calls that it runs at once; 0: not said.
};

// Parses the endpoint's status; nothing if it is not of the published form.
std::optional<EndpointReport> ParseEndpointReport(std::string_view text);

// Events of a call at the endpoint, on the client's thread.
struct EndpointCallHandlers {
  std::function<void(calls::EndpointCallId,
                     std::uint32_t status,
                     std::vector<calls::Header>,
                     std::string digest)>
      on_head;
  std::function<void(calls::EndpointCallId, std::string_view data)> on_data;
  std::function<void(calls::EndpointCallId, calls::EndpointCallResult)> on_end;
};

// A verified version with its bytes at hand.
struct VersionAtHand {
  weights::Manifest manifest;
  // Returns a copy of a verified chunk, or nothing if it is gone.
  std::function<std::optional<std::string>(std::uint32_t index)> chunk;
};

// The agent's only way to its endpoint: calls, orders and status over HTTP.
class EndpointClient {
 public:
  EndpointClient(http::Client& client,
                 std::string url,
                 EndpointCallHandlers handlers);
  ~EndpointClient();

  void Start(calls::StartEndpointCall call);
  void Cancel(calls::EndpointCallId call);
  // Hands the weights of a version over, so that an order to load it can be
  // carried out at once; `done` is called once with whether all were taken.
  void Stage(VersionAtHand version, std::function<void(bool)> done);
  // Gives an order unless `still_wanted` says no right before; `done` is called
  // once, with nothing if the order was not given.
  void Load(rollout::OrderLoad order,
            std::function<bool()> still_wanted,
            std::function<void(std::optional<rollout::OrderResult>)> done);
  // Asks what the endpoint runs; `done` is called once.
  void ReadStatus(std::function<void(EndpointReport)> done);
  // Waits for orders in progress and gives no more.
  void Stop();

 private:
  // A request of the client; its number is 0 until the client gave one.
  struct Request {
    std::uint64_t number = 0;
    bool cancelled = false;
  };

  bool StageNow(const VersionAtHand& version);
  std::optional<rollout::OrderResult> LoadNow(
      const rollout::OrderLoad& order,
      const std::function<bool()>& still_wanted);
  bool Put(const std::string& path, std::string body);
  void HandleEnd(calls::EndpointCallId call, const http::ClientResult& result);

  http::Client& m_client;
  const std::string m_url;
  const EndpointCallHandlers m_handlers;
  std::mutex m_mutex;
  std::map<calls::EndpointCallId, Request> m_requests;
  // Orders are given one after the other, off the other threads.
  asio::thread_pool m_orders;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_ENDPOINT_CLIENT_H_
