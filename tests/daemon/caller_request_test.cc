#include "radishrudder/daemon/caller_request.h"

#include <gtest/gtest.h>

#include "radishrudder/calls/entry_core.h"

namespace radishrudder::daemon {
namespace {

http::Request Post(std::string path, std::string body) {
  http::Request request;
  request.method = "POST";
  request.path = path;
  request.target = std::move(path);
  request.body = std::move(body);
  return request;
}

TEST(ParseCallerRequestTest, ModelNamesTheService) {
  http::Request request =
      Post("/v1/chat/completions", R"({"model":"draft-llm","messages":[]})");
  request.headers = {{"X-Workspace", "shop-1"},
                     {"X-Timeout-Ms", "2500"},
                     {"X-Priority", "3"},
                     {"Connection", "close"},
                     {"traceparent", "00-1-2-01"}};
  const auto parsed = ParseCallerRequest(std::move(request));
  const auto* call = std::get_if<calls::CallRequest>(&parsed);
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->service, "draft-llm");
  EXPECT_EQ(call->workspace, "shop-1");
  EXPECT_EQ(call->timeout, std::chrono::milliseconds(2500));
  EXPECT_EQ(call->priority, 3U);
  EXPECT_EQ(call->target, "/v1/chat/completions");
  // Headers of the connection are dropped, the rest is passed on.
  EXPECT_EQ(call->headers.size(), 4U);
}

TEST(ParseCallerRequestTest, ServiceCallsKeepPathAndQuery) {
  http::Request request = Post("/services/ledger/deposits", "{}");
  request.target = "/services/ledger/deposits?dry=1";
  request.headers = {{"Idempotency-Key", "k"}};
  const auto parsed = ParseCallerRequest(std::move(request));
  const auto* call = std::get_if<calls::CallRequest>(&parsed);
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->service, "ledger");
  EXPECT_EQ(call->target, "/deposits?dry=1");
  EXPECT_EQ(call->idempotency_key, "k");
}

TEST(ParseCallerRequestTest, KeysAreAskedForBelowTheService) {
  const auto parsed =
      ParseCallerRequest(Post("/services/ledger/-/idempotency-keys", ""));
  const auto* call = std::get_if<calls::CallRequest>(&parsed);
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->service, "ledger");
  EXPECT_EQ(call->target, calls::kIssueKeyTarget);
}

TEST(ParseCallerRequestTest, SharedPromptGivesSharedPrefix) {
  const auto prefix_of = [](const std::string& prompt) {
    const auto parsed = ParseCallerRequest(
        Post("/v1/completions", R"({"model":"m","prompt":")" + prompt + "\"}"));
    return std::get<calls::CallRequest>(parsed).prefix_hash;
  };
  const std::string shared(600, 'x');
  EXPECT_EQ(prefix_of(shared + "a"), prefix_of(shared + "b"));
  EXPECT_NE(prefix_of("a"), prefix_of("b"));
}

struct BadCase {
  const char* name;
  http::Request request;
  int status;
  const char* detail;  // Part of the detail.
};

http::Request WithHeader(http::Request request,
                         std::string name,
                         std::string value) {
  request.headers.push_back({std::move(name), std::move(value)});
  return request;
}

class BadCallerRequestTest : public testing::TestWithParam<BadCase> {};

TEST_P(BadCallerRequestTest, NamesTheCallersOwnTextAndWasNotRun) {
  const auto parsed = ParseCallerRequest(GetParam().request);
  const auto* problem = std::get_if<Problem>(&parsed);
  ASSERT_NE(problem, nullptr);
  EXPECT_EQ(problem->status, GetParam().status);
  EXPECT_EQ(problem->outcome, wire::OUTCOME_NOT_RUN);
  EXPECT_NE(problem->detail.find(GetParam().detail), std::string::npos)
      << problem->detail;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadCallerRequestTest,
    testing::Values(
        BadCase{"NotJson", Post("/v1/completions", "{\"a\":"), 400, "line 1"},
        BadCase{"NotAnObject", Post("/v1/completions", "[1]"), 400, "/model"},
        BadCase{"NoModel", Post("/v1/completions", "{}"), 400, "/model"},
        BadCase{"ModelNotText", Post("/v1/completions", R"({"model":1})"), 400,
                "/model"},
        BadCase{"NoService", Post("/services/", ""), 404, "/services/NAME"},
        BadCase{"UnknownPath", Post("/v2/x", ""), 404, "/v2/x"},
        BadCase{"BadTimeout",
                WithHeader(Post("/services/a/b", ""), "X-Timeout-Ms", "soon"),
                400, "\"soon\""},
        BadCase{"NegativePriority",
                WithHeader(Post("/services/a/b", ""), "X-Priority", "-1"), 400,
                "\"-1\""},
        BadCase{"TimeoutTooLong",
                WithHeader(Post("/services/a/b", ""),
                           "X-Timeout-Ms",
                           "99999999999"),
                400, "3600000"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ProblemTest, SaysOutcomeAndWhenToComeBack) {
  calls::CallFailed failed;
  failed.outcome = wire::OUTCOME_NOT_RUN;
  failed.reason = wire::REFUSAL_OVERLOADED;
  failed.retry_after = std::chrono::milliseconds(1500);
  const Problem problem = Describe(failed);
  EXPECT_EQ(problem.status, 429);
  const std::vector<http::Header> headers = HeadersOf(problem);
  EXPECT_EQ(http::FindHeader(headers, "x-outcome"), "not-run");
  EXPECT_EQ(http::FindHeader(headers, "retry-after"), "2");
  EXPECT_NE(ToJson(problem).find(R"("outcome":"not-run")"), std::string::npos);
}

TEST(ProblemTest, UnspecifiedOutcomeIsUnknown) {
  calls::CallFailed failed;
  failed.outcome = wire::OUTCOME_UNSPECIFIED;
  EXPECT_EQ(http::FindHeader(HeadersOf(Describe(failed)), "x-outcome"),
            "unknown");
}

}  // namespace
}  // namespace radishrudder::daemon
