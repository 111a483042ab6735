#include "radishrudder/direct/request_digest.h"

#include <gtest/gtest.h>

#include <functional>

namespace radishrudder::direct {
namespace {

CallerRequest MakeRequest() {
  CallerRequest request;
  request.method = "POST";
  request.target = "/a/b?c=1";
  request.path = "/a/b";
  request.host = "shop.example";
  request.attempt_id = "id-1";
  request.key = "secret";
  request.body = "text";
  request.prompt_parts = {"5c1e"};
  return request;
}

struct DigestCase {
  const char* name;
  std::function<void(CallerRequest&)> change;
  bool same;
};

class RequestDigestTest : public testing::TestWithParam<DigestCase> {};

// Guards against a repeated request that is not recognised, and against other
// requests that are blocked with it.
TEST_P(RequestDigestTest, IsThatOfARepetitionOnly) {
  const CallerRequest request = MakeRequest();
  CallerRequest other = request;
  GetParam().change(other);
  EXPECT_EQ(RequestDigest(request, "") == RequestDigest(other, ""),
            GetParam().same);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RequestDigestTest,
    testing::Values(
        DigestCase{"Unchanged", [](CallerRequest&) {}, true},
        DigestCase{"AttemptId", [](CallerRequest& r) { r.attempt_id = "id-2"; },
                   true},
        DigestCase{"TimeLeft",
                   [](CallerRequest& r) {
                     r.time_left = std::chrono::milliseconds(5);
                   },
                   true},
        DigestCase{"ForwardedHeaders",
                   [](CallerRequest& r) {
                     r.forwarded_headers = {{"X-Trace", "1"}};
                   },
                   true},
        DigestCase{"LastEventId", [](CallerRequest& r) { r.last_event_id = 7; },
                   true},
        DigestCase{"Method", [](CallerRequest& r) { r.method = "PUT"; }, false},
        DigestCase{"Query", [](CallerRequest& r) { r.target = "/a/b?c=2"; },
                   false},
        DigestCase{"Host", [](CallerRequest& r) { r.host = "other.example"; },
                   false},
        DigestCase{"Key", [](CallerRequest& r) { r.key = "other"; }, false},
        DigestCase{"Body", [](CallerRequest& r) { r.body = "texts"; }, false},
        DigestCase{"BoundaryOfFields",
                   [](CallerRequest& r) {
                     r.key = "secre";
                     r.body = "ttext";
                   },
                   false}),
    [](const auto& test) { return test.param.name; });

TEST(RequestDigestFormTest, CallersOfOneWorkspaceShareItWhateverTheirKeys) {
  CallerRequest request = MakeRequest();
  const std::string digest = RequestDigest(request, "shop-1");
  request.key = "newer";
  EXPECT_EQ(RequestDigest(request, "shop-1"), digest);
  EXPECT_NE(RequestDigest(request, "shop-2"), digest);
}

// Guards against the text of requests and keys reaching logs and other
// processes.
TEST(RequestDigestFormTest, ShowsNothingOfTheRequest) {
  const std::string digest = RequestDigest(MakeRequest(), "");
  EXPECT_EQ(digest.size(), std::string_view("request:").size() + 32);
  EXPECT_EQ(digest.find("secret"), std::string::npos);
  EXPECT_EQ(digest.find_first_not_of("0123456789abcdef", 8), std::string::npos);
}

}  // namespace
}  // namespace radishrudder::direct
