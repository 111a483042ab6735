#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "platform/endpoint_codec.h"
#include "platform/json_fields.h"
#include "platform/messages.h"
#include "platform/settings.h"
#include "platform/store_codec.h"

namespace radishrudder::platform {
namespace {

exchange::ReceivedRequest Received(std::vector<http::Header> headers) {
  exchange::ReceivedRequest received;
  received.head.method = "POST";
  received.head.target = "/a/b?c=d";
  received.head.headers = std::move(headers);
  received.body = "body";
  return received;
}

TEST(CallCodecTest, DecodesCallerRequest) {
  const direct::CallerRequest request = CallCodec::DecodeRequest(
      Received({{"Host", "h.example"},
                {"Radishrudder-Attempt-Id", "id-1"},
                {"Radishrudder-Deadline-Ms", "1500"},
                {"Radishrudder-Token-Usage", "1460,80"},
                {"Radishrudder-Prompt-Prefix", "5c1e:800, 91bd:410,e440:250"},
                {"Last-Event-Id", "12"},
                {"Authorization", "Token secret"}}));
  EXPECT_EQ(request.path, "/a/b");
  EXPECT_EQ(request.target, "/a/b?c=d");
  EXPECT_EQ(request.attempt_id, "id-1");
  EXPECT_EQ(request.time_left, std::chrono::milliseconds(1500));
  EXPECT_EQ(request.prompt_tokens, 1460);
  EXPECT_EQ(request.maximum_answer_tokens, 80);
  EXPECT_EQ(request.last_event_id, 12U);
  EXPECT_EQ(request.key, "secret");
  EXPECT_EQ(request.prompt_parts, (std::vector<std::string>{"5c1e", "91bd"}));
}

TEST(CallCodecTest, OnlyPartOfPromptIsNotShared) {
  EXPECT_TRUE(
      CallCodec::DecodeRequest(Received({{"Host", "h"}})).prompt_parts.empty());
  EXPECT_TRUE(CallCodec::DecodeRequest(
                  Received({{"Radishrudder-Prompt-Prefix", "5c1e:800"}}))
                  .prompt_parts.empty());
}

struct PromptCase {
  const char* name;
  std::string header;
  std::size_t parts;  // That are kept.
  std::string first{};
};

void PrintTo(const PromptCase& prompt, std::ostream* stream) {
  *stream << prompt.name;
}

class PromptPartsTest : public testing::TestWithParam<PromptCase> {};

// Guards against requests that hold far more memory than their bytes.
TEST_P(PromptPartsTest, KeepsAFewOfAFewBytes) {
  const std::vector<std::string> parts =
      CallCodec::DecodeRequest(
          Received({{"Radishrudder-Prompt-Prefix", GetParam().header}}))
          .prompt_parts;
  ASSERT_EQ(parts.size(), GetParam().parts);
  if (!parts.empty()) {
    EXPECT_EQ(parts.front().substr(0, 5), GetParam().first);
    EXPECT_LE(parts.front().size(), 64U);
  }
}

std::string ManyParts(std::size_t count) {
  std::string header;
  for (std::size_t part = 0; part < count; ++part) {
    header += std::to_string(10'000 + part) + ":1,";
  }
  return header + "own:1";
}

INSTANTIATE_TEST_SUITE_P(
    All,
    PromptPartsTest,
    testing::Values(PromptCase{"None", "", 0},
                    PromptCase{"OnlyItsOwn", "5c1e:800", 0},
                    PromptCase{"WithoutTokens", "abcde,own", 1, "abcde"},
                    PromptCase{"Spaces", " abcde:1 , own:1", 1, "abcde"},
                    PromptCase{"Most", ManyParts(64), 64, "10000"},
                    PromptCase{"TooMany", ManyParts(65), 64, "10000"},
                    PromptCase{"FarTooMany", ManyParts(2000), 64, "10000"},
                    PromptCase{"LongId", std::string(15'000, 'x') + ":1,own:1",
                               1, "part:"}),
    [](const auto& info) { return std::string(info.param.name); });

struct ForwardCase {
  const char* name;
  http::Header header;
  bool forwarded;
};

class ForwardTest : public testing::TestWithParam<ForwardCase> {};

TEST_P(ForwardTest, ForwardsOnlyEndToEndHeaders) {
  const direct::CallerRequest request = CallCodec::DecodeRequest(Received(
      {{"Host", "h"}, {"Connection", "close, X-Hop"}, GetParam().header}));
  direct::SendAttempt attempt;
  attempt.endpoint_id = "i-1";
  attempt.time_left = std::chrono::milliseconds(700);
  const std::string text =
      CallCodec::EncodeAttempt(request, attempt) + request.body;
  const std::string line =
      "\r\n" + GetParam().header.name + ": " + GetParam().header.value + "\r\n";
  EXPECT_EQ(text.find(line) != std::string::npos, GetParam().forwarded);
  EXPECT_NE(text.find("\r\nRadishrudder-Expect-Instance: i-1\r\n"),
            std::string::npos);
  EXPECT_NE(text.find("\r\nRadishrudder-Deadline-Ms: 700\r\n"),
            std::string::npos);
  EXPECT_TRUE(text.ends_with("\r\nContent-Length: 4\r\n\r\nbody"));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ForwardTest,
    testing::Values(
        ForwardCase{"Id", {"Radishrudder-Attempt-Id", "id-1"}, true},
        ForwardCase{"Model", {"Radishrudder-Model", "m"}, true},
        ForwardCase{"Own", {"X-Own", "1"}, true},
        ForwardCase{"Key", {"Authorization", "Token k"}, false},
        ForwardCase{"Workspace", {"Radishrudder-Tenant", "t"}, false},
        ForwardCase{"Endpoint", {"Radishrudder-Expect-Instance", "x"}, false},
        ForwardCase{"Version", {"Radishrudder-Expect-Version", "9"}, false},
        ForwardCase{"Urgency", {"Radishrudder-Request-Priority", "0"}, false},
        ForwardCase{"Hop", {"X-Hop", "1"}, false},
        ForwardCase{"Framing", {"Transfer-Encoding", "chunked"}, false}),
    [](const auto& info) { return info.param.name; });

struct ResponseCase {
  const char* name;
  int status;
  http::Header header;
  bool not_executed;
  bool wrong_endpoint;
  bool wrong_version;
};

class ResponseTest : public testing::TestWithParam<ResponseCase> {};

TEST_P(ResponseTest, DecodesWhetherRequestWasExecuted) {
  exchange::ResponseHead head;
  head.status = GetParam().status;
  head.headers = {GetParam().header};
  const direct::EndpointResponse answer =
      CallCodec::DecodeResponse(head, "i-1");
  EXPECT_EQ(answer.not_executed, GetParam().not_executed);
  EXPECT_EQ(answer.wrong_endpoint, GetParam().wrong_endpoint);
  EXPECT_EQ(answer.wrong_version, GetParam().wrong_version);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ResponseTest,
    testing::Values(
        ResponseCase{"Ran", 200, {"X", "1"}, false, false, false},
        ResponseCase{"Unavailable", 503, {"X", "1"}, false, false, false},
        ResponseCase{"Shed",
                     503,
                     {"Radishrudder-Not-Executed", "1"},
                     true,
                     false,
                     false},
        ResponseCase{"OtherEndpoint",
                     421,
                     {"Radishrudder-Served-By", "i-2"},
                     true,
                     true,
                     false},
        ResponseCase{"OtherVersion",
                     421,
                     {"Radishrudder-Served-By", "i-1"},
                     true,
                     false,
                     true}),
    [](const auto& info) { return info.param.name; });

struct PauseCase {
  const char* name;
  int status;
  const char* retry_after;
  std::optional<std::chrono::milliseconds> pause;
  const char* unreadable;
};

class PauseTest : public testing::TestWithParam<PauseCase> {};

// Guards against an endpoint's request for a pause being lost or misread, which
// nothing in the log would show.
TEST_P(PauseTest, DecodesHowLongTheEndpointWantsNoRequests) {
  exchange::ResponseHead head;
  head.status = GetParam().status;
  head.headers = {{"Retry-After", GetParam().retry_after}};
  const direct::EndpointResponse response =
      CallCodec::DecodeResponse(head, "i-1");
  EXPECT_EQ(response.requested_pause, GetParam().pause);
  EXPECT_EQ(response.unreadable, GetParam().unreadable);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    PauseTest,
    testing::Values(
        PauseCase{"WholeSeconds", 503, "3", std::chrono::milliseconds(3000),
                  ""},
        PauseCase{"Fraction", 503, "0.25", std::chrono::milliseconds(250), ""},
        PauseCase{"Zero", 503, "0", std::chrono::milliseconds(0), ""},
        PauseCase{"Huge", 503, "1e300", std::chrono::milliseconds(86'400'000),
                  ""},
        PauseCase{"Endless", 503, "inf", std::chrono::milliseconds(86'400'000),
                  ""},
        PauseCase{"Negative", 503, "-1", std::nullopt, "Retry-After: -1"},
        PauseCase{"NoNumber", 503, "nan", std::nullopt, "Retry-After: nan"},
        PauseCase{"Date", 503, "Fri, 04 Dec 2026 15:00:00 GMT", std::nullopt,
                  "Retry-After: Fri, 04 Dec 2026 15:00:00 GMT"},
        PauseCase{"OtherStatus", 429, "3", std::nullopt, ""}),
    [](const auto& test) { return test.param.name; });

struct LimitCase {
  const char* name;
  const char* text;
  std::optional<double> requests_per_second;
  const char* unreadable;
};

class LimitTest : public testing::TestWithParam<LimitCase> {};

// Guards against the limit that an endpoint names being lost or misread, which
// nothing in the log would show.
TEST_P(LimitTest, DecodesHowManyRequestsTheEndpointTakes) {
  exchange::ResponseHead head;
  head.status = 200;
  head.headers = {{"Server-Limit", GetParam().text}};
  const direct::EndpointResponse response =
      CallCodec::DecodeResponse(head, "i-1");
  EXPECT_EQ(response.requests_per_second, GetParam().requests_per_second);
  EXPECT_EQ(response.unreadable, GetParam().unreadable);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LimitTest,
    testing::Values(
        LimitCase{"Whole", "3", 3, ""},
        LimitCase{"Fraction", "0.75", 0.75, ""},
        LimitCase{"Zero", "0", 0, ""},
        LimitCase{"Huge", "1e300", 1e6, ""},
        LimitCase{"Absent", "", std::nullopt, ""},
        LimitCase{"Negative", "-1", std::nullopt, "Server-Limit: -1"},
        LimitCase{"Text", "few", std::nullopt, "Server-Limit: few"}),
    [](const auto& test) { return test.param.name; });

struct ColdCase {
  const char* name;
  const char* text;
  std::optional<std::chrono::milliseconds> cold_time;
  const char* unreadable;
};

class ColdTest : public testing::TestWithParam<ColdCase> {};

// Guards against the time that an endpoint stays cold being lost or misread,
// which nothing in the log would show.
TEST_P(ColdTest, DecodesHowLongTheEndpointStaysCold) {
  exchange::ResponseHead head;
  head.status = 200;
  head.headers = {{"Radishrudder-Cold-Ms", GetParam().text}};
  const direct::EndpointResponse response =
      CallCodec::DecodeResponse(head, "i-1");
  EXPECT_EQ(response.cold_time, GetParam().cold_time);
  EXPECT_EQ(response.unreadable, GetParam().unreadable);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ColdTest,
    testing::Values(
        ColdCase{"Whole", "1500", std::chrono::milliseconds(1500), ""},
        ColdCase{"Fraction", "20.5", std::chrono::milliseconds(20), ""},
        ColdCase{"Zero", "0", std::chrono::milliseconds(0), ""},
        ColdCase{"Huge", "1e300", std::chrono::milliseconds(86'400'000), ""},
        ColdCase{"Absent", "", std::nullopt, ""},
        ColdCase{"Negative", "-1", std::nullopt, "Radishrudder-Cold-Ms: -1"},
        ColdCase{"NoNumber", "nan", std::nullopt, "Radishrudder-Cold-Ms: nan"},
        ColdCase{"Text", "long", std::nullopt, "Radishrudder-Cold-Ms: long"}),
    [](const auto& test) { return test.param.name; });

TEST(CallCodecTest, DecodesLoadAndVersion) {
  exchange::ResponseHead head;
  head.status = 200;
  head.headers = {{"Server-Leaving", "1"},
                  {"Radishrudder-Instance-Load", "3, 1, 8"},
                  {"Radishrudder-Weight-Versions", "4"},
                  {"Radishrudder-Response-Signature", "s"}};
  const direct::EndpointResponse answer =
      CallCodec::DecodeResponse(head, "i-1");
  ASSERT_TRUE(answer.load);
  EXPECT_EQ(answer.load->running, 3U);
  EXPECT_EQ(answer.load->waiting, 1U);
  EXPECT_EQ(answer.load->capacity, 8U);
  EXPECT_EQ(answer.version, 4U);
  EXPECT_TRUE(answer.has_signature);
  EXPECT_TRUE(answer.leaving);
}

struct LoadCase {
  const char* name;
  const char* header;
  bool known;
  std::optional<double> pace;
};

class LoadHeaderTest : public testing::TestWithParam<LoadCase> {};

// Endpoints that state a fourth figure had no known load at all.
TEST_P(LoadHeaderTest, DecodesLoadAndPace) {
  exchange::ResponseHead head;
  head.status = 200;
  head.headers = {{"Radishrudder-Instance-Load", GetParam().header}};
  const direct::EndpointResponse answer =
      CallCodec::DecodeResponse(head, "i-1");
  ASSERT_EQ(answer.load.has_value(), GetParam().known);
  if (answer.load) {
    EXPECT_EQ(answer.load->running, 3U);
    EXPECT_EQ(answer.load->waiting, 1U);
    EXPECT_EQ(answer.load->capacity, 8U);
    EXPECT_EQ(answer.load->pace, GetParam().pace);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LoadHeaderTest,
    testing::Values(LoadCase{"ThreeFigures", "3,1,8", true, std::nullopt},
                    LoadCase{"UsualPace", "3,1,8,100", true, 1},
                    LoadCase{"SlowPace", "3, 1, 8, 250", true, 2.5},
                    LoadCase{"MoreFigures", "3,1,8,50,7", true, 0.5},
                    LoadCase{"NoPace", "3,1,8,", true, 1},
                    LoadCase{"ZeroPace", "3,1,8,0", true, 1},
                    LoadCase{"NegativePace", "3,1,8,-100", true, 1},
                    LoadCase{"AbsurdPace", "3,1,8,1e300", true, 1},
                    LoadCase{"TextPace", "3,1,8,slow", true, 1},
                    LoadCase{"TwoFigures", "3,1", false, std::nullopt},
                    LoadCase{"Malformed", "3,1,many,100", false, std::nullopt},
                    LoadCase{"Empty", "", false, std::nullopt}),
    [](const auto& info) { return info.param.name; });

TEST(CallCodecTest, TellsWhetherTheEndOfTheBodyIsMarked) {
  EXPECT_TRUE(
      CallCodec::DecodeResponse({.status = 200, .length = 3}, "i-1").delimited);
  EXPECT_TRUE(CallCodec::DecodeResponse({.status = 200, .chunked = true}, "i-1")
                  .delimited);
  EXPECT_FALSE(CallCodec::DecodeResponse({.status = 200}, "i-1").delimited);
}

TEST(CallCodecTest, GeneratedResponseHasRetryAfter) {
  const exchange::AnswerHead head = CallCodec::EncodeGeneratedResponse(
      503, "id-1", std::chrono::milliseconds(450));
  EXPECT_EQ(http::FindHeader(head.headers, "Retry-After"), "0.450");
  EXPECT_EQ(http::FindHeader(head.headers, "Radishrudder-Attempt-Id"), "id-1");
}

struct StoreCase {
  const char* name;
  exchange::FetchedAnswer answer;
  bool decoded;
  std::size_t items;
  bool history_gone;
};

class StoreTest : public testing::TestWithParam<StoreCase> {};

TEST_P(StoreTest, DecodesCompleteResponseOrNothing) {
  std::string problem;
  const auto answer = StoreCodec::Decode(GetParam().answer, problem);
  EXPECT_EQ(answer.has_value(), GetParam().decoded) << problem;
  EXPECT_EQ(problem.empty(), GetParam().decoded);
  if (answer) {
    EXPECT_EQ(answer->items.size(), GetParam().items);
    EXPECT_EQ(answer->history_gone, GetParam().history_gone);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    StoreTest,
    testing::Values(
        StoreCase{"Page",
                  {200, {}, R"({"items":[{"key":"a","value":"bm9kZS0x",
                   "revision":3}],"has_more":true,"at":9})"},
                  true,
                  1,
                  false},
        StoreCase{"Events",
                  {200, {}, R"({"events":[{"key":"a","value":"","revision":3},
                   {"key":"b","revision":4,"tombstone":true}],"at":4})"},
                  true,
                  2,
                  false},
        StoreCase{"Gone", {410, {}, ""}, true, 0, true},
        StoreCase{"Busy", {503, {}, ""}, false, 0, false},
        StoreCase{"CutOff",
                  {200, {}, R"({"items":[{"key":"a")"},
                  false,
                  0,
                  false},
        StoreCase{"NoRevision", {200, {}, R"({"items":[]})"}, false, 0, false},
        StoreCase{"NotBase64",
                  {200, {}, R"({"items":[{"key":"a","value":"?",
                   "revision":3}],"at":9})"},
                  false,
                  0,
                  false}),
    [](const auto& info) { return info.param.name; });

