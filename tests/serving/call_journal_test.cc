#include "radishrudder/serving/call_journal.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::serving {
namespace {

bool HasLine(const CallJournal& journal, const std::string& line) {
  return ("\n" + journal.MetricsText()).find("\n" + line + "\n") !=
         std::string::npos;
}

// Guards against a state of the entry that operators can't see.
TEST(CallJournalTest, MetricsHaveTheStateOfTheEntry) {
  CallJournal journal("n-1");
  journal.RecordGauges({.services = {{.service = "draft",
                                      .waiting_calls = 3,
                                      .cold_endpoints = 2}},
                        .evacuated_data_centres = 1,
                        .median_cost_error = 0.25,
                        .high_cost_error = 1.5});
  EXPECT_TRUE(
      HasLine(journal, R"(radishrudder_calls_waiting{service="draft"} 3)"));
  EXPECT_TRUE(
      HasLine(journal, R"(radishrudder_endpoints_cold{service="draft"} 2)"));
  EXPECT_TRUE(HasLine(journal, "radishrudder_data_centres_evacuated 1"));
  EXPECT_TRUE(HasLine(
      journal, R"(radishrudder_answer_length_error{quantile="0.5"} 0.25)"));
  EXPECT_TRUE(HasLine(
      journal, R"(radishrudder_answer_length_error{quantile="0.9"} 1.5)"));
}

// Guards against gauges that keep a value that is over.
TEST(CallJournalTest, GaugesFollowTheState) {
  CallJournal journal("n-1");
  journal.RecordGauges({.services = {{.service = "draft", .waiting_calls = 3}},
                        .evacuated_data_centres = 1});
  journal.RecordGauges({.services = {{.service = "draft"}}});
  EXPECT_TRUE(
      HasLine(journal, R"(radishrudder_calls_waiting{service="draft"} 0)"));
  EXPECT_TRUE(HasLine(journal, "radishrudder_data_centres_evacuated 0"));
}

// Guards against departures of callers of which nobody can tell whether their
// requests were sent on.
TEST(CallJournalTest, CountsCallersThatLeftByStage) {
  CallJournal journal("n-1");
  direct::CallRecord record{.kind = direct::CallRecord::Kind::kCallerLeft};
  record.service = "draft";
  for (const direct::CallStage stage :
       {direct::CallStage::kWaiting, direct::CallStage::kSent,
        direct::CallStage::kSent}) {
    record.stage = stage;
    journal.RecordCallerLeft(kernel::Now(), record, {});
  }
  const std::string name = "radishrudder_callers_gone_total";
  EXPECT_TRUE(
      HasLine(journal, name + R"({service="draft",stage="waiting"} 1)"));
  EXPECT_TRUE(HasLine(journal, name + R"({service="draft",stage="sent"} 2)"));
}

// Guards against delays of the process that no metric shows.
TEST(CallJournalTest, ObservesDelaysOfTheProcess) {
  CallJournal journal("n-1");
  journal.RecordDelay(std::chrono::milliseconds(1500));
  EXPECT_TRUE(HasLine(journal, "radishrudder_process_delay_seconds_sum 1.5"));
}

// Guards against an error of 0 before there is an answer to compare with.
TEST(CallJournalTest, MetricsHaveNoErrorWithoutAnswers) {
  CallJournal journal("n-1");
  journal.RecordGauges({});
  EXPECT_EQ(journal.MetricsText().find("radishrudder_answer_length_error"),
            std::string::npos);
}

}  // namespace
}  // namespace radishrudder::serving
