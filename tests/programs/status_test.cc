#include <gtest/gtest.h>

#include "apps/radishrudder/explanation.h"
#include "apps/radishrudder/status_report.h"
#include "apps/radishrudder/status_view.h"

namespace radishrudder::command_line {
namespace {

constexpr char kReadyAgent[] = R"({"instance": "r-1", "service": "draft-llm",
  "data_centre": "sask-a", "document_revision": 7, "ready_revision": 7,
  "running_digest": "sha256:0123456789abcdef", "gate": "open",
  "weights": {"manifest_digest": "sha256:0123456789abcdef",
    "chunks_present": 40, "chunks_total": 40, "origin_bytes": 1048576,
    "peer_bytes": 3145728, "complete": true},
  "waiting_for": "", "calls_in_progress": 3, "calls_waiting": 1,
  "draining": false})";
constexpr char kTransferringAgent[] = R"({"instance": "r-2",
  "service": "draft-llm", "data_centre": "mb-a", "document_revision": 7,
  "ready_revision": 6, "running_digest": "sha256:fedcba9876543210",
  "gate": "open", "weights": {"manifest_digest": "sha256:0123456789abcdef",
    "chunks_present": 10, "chunks_total": 40, "origin_bytes": 0,
    "peer_bytes": 512, "complete": false}, "waiting_for": "weights"})";
constexpr char kWaitingAgent[] = R"({"instance": "r-3", "service": "draft-llm",
  "data_centre": "ab-a", "document_revision": 7, "ready_revision": 6,
  "running_digest": "sha256:fedcba9876543210", "gate": "closed",
  "weights": {"chunks_present": 40, "chunks_total": 40, "complete": true},
  "waiting_for": "revision 7: r-2 is next"})";
constexpr char kLateAgent[] = R"({"instance": "r-4", "service": "draft-llm",
  "data_centre": "ab-a", "document_revision": 6, "ready_revision": 6,
  "running_digest": "sha256:fedcba9876543210", "gate": "open",
  "draining": true, "weights": {}})";
constexpr char kEntry[] = R"({"instance": "e-1", "data_centre": "sask-a",
  "documents": [{"service": "draft-llm", "revision": 6}],
  "endpoints": [
    {"instance": "r-2", "service": "draft-llm", "state": "open",
     "running_digest": "sha256:fedcba9876543210", "running": 6, "waiting": 2,
     "capacity": 8},
    {"instance": "r-1", "service": "draft-llm", "state": "open",
     "running_digest": "sha256:0123456789abcdef", "running": 3, "waiting": 1,
     "capacity": 8},
    {"instance": "p-1", "service": "shop-api", "state": "open"}],
  "calls_in_progress": 9, "calls_waiting": 0, "draining": false})";

std::vector<ProcessStatus> Fleet() {
  std::vector<ProcessStatus> fleet;
  for (const char* const json :
       {kReadyAgent, kTransferringAgent, kWaitingAgent, kLateAgent, kEntry}) {
    fleet.push_back(ParseStatus("http://x", json));
  }
  fleet.push_back({"http://10.0.0.9:1", "", NoStatus{"connection refused"}});
  return fleet;
}

TEST(StatusViewTest, ShowsRolloutAgentsEntriesAndSilentProcesses) {
  EXPECT_EQ(
      RenderStatus(Fleet()),
      "draft-llm revision 7 [#######.......................] ready 1/4, "
      "weights complete 2/4, accepting calls 2/4\n"
      "\n"
      "SERVICE    AGENT  DATA CENTRE  REVISION  RUNNING              GATE     "
      " CHUNKS  ORIGIN   PEERS    CALLS  ROLLOUT\n"
      "draft-llm  r-1    sask-a       7         sha256:0123456789ab  open     "
      " 40/40   1.0 MiB  3.0 MiB  3+1\n"
      "draft-llm  r-2    mb-a         6 -> 7    sha256:fedcba987654  open     "
      " 10/40   0 B      512 B    0+0    weights\n"
      "draft-llm  r-3    ab-a         6 -> 7    sha256:fedcba987654  closed   "
      " 40/40   0 B      0 B      0+0    revision 7: r-2 is next\n"
      "draft-llm  r-4    ab-a         6         sha256:fedcba987654  draining "
      " 0/0     0 B      0 B      0+0\n"
      "\n"
      "ENTRY  DATA CENTRE  DOCUMENTS  ENDPOINTS  CALLS  STATE\n"
      "e-1    sask-a       1          3          9+0    accepting\n"
      "\n"
      "http://10.0.0.9:1: no status: connection refused\n");
}

