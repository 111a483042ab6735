#ifndef TESTS_PLATFORM_ENDLESS_ENDPOINT_H_
#define TESTS_PLATFORM_ENDLESS_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace radishrudder::platform {

// Spreads the bytes of several senders over time.
class ByteRate {
 public:
  explicit ByteRate(double bytes_per_second) : m_rate(bytes_per_second) {}
  // Waits until `bytes` more may be sent.
  void Wait(std::size_t bytes);

 private:
  using Clock = std::chrono::steady_clock;

  std::mutex m_mutex;
  double m_rate;
  Clock::time_point m_next{};
};

// A server that answers every request with `start` and then with `repeated`
// again and again, until the connection ends. "@id" in `start` stands for the
// attempt id of the request. One thread for each connection.
class EndlessEndpoint {
 public:
  // Listens on any free port of loopback.
  EndlessEndpoint(std::string start, std::string repeated, ByteRate& rate);
  ~EndlessEndpoint();
  EndlessEndpoint(const EndlessEndpoint&) = delete;
  EndlessEndpoint& operator=(const EndlessEndpoint&) = delete;

  std::string Address() const;
  std::size_t Answers() const { return m_answers; }
  std::size_t SentBytes() const { return m_sent; }

 private:
  void Accept();
  void Serve(int connection);

  std::string m_start;
  std::string m_repeated;
  ByteRate& m_rate;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_ended = false;
  std::atomic<std::size_t> m_answers = 0;
  std::atomic<std::size_t> m_sent = 0;
  std::mutex m_mutex;  // Guards the two members below.
  std::vector<int> m_connections;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

// Repeats a unit until it has at least 64 KiB.
std::string Repeated(std::string_view unit);

// Sends a request on a connection of its own and reads `bytes_per_second` of
// the answer, until it ends or the time is over; 0: reads nothing.
void ReadSlowly(std::string_view address,
                std::string_view request,
                std::size_t bytes_per_second,
                std::chrono::milliseconds time);

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_ENDLESS_ENDPOINT_H_
