#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <string>

#include "radishrudder/http/client.h"
#include "radishrudder/http/server.h"

namespace radishrudder::http {
namespace {

constexpr std::size_t kMaximumBodyBytes = 1000;

// A server whose handler is given, and a client.
class Pair {
 public:
  explicit Pair(Handler handler)
      : server({.maximum_body_bytes = kMaximumBodyBytes}, std::move(handler)) {
    EXPECT_FALSE(server.Start());
  }

  ClientRequest To(std::string method, const std::string& path) const {
    return {.method = std::move(method),
            .url = "http://127.0.0.1:" + std::to_string(server.Port()) + path};
  }

  Server server;
  Client client;
};

void Echo(const Request& request, const std::shared_ptr<Responder>& responder) {
  responder->Reply(
      200,
      {{"x-method", request.method},
       {"x-path", request.path},
       {"x-query", request.query},
       {"x-key", std::string(FindHeader(request.headers, "Idempotency-Key"))}},
      request.body);
}

TEST(ClientServerTest, CarriesMethodPathQueryHeadersAndBody) {
  Pair pair(Echo);
  ClientRequest request = pair.To("PUT", "/a/b?c=d&e=f");
  request.headers = {{"idempotency-key", "k1"}};
  request.body = std::string("some\0bytes", 10);
  const WholeAnswer answer = pair.client.FetchNow(request);
  EXPECT_FALSE(answer.result.error) << answer.result.error.message();
  EXPECT_EQ(answer.result.status, 200);
  EXPECT_EQ(FindHeader(answer.headers, "x-method"), "PUT");
  EXPECT_EQ(FindHeader(answer.headers, "x-path"), "/a/b");
  EXPECT_EQ(FindHeader(answer.headers, "x-query"), "c=d&e=f");
  EXPECT_EQ(FindHeader(answer.headers, "x-key"), "k1");
  EXPECT_EQ(answer.body, request.body);
}

TEST(ClientServerTest, StreamsDataBeforeTheAnswerEnds) {
  std::promise<std::shared_ptr<Responder>> handed_over;
  Pair pair([&](const Request&, std::shared_ptr<Responder> responder) {
    responder->Begin(200, {{"content-type", "text/event-stream"}});
    responder->Write("first");
    handed_over.set_value(std::move(responder));
  });
  std::promise<int> head;
  std::promise<std::string> first;
  std::promise<ClientResult> done;
  std::string rest;
  pair.client.Start(
      pair.To("GET", "/"),
      {.on_head = [&](int status, const auto&) { head.set_value(status); },
       .on_data =
           [&, seen = false](std::string_view data) mutable {
             if (!std::exchange(seen, true)) {
               first.set_value(std::string(data));
             } else {
               rest += data;
             }
           },
       .on_done = [&](const ClientResult& result) { done.set_value(result); }});
  EXPECT_EQ(head.get_future().get(), 200);
  EXPECT_EQ(first.get_future().get(), "first");
  const auto responder = handed_over.get_future().get();
  responder->Write(" second");
  responder->Finish();
  const ClientResult result = done.get_future().get();
  EXPECT_FALSE(result.error);
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(rest, " second");
}

TEST(ClientServerTest, AnAbortedAnswerIsAnErrorAfterItsData) {
  Pair pair([](const Request&, const std::shared_ptr<Responder>& responder) {
    responder->Begin(200, {});
    responder->Write("part");
    responder->Abort();
    responder->Write("late");
    responder->Finish();
  });
  const WholeAnswer answer = pair.client.FetchNow(pair.To("POST", "/"));
  EXPECT_TRUE(answer.result.error);
  EXPECT_TRUE(answer.result.may_have_been_sent);
  EXPECT_EQ(answer.body, "part");
}

TEST(ClientServerTest, AnAbortBeforeTheAnswerIsAnError) {
  Pair pair([](const Request&, const std::shared_ptr<Responder>& responder) {
    responder->Abort();
  });
  EXPECT_TRUE(pair.client.FetchNow(pair.To("POST", "/")).result.error);
}

TEST(ClientServerTest, ACancelTellsTheServerThatItsCallerHasGone) {
  std::promise<void> started;
  std::promise<void> gone;
  std::shared_ptr<Responder> kept;
  Pair pair([&](const Request&, std::shared_ptr<Responder> responder) {
    responder->OnGone([&] { gone.set_value(); });
    responder->Begin(200, {});
    kept = std::move(responder);
    started.set_value();
  });
  std::promise<ClientResult> done;
  const std::uint64_t number = pair.client.Start(
      pair.To("POST", "/"),
      {.on_done = [&](const ClientResult& result) { done.set_value(result); }});
  started.get_future().wait();
  pair.client.Cancel(number);
  EXPECT_EQ(done.get_future().get().error, std::errc::operation_canceled);
  gone.get_future().wait();
  kept->Write("ignored");
  kept->Finish();
}

TEST(ClientServerTest, AFinishedAnswerHasNoGoneCall) {
  std::atomic<int> gone = 0;
  {
    Pair pair([&](const Request&, const std::shared_ptr<Responder>& responder) {
      responder->OnGone([&] { ++gone; });
      responder->Reply(200, {}, "whole");
    });
    EXPECT_EQ(pair.client.FetchNow(pair.To("POST", "/")).body, "whole");
  }
  EXPECT_EQ(gone, 0);
}

TEST(ClientServerTest, ARefusedConnectionWasNotSent) {
  std::uint16_t port = 0;
  {
    Server closed({}, Echo);
    ASSERT_FALSE(closed.Start());
    port = closed.Port();
  }
  Client client;
  const WholeAnswer answer =
      client.FetchNow({.method = "POST",
                       .url = "http://127.0.0.1:" + std::to_string(port) + "/",
                       .body = "deposit"});
  EXPECT_EQ(answer.result.error, std::errc::connection_refused);
  EXPECT_FALSE(answer.result.may_have_been_sent);
}

TEST(ClientServerTest, ATimeoutMayHaveBeenSent) {
  std::mutex mutex;
  std::vector<std::shared_ptr<Responder>> kept;
  Pair pair([&](const Request&, std::shared_ptr<Responder> responder) {
    const std::lock_guard lock(mutex);
    kept.push_back(std::move(responder));
  });
  ClientRequest request = pair.To("POST", "/");
  request.timeout = std::chrono::milliseconds(50);
  const WholeAnswer answer = pair.client.FetchNow(request);
  EXPECT_EQ(answer.result.error, std::errc::timed_out);
  EXPECT_TRUE(answer.result.may_have_been_sent);
}

TEST(ClientServerTest, ABodyOverTheLimitIsRefused) {
  std::atomic<int> handled = 0;
  Pair pair(
      [&](const Request& request, const std::shared_ptr<Responder>& responder) {
        ++handled;
        Echo(request, responder);
      });
  ClientRequest request = pair.To("POST", "/");
  request.body = std::string(kMaximumBodyBytes + 1, 'x');
  const WholeAnswer refused = pair.client.FetchNow(request);
  EXPECT_EQ(refused.result.status, 413);
  EXPECT_NE(refused.body.find("1001 bytes, at most 1000"), std::string::npos);
  request.body = std::string(kMaximumBodyBytes * 3, 'x');
  EXPECT_TRUE(pair.client.FetchNow(request).result.error);
  EXPECT_EQ(handled, 0);
  request.body = std::string(kMaximumBodyBytes, 'x');
  EXPECT_EQ(pair.client.FetchNow(request).result.status, 200);
}

TEST(ClientServerTest, AnAnswerOverTheClientsLimitIsAnError) {
  Pair pair(Echo);
  ClientRequest request = pair.To("POST", "/");
  request.body = "0123456789";
  request.maximum_body_bytes = 9;
  const WholeAnswer answer = pair.client.FetchNow(request);
  EXPECT_EQ(answer.result.error, std::errc::message_size);
}

TEST(ClientServerTest, APortIsBoundExclusively) {
  Server first({}, Echo);
  ASSERT_FALSE(first.Start());
  Server second({.port = first.Port()}, Echo);
  EXPECT_EQ(second.Start(), std::errc::address_in_use);
}

TEST(ClientServerTest, OpenAnswersGoOnAfterStopAccepting) {
  std::promise<std::shared_ptr<Responder>> handed_over;
  Pair pair([&](const Request&, std::shared_ptr<Responder> responder) {
    handed_over.set_value(std::move(responder));
  });
  std::promise<WholeAnswer> done;
  pair.client.Fetch(pair.To("POST", "/"), [&](WholeAnswer answer) {
    done.set_value(std::move(answer));
  });
  const auto responder = handed_over.get_future().get();
  pair.server.StopAccepting();
  responder->Begin(200, {});
  responder->Write("whole");
  responder->Finish();
  pair.server.Stop();
  const WholeAnswer answer = done.get_future().get();
  EXPECT_FALSE(answer.result.error) << answer.result.error.message();
  EXPECT_EQ(answer.body, "whole");
  const WholeAnswer refused = pair.client.FetchNow(pair.To("POST", "/"));
  EXPECT_FALSE(refused.result.may_have_been_sent);
}

TEST(ClientServerTest, StoppingTellsOpenAnswersThatTheirCallersAreGone) {
  std::promise<std::shared_ptr<Responder>> handed_over;
  std::promise<void> gone;
  Pair pair([&](const Request&, std::shared_ptr<Responder> responder) {
    responder->OnGone([&] { gone.set_value(); });
    handed_over.set_value(std::move(responder));
  });
  std::promise<WholeAnswer> done;
  pair.client.Fetch(pair.To("POST", "/"), [&](WholeAnswer answer) {
    done.set_value(std::move(answer));
  });
  auto responder = handed_over.get_future().get();
  pair.server.Stop();
  gone.get_future().wait();
  responder->Reply(200, {}, "too late");
  responder.reset();
  EXPECT_TRUE(done.get_future().get().result.error);
}

TEST(ClientServerTest, ADestroyedClientEndsItsRequests) {
  std::promise<void> started;
  std::mutex mutex;
  std::vector<std::shared_ptr<Responder>> kept;
  Server server({}, [&](const Request&, std::shared_ptr<Responder> responder) {
    const std::lock_guard lock(mutex);
    kept.push_back(std::move(responder));
    started.set_value();
  });
  ASSERT_FALSE(server.Start());
  std::promise<WholeAnswer> done;
  {
    Client client;
    client.Fetch({.method = "POST",
                  .url = "http://127.0.0.1:" + std::to_string(server.Port())},
                 [&](const WholeAnswer& answer) { done.set_value(answer); });
    started.get_future().wait();
  }
  EXPECT_EQ(done.get_future().get().result.error,
            std::errc::operation_canceled);
}

// A daemon's handlers ask again when a request ends; they must not be called
// once the client has stopped.
TEST(ClientServerTest, AStoppedClientEndsRequestsThatItsHandlersMake) {
  std::promise<void> started;
  std::shared_ptr<Responder> kept;
  Pair pair([&](const Request&, std::shared_ptr<Responder> responder) {
    kept = std::move(responder);
    started.set_value();
  });
  int ended = 0;
  const auto count = [&](const WholeAnswer& answer) {
    EXPECT_EQ(answer.result.error, std::errc::operation_canceled);
    ++ended;
  };
  pair.client.Fetch(pair.To("POST", "/"), [&](const WholeAnswer& answer) {
    count(answer);
    pair.client.Fetch(pair.To("POST", "/again"), count);
  });
  started.get_future().wait();
  pair.client.Stop();
  EXPECT_EQ(ended, 2);
  pair.client.Fetch(pair.To("POST", "/late"), count);
  EXPECT_EQ(ended, 3);
}

TEST(ClientServerTest, ManyRequestsAtOnceGetTheirOwnAnswers) {
  constexpr int kRequests = 200;
  Pair pair(Echo);
  std::vector<std::promise<WholeAnswer>> done(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    ClientRequest request = pair.To("POST", "/");
    request.body = "call " + std::to_string(i);
    pair.client.Fetch(std::move(request), [&, i](const WholeAnswer& answer) {
      done[i].set_value(answer);
    });
  }
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(done[i].get_future().get().body, "call " + std::to_string(i));
  }
}

}  // namespace
}  // namespace radishrudder::http
