#include "engine.h"

#include <gtest/gtest.h>

#include <future>

#include "radishrudder/weights/manifest.h"
#include "tests/standins/running_stand_in.h"

namespace radishrudder::standin {
namespace {

constexpr std::uint32_t kChunkBytes = 4;
constexpr char kChat[] = "/v1/chat/completions";

EngineSettings Fast() {
  return {.slots = 2,
          .tokens_per_second = 1000,
          .checks_fence = true,
          .load_time = std::chrono::milliseconds(0)};
}

// An engine and what an agent does with it.
class RunningEngine : public RunningStandIn<Engine> {
 public:
  using RunningStandIn::RunningStandIn;

  // Hands over the first `chunks` chunks and returns the manifest's digest.
  std::string Give(const std::string& bytes, std::size_t chunks) {
    const auto manifest = weights::DescribeFile("w.bin", bytes, kChunkBytes);
    std::string digest = weights::ManifestDigest(manifest);
    const std::string base = "/v1/weights/" + digest;
    Call("PUT", base + "/manifest", weights::ToText(manifest));
    for (std::size_t i = 0; i < chunks; ++i) {
      const auto put = Call("PUT", base + "/chunks/" + std::to_string(i),
                            bytes.substr(i * kChunkBytes, kChunkBytes));
      EXPECT_EQ(put.result.status, 204) << put.body;
    }
    return digest;
  }
  int Load(const std::string& digest, const std::vector<int>& fence) {
    const nlohmann::json order = {
        {"kind", "load"}, {"manifest_digest", digest}, {"fence", fence}};
    return Call("POST", "/v1/orders", order.dump()).result.status;
  }
};

TEST(EngineTest, LoadsOnlyWholeVerifiedWeights) {
  RunningEngine engine(Fast());
  EXPECT_EQ(engine.Call("POST", kChat, "{}").result.status, 503);
  const std::string digest = engine.Give("0123456789", 2);
  EXPECT_EQ(engine.Load(digest, {1, 1, 1}), 422);
  const std::string third = "/v1/weights/" + digest + "/chunks/2";
  EXPECT_EQ(engine.Call("PUT", third, "xx").result.status, 422);
  EXPECT_EQ(engine.Get("/v1/status")["running_digest"], "");
  EXPECT_EQ(engine.Call("PUT", third, "89").result.status, 204);
  EXPECT_EQ(engine.Load(digest, {1, 1, 1}), 200);
  EXPECT_EQ(engine.Get("/v1/status")["running_digest"], digest);
}

TEST(EngineTest, RefusesAManifestOfAnotherDigest) {
  RunningEngine engine(Fast());
  const auto put = engine.Call("PUT", "/v1/weights/sha256:00/manifest", "{}");
  EXPECT_EQ(put.result.status, 422);
}

TEST(EngineTest, DropsOtherVersionsAfterALoad) {
  RunningEngine engine(Fast());
  const std::string first = engine.Give("0123456789", 3);
  const std::string second = engine.Give("abcdefghij", 3);
  EXPECT_EQ(engine.Load(second, {1, 1, 1}), 200);
  EXPECT_EQ(engine.Load(first, {1, 1, 2}), 422);
}

struct FenceCase {
  bool checks_fence;
  std::vector<int> fence;
  int status;
};

class FenceTest : public testing::TestWithParam<FenceCase> {};

TEST_P(FenceTest, OldOrdersAreRefusedIfChecked) {
  EngineSettings settings = Fast();
  settings.checks_fence = GetParam().checks_fence;
  RunningEngine engine(settings);
  const std::string digest = engine.Give("0123456789", 3);
  EXPECT_EQ(engine.Load(digest, {2, 5, 1}), 200);
  EXPECT_EQ(engine.Load(digest, GetParam().fence), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         FenceTest,
                         testing::Values(FenceCase{true, {2, 5, 1}, 200},
                                         FenceCase{true, {2, 5, 2}, 200},
                                         FenceCase{true, {3, 1, 1}, 200},
                                         FenceCase{true, {2, 5, 0}, 409},
                                         FenceCase{true, {2, 4, 9}, 409},
                                         FenceCase{true, {1, 9, 9}, 409},
                                         FenceCase{false, {1, 1, 1}, 200},
                                         FenceCase{true, {1, 1}, 400}));

TEST(EngineTest, StreamsNumberedTokensWithTheirDigest) {
  RunningEngine engine(Fast());
  const std::string digest = engine.Give("0123456789", 3);
  engine.Load(digest, {1, 1, 1});
  const auto answer =
      engine.Call("POST", kChat,
                  R"({"model":"m","user":"u7","stream":true,"max_tokens":3})");
  EXPECT_EQ(answer.result.status, 200);
  EXPECT_EQ(http::FindHeader(answer.headers, "x-weights-digest"), digest);
  for (const char* token : {"u7/0 ", "u7/1 ", "u7/2 "}) {
    EXPECT_NE(answer.body.find(token), std::string::npos) << answer.body;
  }
  EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n")) << answer.body;
  EXPECT_EQ(engine.Get("/v1/executions")[0]["state"], "complete");
}

TEST(EngineTest, AWholeAnswerNamesItsWeights) {
  RunningEngine engine(Fast());
  const std::string digest = engine.Give("0123456789", 3);
  engine.Load(digest, {1, 1, 1});
  const auto answer =
      engine.Call("POST", "/v1/completions", R"({"user":"u","max_tokens":2})");
  const auto body = nlohmann::json::parse(answer.body);
  EXPECT_EQ(body["choices"][0]["text"], "u/0 u/1 ");
  EXPECT_EQ(body["weights"], digest);
}

TEST(EngineTest, ALoadDuringAnAnswerShowsInIt) {
  EngineSettings settings = Fast();
  settings.tokens_per_second = 20;
  RunningEngine engine(settings);
  const std::string first = engine.Give("0123456789", 3);
  engine.Load(first, {1, 1, 1});
  std::promise<void> started;
  std::promise<std::string> done;
  std::string text;
  engine.Client().Start(
      engine.Make("POST", kChat, R"({"stream":true,"max_tokens":10})"),
      {.on_head = [&](int, const auto&) { started.set_value(); },
       .on_data = [&](std::string_view data) { text += data; },
       .on_done = [&](const auto&) { done.set_value(text); }});
  started.get_future().wait();
  const std::string second = engine.Give("abcdefghij", 3);
  engine.Load(second, {1, 1, 2});
  EXPECT_NE(done.get_future().get().find(second), std::string::npos);
}

TEST(EngineTest, ACallerThatGoesCancelsItsGeneration) {
  EngineSettings settings = Fast();
  settings.slots = 1;
  settings.tokens_per_second = 1;
  RunningEngine engine(settings);
  engine.Load(engine.Give("0123456789", 3), {1, 1, 1});
  std::promise<void> started;
  const std::uint64_t number = engine.Client().Start(
      engine.Make("POST", kChat, R"({"stream":true,"max_tokens":4096})"),
      {.on_head = [&](int, const auto&) { started.set_value(); }});
  started.get_future().wait();
  EXPECT_EQ(engine.Get("/v1/status")["running"], 1);
  // The only slot goes to the next call once the first is cancelled.
  std::promise<void> next_started;
  engine.Client().Start(
      engine.Make("POST", kChat, R"({"stream":true,"max_tokens":4096})"),
      {.on_head = [&](int, const auto&) { next_started.set_value(); }});
  engine.Client().Cancel(number);
  next_started.get_future().wait();
  EXPECT_EQ(engine.Get("/v1/executions")[0]["state"], "cancelled");
}

struct BadBody {
  const char* body;
  const char* named;
};

class BadBodyTest : public testing::TestWithParam<BadBody> {};

TEST_P(BadBodyTest, IsRefusedInWords) {
  RunningEngine engine(Fast());
  engine.Load(engine.Give("0123456789", 3), {1, 1, 1});
  const auto answer = engine.Call("POST", kChat, GetParam().body);
  EXPECT_EQ(answer.result.status, 400);
  EXPECT_NE(answer.body.find(GetParam().named), std::string::npos)
      << answer.body;
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    BadBodyTest,
    testing::Values(BadBody{"", "must be a JSON object"},
                    BadBody{"{", "must be a JSON object"},
                    BadBody{R"({"max_tokens":0})", "max_tokens is 0"},
                    BadBody{R"({"max_tokens":"x"})", "number"}));

}  // namespace
}  // namespace radishrudder::standin
