#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "tests/calls/call_fakes.h"

namespace radishrudder::calls {
namespace {

void ApplyStep(FakeService& service, const nlohmann::json& step) {
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

std::string OutcomeOf(const ObservedAnswer& answer) {
  if (answer.complete) {
    return "answered";
  }
  if (!answer.failure) {
    return "none";
  }
  return answer.failure->outcome == wire::OUTCOME_NOT_RUN ? "not-run"
                                                          : "unknown";
}

class TraceTest : public testing::TestWithParam<std::string> {};

TEST_P(TraceTest, ProducesExpectedOutcomes) {
  std::ifstream file(GetParam() + ".json");
  ASSERT_TRUE(file) << GetParam();
  const nlohmann::json trace = nlohmann::json::parse(file);
  FakeService service(trace.at("agents"), PlainDocument());
  for (const nlohmann::json& step : trace.at("steps")) {
    ApplyStep(service, step);
  }
  EXPECT_EQ(service.executions, trace.at("executions"));
  for (const nlohmann::json& expected : trace.at("outcomes")) {
    const ObservedAnswer& answer =
        service.ObservedAnswerOf(expected.at("call"));
    EXPECT_EQ(OutcomeOf(answer), expected.at("outcome")) << expected;
    EXPECT_EQ(answer.body, expected.value("text", "")) << expected;
    EXPECT_EQ(answer.outputs_after_end, 0U) << expected;
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