TEST(StoreCodecTest, DecodesBase64Value) {
  std::string problem;
  const auto answer = StoreCodec::Decode(
      {200, {}, R"({"items":[{"key":"a","value":"bm9kZS0xMg==",
                   "revision":3}],"at":9})"},
      problem);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->items[0].value, "node-12");
  EXPECT_EQ(answer->revision, 9U);
}

TEST(StoreCodecTest, EscapesKeys) {
  EXPECT_EQ(StoreCodec::EncodePage("servers/", {"servers/a&b"}).target,
            "/kv-range?prefix=servers/&after=servers/a%26b");
  EXPECT_EQ(StoreCodec::EncodeWatch("op/", {7, std::chrono::milliseconds(900)})
                .target,
            "/kv-watch?prefix=op/&after=7&wait_ms=900");
}

TEST(EndpointCodecTest, EncodesVersionAndPreconditionOfOrder) {
  const exchange::FetchRequest request =
      EndpointCodec::EncodeOrder({{"m", 3}, 5});
  EXPECT_EQ(request.target, "/order");
  EXPECT_EQ(request.body,
            R"({"model":"m","operation":"start","precondition":5,)"
            R"("start_mode":"queue","version":3})");
}

constexpr char kSettings[] = R"({
  "node": "edge-1", "ip": "10.1.0.40", "zone": "z-a", "region": "r",
  "zones": {"z-a": "r", "z-b": "q"}, "internal_ports": [7700, 7715],
  "listen": {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002"},
  "limits": {"link_mbps": 8}, "unknown": 1,
  "bounds": {"grace_s": 6, "revoke_ms": 4000},
  "platform": {"address": "10.200.1.7:8007"}})";

