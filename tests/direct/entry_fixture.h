#ifndef TESTS_DIRECT_ENTRY_FIXTURE_H_
#define TESTS_DIRECT_ENTRY_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishrudder/direct/entry.h"

namespace radishrudder::direct {

using std::chrono::milliseconds;

// One entry, by default with three endpoints, on a clock that the test
// advances.
class EntryFixture : public testing::Test {
 protected:
  explicit EntryFixture(EntrySettings settings = {})
      : m_entry(std::move(settings), kernel::Random(7)) {}

  static RouteRule Route(RouteKind kind, bool resumable) {
    RouteRule route;
    route.name = "route";
    route.host = "shop.example";
    route.prefix = "/a/";
    route.kind = kind;
    route.resumable = resumable;
    route.maximum_attempts = 2;
    route.timeout = milliseconds(6000);
    route.services = {{"service", 1}};
    return route;
  }

  static Configuration MakeConfiguration(std::uint64_t version,
                                         const RouteRule& route) {
    Configuration configuration;
    configuration.version = version;
    configuration.routes = {route};
    configuration.services = {{.name = "service"}};
    configuration.workspaces = {{.name = "north", .keys = {"key-1"}}};
    return configuration;
  }

  static ListedEndpoint MakeEndpoint(const std::string& id) {
    ListedEndpoint endpoint;
    endpoint.id = id;
    endpoint.service = "service";
    endpoint.address = "10.0.0.1:" + id;
    endpoint.slots = 4;
    endpoint.started = 1;
    return endpoint;
  }

  // Supplies a fresh configuration and a list of endpoints, and fills the retry
  // budget.
  void Start(const RouteRule& route, std::size_t endpoints = 3) {
    m_entry.OnConfiguration(m_now, MakeConfiguration(1, route));
    m_entry.OnConfigurationConfirmed(m_boot);
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 1; i <= endpoints; ++i) {
      listed.push_back(MakeEndpoint(std::to_string(i)));
    }
    m_entry.OnEndpoints(m_now, std::move(listed));
    EarnRetries();
  }

  // Completes enough calls to fill the retry budget.
  void EarnRetries() {
    for (int i = 0; i < 40; ++i) {
      const CallId call = Call();
      m_entry.OnSending(m_now, call);
      m_entry.OnResponseHead(m_now, call, SignedResponse(call, 200));
      m_entry.OnResponseEnd(m_now, call);
    }
    m_entry.TakeOutputs();
  }

  CallId Call(std::string key = "key-1",
              std::string path = "/a/b",
              milliseconds left = milliseconds(6000)) {
    const CallId id = ++m_last;
    CallerRequest request;
    request.method = "POST";
    request.target = path;
    request.path = std::move(path);
    request.host = "Shop.example:80";
    request.attempt_id = "id-" + std::to_string(id);
    request.key = std::move(key);
    request.time_left = left;
    request.received_at = m_now;
    m_entry.OnRequest(m_now, m_boot, id,
                      std::make_shared<const CallerRequest>(request));
    return id;
  }

  static EndpointResponse SignedResponse(CallId call, int status) {
    EndpointResponse response;
    response.status = status;
    response.attempt_id = "id-" + std::to_string(call);
    response.has_signature = true;
    return response;
  }

  static EndpointResponse NotExecutedResponse() {
    EndpointResponse response;
    response.status = 503;
    response.not_executed = true;
    return response;
  }

  void AdvanceTime(milliseconds time) {
    m_now += time;
    m_boot += time;
    m_entry.OnTick(m_now);
  }

  // Removes and returns the collected outputs of one kind.
  template <typename Kind>
  std::vector<Kind> TakeOutputsOf() {
    Collect();
    std::vector<Kind> found;
    std::erase_if(m_outputs, [&found](Output& output) {
      if (auto* item = std::get_if<Kind>(&output)) {
        found.push_back(std::move(*item));
        return true;
      }
      return false;
    });
    return found;
  }

  // Returns the status of the only complete response; 0 if there is none.
  int ResponseStatus() {
    const auto replies = TakeOutputsOf<SendResponse>();
    EXPECT_LE(replies.size(), 1U);
    return replies.empty() ? 0 : replies.front().status;
  }

  Entry m_entry;
  kernel::Time m_now{std::chrono::hours(1)};
  kernel::BootTime m_boot{std::chrono::hours(1)};

 private:
  void Collect() {
    for (Output& output : m_entry.TakeOutputs()) {
      m_outputs.push_back(std::move(output));
    }
  }

  CallId m_last = 0;
  std::vector<Output> m_outputs;
};

}  // namespace radishrudder::direct

#endif  // TESTS_DIRECT_ENTRY_FIXTURE_H_
