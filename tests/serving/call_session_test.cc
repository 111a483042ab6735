#include "radishrudder/serving/call_session.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/exchange/scripted_peer.h"

namespace radishrudder::serving {
namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\n\r\n";
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct PlainCodec {
  static std::string_view AttemptId(const exchange::RequestHead&) { return {}; }
  static direct::CallerRequest DecodeRequest(const exchange::ReceivedRequest&) {
    return {};
  }
  static std::string EncodeAttempt(const direct::CallerRequest&,
                                   const direct::SendAttempt&) {
    return kRequest;
  }
  static direct::EndpointResponse DecodeResponse(const exchange::ResponseHead&,
                                                 std::string_view) {
    return {};
  }
  static exchange::AnswerHead EncodeGeneratedResponse(
      int status,
      std::string_view,
      std::optional<std::chrono::milliseconds>) {
    return {.status = status};
  }
};

// Stands for a process and its core: counts inputs, and carries out as output
// what the test says.
class RecordingProcess {
 public:
  RecordingProcess& Core() { return *this; }
  void TakeOutputs() {
    if (const auto output = std::exchange(next_output, nullptr)) {
      output();
    }
  }

  void OnSending(kernel::Time, direct::CallId) { ++sendings; }
  direct::ResponseVerdict OnResponseHead(kernel::Time,
                                         direct::CallId,
                                         const direct::EndpointResponse&) {
    return direct::ResponseVerdict::kAccept;
  }
  void OnResponseBody(kernel::Time, direct::CallId, const std::string&) {}
  void OnAnswerBuffered(direct::CallId) {}
  void OnResponseEnd(kernel::Time, direct::CallId) { ++ended; }
  void OnAttemptFailed(kernel::Time, direct::CallId, direct::AttemptFailure) {
    ++ended;
  }

  std::function<void()> next_output;
  int sendings = 0;
  int ended = 0;
};

// A caller that leaves when the test says.
class LeavingCaller : public exchange::CallerExchange {
 public:
  void Reply(const exchange::AnswerHead&, std::string_view) override {}
  void Begin(const exchange::AnswerHead&) override {}
  void Write(std::string_view) override {}
  void Finish() override {}
  void Abort() override {}
  void OnDisconnected(std::function<void()> handler) override {
    m_disconnected = std::move(handler);
  }
  bool EndIfCallerLeft() override {
    if (has_left && m_disconnected) {
      std::exchange(m_disconnected, nullptr)();
    }
    return has_left;
  }
  std::size_t BytesBehind() const override { return 0; }
  std::size_t BytesWaiting() const override { return 0; }
  void OnWritten(std::function<void()>) override {}
  bool HoldRequest(std::size_t) override { return true; }
  void SetBuffered(std::size_t) override {}
  bool MayHoldMore() override { return true; }
  bool IsStalled() const override { return false; }

  bool has_left = false;

 private:
  std::function<void()> m_disconnected;
};

class CallSessionTest : public testing::Test {
 protected:
  using Session = CallSession<PlainCodec, RecordingProcess>;

  Session& MakeSession() {
    m_sessions.push_back(std::make_unique<Session>(
        m_process, ++m_last_call,
        std::make_shared<const direct::CallerRequest>(), m_caller));
    return *m_sessions.back();
  }
  void Send(Session& session) {
    m_context.restart();
    session.Send(m_pool, {.call = m_last_call, .address = m_peer.Address()});
  }
  // Leaves an idle connection to the peer.
  void CompleteCall() {
    const int ended = m_process.ended;
    Send(MakeSession());
    while (m_process.ended == ended) {
      m_context.run_one();
    }
    m_context.poll();
  }

  asio::io_context m_context{1};
  exchange::ScriptedPeer m_peer{m_context, {{kOk}, {kOk}, {kOk}}};
  exchange::EndpointPool m_pool{m_context, {}};
  RecordingProcess m_process;
  std::shared_ptr<LeavingCaller> m_caller = std::make_shared<LeavingCaller>();
  direct::CallId m_last_call = 0;
  std::vector<std::unique_ptr<Session>> m_sessions;
};

// Guards against a request that is written to an idle connection although the
// call was withdrawn when it was about to be sent: a call that may not be
// repeated could run at two endpoints.
TEST_F(CallSessionTest, DoesNotWriteRequestThatIsCancelledAsItIsSent) {
  CompleteCall();
  Session& session = MakeSession();
  m_process.next_output = [&] { session.Cancel(m_pool); };
  Send(session);
  EXPECT_EQ(m_process.sendings, 2);
  CompleteCall();
  EXPECT_EQ(m_peer.Requests().size(), 2U);
}

// Guards against the same where the call is refused, which ends its session.
TEST_F(CallSessionTest, MayEndAsItsRequestIsSent) {
  CompleteCall();
  Session& session = MakeSession();
  m_process.next_output = [&] {
    session.Cancel(m_pool);
    m_sessions.pop_back();
  };
  Send(session);
  CompleteCall();
  EXPECT_EQ(m_peer.Requests().size(), 2U);
}

// Guards against a request that is sent on for a caller that left while the
// call waited for its turn, for a place or for a connection; a further attempt
// is one more request.
TEST_F(CallSessionTest, DoesNotWriteRequestOfCallerThatLeft) {
  CompleteCall();
  Session& session = MakeSession();
  m_caller->has_left = true;
  m_caller->OnDisconnected([&] {
    session.Cancel(m_pool);
    m_sessions.pop_back();
  });
  Send(session);
  EXPECT_EQ(m_process.sendings, 1);
  m_caller->has_left = false;
  CompleteCall();
  EXPECT_EQ(m_peer.Requests().size(), 2U);
}

// Guards against the same where no connection to the endpoint is open yet.
TEST_F(CallSessionTest, DoesNotWriteToNewConnectionForCallerThatLeft) {
  Session& session = MakeSession();
  bool ended = false;
  m_caller->has_left = true;
  m_caller->OnDisconnected([&] {
    ended = true;
    session.Cancel(m_pool);
    m_sessions.pop_back();
  });
  Send(session);
  while (!ended) {
    m_context.run_one();
  }
  m_caller->has_left = false;
  CompleteCall();
  EXPECT_EQ(m_process.sendings, 1);
  EXPECT_EQ(m_peer.Requests().size(), 1U);
}

// Guards against a second attempt that begins as the first one is withdrawn,
// and cannot be cancelled later because the session knows only the first.
TEST_F(CallSessionTest, CancelsAttemptThatBeganAsTheFirstWasSent) {
  CompleteCall();
  Session& session = MakeSession();
  m_process.next_output = [&] {
    session.Cancel(m_pool);
    Send(session);
  };
  Send(session);
  session.Cancel(m_pool);
  CompleteCall();
  EXPECT_EQ(m_peer.Requests().size(), 2U);
  EXPECT_EQ(m_process.ended, 2);
}

}  // namespace
}  // namespace radishrudder::serving