TEST(SettingsTest, DecodesAllMembers) {
  kernel::Findings findings;
  const Settings settings = ParseSettings("node.json", kSettings, findings);
  EXPECT_TRUE(findings.Empty()) << kernel::Format(findings);
  EXPECT_EQ(settings.peers_address, "10.1.0.40:7700");
  EXPECT_EQ(settings.metrics_address, "10.1.0.40:7701");
  EXPECT_EQ(settings.regions.at("z-b"), "q");
  EXPECT_EQ(settings.link_bytes_per_second, 1e6);
  EXPECT_EQ(settings.stop_timeout, std::chrono::seconds(6));
  EXPECT_EQ(settings.key_revocation_limit, std::chrono::milliseconds(4000));
  EXPECT_EQ(settings.version_switch_limit, std::chrono::milliseconds(8000));
}

TEST(SettingsTest, ReportsAllMissingMembersTogether) {
  kernel::Findings findings;
  ParseSettings("node.json", R"({"node": 5, "zone": "z"})", findings);
  std::string text = kernel::Format(findings);
  for (const char* pointer : {"/node", "/ip", "/region", "/zones",
                              "/internal_ports", "/platform/address"}) {
    EXPECT_NE(text.find(std::string("at ") + pointer), std::string::npos)
        << pointer << "\n"
        << text;
  }
}

