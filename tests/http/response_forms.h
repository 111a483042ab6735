#ifndef TESTS_HTTP_RESPONSE_FORMS_H_
#define TESTS_HTTP_RESPONSE_FORMS_H_

#include <atomic>
#include <cstddef>
#include <iosfwd>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace radishrudder::http {

// What a server does with the connection after the bytes of its response.
enum class Ending {
  kKeep,      // Nothing.
  kShutdown,  // Ends its side in order.
  kClose,     // Closes: with unread bytes, the system resets the connection.
  kReset      // Resets the connection.
};

// How much of a long request the server reads before it responds.
enum class Reading { kAll, kHead };

// One way to respond to a request, and what a reader has to take it for.
struct ResponseForm {
  std::string name{};
  // "@id" stands for the attempt id of the request; "@own" for header lines
  // that the server adds. A reader can decide by them, whether the connection
  // ends or not, unless `ending` says how.
  std::string bytes{};
  Ending ending = Ending::kKeep;
  Reading reading = Reading::kAll;
  // The body of a sound response; nothing: it is not a response.
  std::optional<std::string> body{};
};

void PrintTo(const ResponseForm& form, std::ostream* stream);

// The forms of the head and of the body's framing, of which each is read whole.
std::vector<ResponseForm> HeadForms();
// The forms of responses that come before a long request is written whole, and
// of their ends.
std::vector<ResponseForm> EarlyForms();
// Both.
std::vector<ResponseForm> AllResponseForms();

// Returns the bytes with "@id" and "@own" replaced.
std::string Fill(std::string bytes,
                 const std::string& id,
                 const std::string& own);

// Responds to each request in one form. One thread for each connection; its
// receive buffer is small, so that a long request waits at its sender.
class FormServer {
 public:
  // Listens on any free port of loopback. `own_lines`: of all responses.
  explicit FormServer(ResponseForm form, std::string own_lines = "");
  ~FormServer();
  FormServer(const FormServer&) = delete;
  FormServer& operator=(const FormServer&) = delete;

  std::string Address() const;
  std::size_t Requests() const { return m_requests; }

 private:
  void Accept();
  void Serve(int connection);

  ResponseForm m_form;
  std::string m_own_lines;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_ended = false;
  std::atomic<std::size_t> m_requests = 0;
  std::mutex m_mutex;  // Guards the two members below.
  std::vector<int> m_connections;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

}  // namespace radishrudder::http

#endif  // TESTS_HTTP_RESPONSE_FORMS_H_
