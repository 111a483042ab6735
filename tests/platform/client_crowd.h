#ifndef TESTS_PLATFORM_CLIENT_CROWD_H_
#define TESTS_PLATFORM_CLIENT_CROWD_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::platform {

// What each client of a crowd sends on its connection before it stays silent.
struct ClientForm {
  std::string start{};
  std::string repeated{};          // Sent again and again after `start`.
  std::size_t repeated_bytes = 0;  // That many bytes of it.
  // Bytes that are sent at a time after `start`, and the pause before the next
  // ones; 0: as many as the connection takes.
  std::size_t piece_bytes = 0;
  std::chrono::milliseconds pause{0};
  bool reads = true;  // What comes back.
  // If set, a client sends one request after the other instead, each of them
  // made by this for its number in the crowd.
  std::function<std::string(std::size_t number)> make_request{};
};

// Clients that connect to a server at the same time and keep their connections
// open. A client whose connection ends connects again soon after.
class ClientCrowd {
 public:
  ClientCrowd(std::string_view address, ClientForm form, std::size_t clients);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Calls `observe` again and again.
  void Run(std::chrono::milliseconds time,
           const std::function<void()>& observe);
  // Ends all connections; the next `Run` begins anew.
  void Disconnect();
  // Connections that the server ended, and those of them on which the client
  // had read an answer that says that its request was not executed.
  std::size_t Ended() const { return m_ended; }
  std::size_t Refused() const { return m_refused; }
  // Attempt ids of the requests that were answered so.
  const std::vector<std::string>& RefusedIds() const { return m_refused_ids; }

 private:
  using Clock = std::chrono::steady_clock;

  struct Client {
    int socket = -1;
    std::size_t sent = 0;
    std::string request{};     // The one that is sent, if they are made.
    std::string answers{};     // What was read and is not a whole line yet.
    bool in_refusal = false;   // The lines belong to such an answer.
    bool refused = false;      // One was read.
    Clock::time_point next{};  // When it connects or sends again.
    bool send_failed = false;  // The server has closed; an answer may be there.
  };

  void Connect(Client& client) const;
  void Send(Client& client);
  void SendRequests(Client& client);
  bool HasMore(const Client& client) const {
    return m_form.make_request || client.sent < TotalBytes();
  }
  void Read(Client& client);
  void ReadLines(Client& client);
  void End(Client& client);
  // Returns the bytes that follow the first `position` ones.
  std::string_view BytesAt(std::size_t position) const;
  std::size_t TotalBytes() const {
    return m_form.start.size() + m_form.repeated_bytes;
  }

  std::string m_address;
  ClientForm m_form;
  std::vector<Client> m_clients;
  std::size_t m_made = 0;  // Requests.
  std::size_t m_ended = 0;
  std::size_t m_refused = 0;
  std::vector<std::string> m_refused_ids;
};

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_CLIENT_CROWD_H_
