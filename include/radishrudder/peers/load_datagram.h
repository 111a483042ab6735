#ifndef RADISHRUDDER_PEERS_LOAD_DATAGRAM_H_
#define RADISHRUDDER_PEERS_LOAD_DATAGRAM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace radishrudder::peers {

// Asks an agent for load reports to the address that the datagram came from.
struct LoadSubscription {};

// Load of an endpoint as its agent read it.
struct EndpointLoad {
  std::uint64_t started_at_ms = 0;  // Of the endpoint's run, Unix milliseconds.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double pace = 1;  // Time that work takes, relative to the usual time.
  // The endpoint is loading a version or is about to.
  bool takes_no_new_calls = false;
  std::string model{};
  std::uint64_t version = 0;  // 0: no model is completely loaded.
  std::uint64_t cache_used = 0;
  std::uint64_t cache_total = 0;

  bool operator==(const EndpointLoad&) const = default;
};

// What an agent sends to its subscribers.
struct LoadReportDatagram {
  EndpointLoad load{};
  // Increases with each report of an agent, also across its restarts.
  std::uint64_t sequence = 0;
  std::chrono::milliseconds age{0};  // Of the reading, when sent.
};

using LoadDatagram = std::variant<LoadSubscription, LoadReportDatagram>;

// A datagram is shorter than this, and one that is not is malformed.
inline constexpr std::size_t kLoadDatagramLimit = 200;

// Encodes a datagram as CBOR. A model name of more than 64 bytes is left out,
// and a pace outside of 0.01 to 100 is sent as the usual pace.
std::string Encode(const LoadDatagram& datagram);
// Returns nothing if the bytes are no datagram. Unknown members are ignored.
std::optional<LoadDatagram> DecodeLoadDatagram(std::string_view bytes);

}  // namespace radishrudder::peers

#endif  // RADISHRUDDER_PEERS_LOAD_DATAGRAM_H_