TEST(StatusViewTest, JsonKeepsWhatWasAnswered) {
  const std::vector<ProcessStatus> fleet{
      ParseStatus("http://a", R"({"gate":"open","later":[1]})"),
      {"http://b", "", NoStatus{"timed out"}}};
  EXPECT_EQ(RenderJson(fleet),
            R"([{"url":"http://a","status":{"gate":"open","later":[1]}},)"
            R"({"url":"http://b","error":"timed out"}])"
            "\n");
  EXPECT_FALSE(AllAnswered(fleet));
}

TEST(ExplainTest, NamesTheReasonOfEachInstance) {
  std::string text;
  for (const std::string& sentence : Explain(Fleet(), "draft-llm")) {
    text += sentence + "\n";
  }
  EXPECT_EQ(
      text,
      "The newest document of service draft-llm is revision 7.\n"
      "Agent r-1 (sask-a) is ready on revision 7 and its endpoint runs "
      "sha256:0123456789ab.\n"
      "Agent r-2 (mb-a) is not ready on revision 7: it has 10 of 40 chunks of "
      "sha256:0123456789ab (0 B from the origin, 512 B from peers).\n"
      "Agent r-3 (ab-a) is not ready on revision 7: its rollout stands at "
      "revision 7: r-2 is next.\n"
      "Agent r-3 (ab-a) refuses new calls: its gate is closed.\n"
      "Agent r-4 (ab-a) is not ready on revision 7: it is draining and changes "
      "nothing any more.\n"
      "Agent r-4 (ab-a) refuses new calls: it is draining.\n"
      "Entry e-1 (sask-a) still has revision 6 in force, not 7.\n"
      "Entry e-1 (sask-a) chooses among, the least loaded first: r-1 (open, 3 "
      "running and 1 waiting of 8, sha256:0123456789ab); r-2 (open, 6 running "
      "and 2 waiting of 8, sha256:fedcba987654).\n"
      "http://10.0.0.9:1 has no status: connection refused.\n");
}

TEST(ExplainTest, SaysWhenNobodyKnowsTheService) {
  const std::vector<ProcessStatus> fleet{ParseStatus("http://x", kEntry)};
  const std::vector<std::string> expected{
      "No process that answered has a document of service other in force.",
      "Entry e-1 (sask-a) has no document of the service and refuses its "
      "calls."};
  EXPECT_EQ(Explain(fleet, "other"), expected);
}

class BadStatusTest : public testing::TestWithParam<const char*> {};

TEST_P(BadStatusTest, GivesNoStatus) {
  const ProcessStatus process = ParseStatus("http://x", GetParam());
  EXPECT_TRUE(std::holds_alternative<NoStatus>(process.status));
}

INSTANTIATE_TEST_SUITE_P(All,
                         BadStatusTest,
                         testing::Values("", "{", "[]", "null", "{}", "\xff"));

TEST(StatusReportTest, IgnoresMembersOfTheWrongType) {
  const ProcessStatus process =
      ParseStatus("http://x", R"({"gate": 1, "instance": [], "weights": 3,
                      "document_revision": -4, "draining": "yes"})");
  const auto& agent = std::get<AgentStatus>(process.status);
  EXPECT_EQ(agent.document_revision, 0U);
  EXPECT_FALSE(agent.draining);
}

}  // namespace
}  // namespace radishrudder::command_line
