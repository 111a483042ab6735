#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "tests/calls/call_fakes.h"

namespace radishrudder::calls {
namespace {

void Replay(FakeService& service, const nlohmann::json& step) {
  const std::string action = step.at("do");
  if (action == "call") {
    service.Call(step.at("call"), Request("POST", "/deposits"));
  } else if (action == "drain_busy") {
    service.Gate(service.FirstBusyAgent()).OnDrain(service.now);
    service.Deliver();
  } else if (action == "close") {
    service.Gate(step.at("agent")).OnEndpointState(service.now, "", false);
  } else if (action == "interrupt") {
    service.End(service.FirstBusyAgent(), EndpointCallResult::kInterrupted);
  } else if (action == "hold") {
    service.hold_messages_to_agents = true;
  } else if (action == "tick") {
    service.Entry().OnTick(service.now +
                           std::chrono::milliseconds(step.at("milliseconds")));
    service.Deliver();
  } else if (action == "answer_all") {
    while (!service.FirstBusyAgent().empty()) {
      service.Answer(service.FirstBusyAgent(), step.at("text"));
    }
  } else {
    FAIL() << "unknown step \"" << action << "\"";
  }
}

std::string OutcomeOf(const ObservedAnswer& seen) {
  if (seen.complete) {
    return "answered";
  }
  if (!seen.failure) {
    return "none";
  }
  return seen.failure->outcome == wire::OUTCOME_NOT_RUN ? "not-run" : "unknown";
}

class TraceTest : public testing::TestWithParam<std::string> {};

TEST_P(TraceTest, HasItsStatedOutcomes) {
  std::ifstream file(GetParam() + ".json");
  ASSERT_TRUE(file) << GetParam();
  const nlohmann::json trace = nlohmann::json::parse(file);
  FakeService service(trace.at("agents"), PlainDocument());
  for (const nlohmann::json& step : trace.at("steps")) {
    Replay(service, step);
  }
  EXPECT_EQ(service.executions, trace.at("executions"));
  for (const nlohmann::json& stated : trace.at("outcomes")) {
    const ObservedAnswer& seen = service.ObservedAnswerOf(stated.at("call"));
    EXPECT_EQ(OutcomeOf(seen), stated.at("outcome")) << stated;
    EXPECT_EQ(seen.body, stated.value("text", "")) << stated;
    EXPECT_EQ(seen.outputs_after_end, 0U) << stated;
  }
}

INSTANTIATE_TEST_SUITE_P(Files,
                         TraceTest,
                         testing::Values("drained_agent",
                                         "timed_out_deposit",
                                         "broken_endpoint",
                                         "closed_service"),
                         [](const auto& name) { return name.param; });

}  // namespace
}  // namespace radishrudder::calls
