#ifndef TESTS_PLATFORM_WEIGHTS_ENDPOINT_H_
#define TESTS_PLATFORM_WEIGHTS_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "radishrudder/exchange/caller_server.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::platform {

inline constexpr char kWeightsModel[] = "m";
inline constexpr std::uint32_t kWeightsPieces = 16;
inline constexpr std::uint32_t kWeightsPieceBytes = 2048;
// Longest time that an order takes from its acceptance to its effect.
inline constexpr std::chrono::milliseconds kMaximumLoadTime{500};

// Bytes of one piece of a version's weights.
std::string MakeWeightsPiece(std::uint64_t version, std::uint32_t index);

// Returns the number of a target's query field, or 0.
std::uint64_t QueryNumber(std::string_view target, std::string_view name);

// Runs `action` on the context's thread after `delay`.
void RunAfter(asio::io_context& context,
              std::chrono::milliseconds delay,
              std::function<void()> action);

// Shares of the accesses of an endpoint.
struct AccessFaults {
  double slow = 0;         // Taken in, or answered, after 50 to 900 ms.
  double slow_orders = 0;  // The same for orders, which are few.
  double lost = 0;         // Without effect or without an answer.
};

// Stand-in of an endpoint that loads staged weights when ordered to. A crash
// drops all accesses of its process that have had no effect yet.
class WeightsEndpoint {
 public:
  WeightsEndpoint(asio::io_context& context,
                  std::string_view address,
                  kernel::Random random);

  // Starts a process without loaded weights.
  std::error_code Start();
  void Crash(bool keeps_staged);
  // Takes in and answers nothing for this time.
  void Freeze(std::chrono::milliseconds time);
  // Corrupts a random staged piece.
  void CorruptPiece();
  void SetFaults(const AccessFaults& faults) { m_faults = faults; }

  bool IsUp() const { return m_server != nullptr; }
  std::uint64_t LoadedVersion() const { return m_loaded_version; }
  std::size_t Loads() const { return m_loads; }
  // Accepted orders that loaded something else than the ordered version: the
  // time, the pieces with what they held, and the latest events that concern
  // the first of them.
  std::span<const std::string> WrongLoads() const { return m_wrong_loads; }
  // Latest events that concern a piece, or all pieces, one a line.
  std::string History(std::uint32_t index) const;

 private:
  using Exchange = std::shared_ptr<exchange::CallerExchange>;

  struct Answer {
    int status = 0;
    std::string body{};
  };
  struct StagedPiece {
    std::string bytes{};  // As written.
    std::optional<kernel::Time> corrupted_at{};
  };
  struct Event {
    kernel::Time at{};
    std::optional<std::uint32_t> piece{};
    std::string text{};
  };

  std::chrono::milliseconds DrawDelay(double slow_share);
  // Runs `action` after `delay`, later while frozen, unless the process ends.
  void RunLater(std::chrono::milliseconds delay, std::function<void()> action);
  void Receive(exchange::ReceivedRequest request, const Exchange& caller);
  Answer TakeIn(const exchange::ReceivedRequest& request);
  Answer TakeInWrite(std::uint32_t index, const std::string& bytes);
  Answer TakeInRead(std::uint32_t index);
  Answer TakeInOrder(const std::string& body);
  std::string ReportText() const;
  // Compares what is staged with the ordered version.
  void CheckStaged(std::uint64_t version);
  // Returns what is wrong with a staged piece, or nothing.
  std::string FindProblem(std::uint64_t version, std::uint32_t index) const;
  void Note(std::optional<std::uint32_t> piece, std::string_view text);

  asio::io_context& m_context;
  std::string m_address;
  kernel::Random m_random;
  AccessFaults m_faults;
  std::unique_ptr<exchange::CallerServer> m_server;
  std::uint64_t m_process = 0;  // Number of starts and crashes.
  std::uint64_t m_started_at_ms = 0;
  kernel::Time m_frozen_until{};
  std::map<std::uint32_t, StagedPiece> m_staged;
  std::uint64_t m_loaded_version = 0;
  std::uint64_t m_loading_version = 0;
  std::uint64_t m_accepted_orders = 0;
  std::string m_noted_report;
  std::size_t m_loads = 0;
  std::vector<std::string> m_wrong_loads;
  std::deque<Event> m_events;
};

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_WEIGHTS_ENDPOINT_H_
