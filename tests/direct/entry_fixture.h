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

// One entry with three endpoints, time in the test's hands.
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

  // A configuration, a list and a source that was just read.
  void Begin(const RouteRule& route, std::size_t endpoints = 3) {
    m_entry.OnConfiguration(m_now, MakeConfiguration(1, route));
    m_entry.OnConfirmed(m_boot);
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 1; i <= endpoints; ++i) {
      listed.push_back(MakeEndpoint(std::to_string(i)));
    }
    m_entry.OnEndpoints(m_now, std::move(listed));
    EarnRetries();
  }

  // Calls that end well earn the budget of retries.
  void EarnRetries() {
    for (int i = 0; i < 40; ++i) {
      const CallId call = Call();
      m_entry.OnSending(m_now, call);
      m_entry.OnAnswerHead(m_now, call, Good(call, 200));
      m_entry.OnAnswerEnd(m_now, call);
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
    request.begun = m_now;
    m_entry.OnRequest(m_now, m_boot, id,
                      std::make_shared<const CallerRequest>(request));
    return id;
  }

  static EndpointAnswer Good(CallId call, int status) {
    EndpointAnswer answer;
    answer.status = status;
    answer.attempt_id = "id-" + std::to_string(call);
    answer.has_proof = true;
    return answer;
  }

  static EndpointAnswer NotRun() {
    EndpointAnswer answer;
    answer.status = 503;
    answer.not_run = true;
    return answer;
  }

  void Pass(milliseconds time) {
    m_now += time;
    m_boot += time;
    m_entry.OnTick(m_now);
  }

  // Returns the outputs of one kind since the last call of `Collect`.
  template <typename Kind>
  std::vector<Kind> Take() {
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

  // The status of the only whole answer; 0 without one.
  int WholeStatus() {
    const auto replies = Take<ReplyWhole>();
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
