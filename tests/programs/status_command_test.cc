#include <gtest/gtest.h>

#include "radishrudder/http/server.h"
#include "tests/programs/run_program.h"

namespace radishrudder::command_line {
namespace {

constexpr char kAgent[] =
    R"({"instance":"r-1","service":"draft-llm","gate":"open",)"
    R"("document_revision":7,"ready_revision":7,"waiting_for":""})";

// An admin port that answers every request alike.
class AdminPort {
 public:
  AdminPort(int status, const std::string& body)
      : m_server({},
                 [=](const http::Request& request,
                     const std::shared_ptr<http::Responder>& responder) {
                   const bool known = request.path == "/status";
                   responder->Reply(known ? status : 404, {}, body);
                 }) {
    EXPECT_FALSE(m_server.Start());
  }
  ~AdminPort() { m_server.Stop(); }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_server.Port());
  }

 private:
  http::Server m_server;
};

TEST(StatusCommandTest, ShowsWhatProcessesAnswer) {
  const AdminPort agent(200, kAgent);
  const Result result = RunWith({"status", "--json", agent.Url() + "/"});
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_EQ(result.output,
            "[{\"url\":\"" + agent.Url() + "/\",\"status\":" + kAgent + "}]\n");
}

TEST(StatusCommandTest, FailsWhenOneDoesNotAnswer) {
  const AdminPort agent(200, kAgent);
  const AdminPort broken(503, "");
  const Result result = RunWith({"status", broken.Url(), agent.Url()});
  EXPECT_EQ(result.exit_code, 1);
  EXPECT_NE(result.output.find("ready 1/1"), std::string::npos);
  EXPECT_NE(result.output.find(broken.Url() + ": no status: answered /status "
                                              "with HTTP status 503"),
            std::string::npos);
}

TEST(StatusCommandTest, RefusesWhatIsNoUrl) {
  const Result result = RunWith({"status", "127.0.0.1:80"});
  EXPECT_EQ(result.exit_code, 2);
  EXPECT_NE(result.errors.find("\"127.0.0.1:80\": error: is not a URL"),
            std::string::npos);
}

TEST(ExplainCommandTest, AsksTheProcessesOfAService) {
  const AdminPort agent(200, kAgent);
  const Result result = RunWith({"explain", agent.Url(), "draft-llm"});
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_NE(result.output.find("is ready on revision 7"), std::string::npos);
  EXPECT_EQ(RunWith({"explain", "draft-llm"}).exit_code, 2);
}

}  // namespace
}  // namespace radishrudder::command_line