struct SettingsLimitForm {
  const char* name;
  const char* value;
};

class SettingsLimitTest : public testing::TestWithParam<
                              std::tuple<const char*, SettingsLimitForm>> {};

// Guards against settings that take effect without one of their limits.
TEST_P(SettingsLimitTest, IsAnErrorIfItCanNotBeRead) {
  const auto& [pointer, form] = GetParam();
  Json document = Json::parse(kSettings);
  document[Json::json_pointer(pointer)] = Json::parse(form.value);
  kernel::Findings findings;
  ParseSettings("node.json", document.dump(), findings);
  EXPECT_TRUE(findings.HasErrors());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SettingsLimitTest,
    testing::Combine(testing::Values("/bounds/retry_budget_ratio",
                                     "/bounds/revoke_ms",
                                     "/bounds/config_apply_ms",
                                     "/bounds/grace_s",
                                     "/limits/memory_mb",
                                     "/limits/max_fds"),
                     testing::Values(SettingsLimitForm{"Text", R"("1")"},
                                     SettingsLimitForm{"True", "true"},
                                     SettingsLimitForm{"List", "[]"},
                                     SettingsLimitForm{"Object", "{}"},
                                     SettingsLimitForm{"Negative", "-1"},
                                     SettingsLimitForm{"Huge", "1e300"})),
    [](const auto& info) {
      const std::string pointer = std::get<0>(info.param);
      return pointer.substr(pointer.rfind('/') + 1) +
             std::get<1>(info.param).name;
    });

struct StoreEraCase {
  const char* name;
  int status;
  const char* text;
  std::uint64_t era;
};

class StoreEraTest : public testing::TestWithParam<StoreEraCase> {};

// Guards against revisions of different eras of the store being compared.
TEST_P(StoreEraTest, DecodesEraOfAnyAnswerThatIsUsed) {
  exchange::FetchedAnswer answer{.status = GetParam().status,
                                 .body = R"({"at":3,"items":[]})"};
  answer.headers = {{"Store-Era", GetParam().text}};
  std::string problem;
  const auto decoded = StoreCodec::Decode(answer, problem);
  ASSERT_TRUE(decoded) << problem;
  EXPECT_EQ(decoded->era, GetParam().era);
}

INSTANTIATE_TEST_SUITE_P(All,
                         StoreEraTest,
                         testing::Values(StoreEraCase{"Read", 200, "7", 7},
                                         StoreEraCase{"Gone", 410, "8", 8},
                                         StoreEraCase{"NoNumber", 200, "x", 0},
                                         StoreEraCase{"None", 200, "", 0}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace radishrudder::platform
