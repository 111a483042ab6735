#ifndef RADISHRUDDER_PEERS_PEER_REPORT_H_
#define RADISHRUDDER_PEERS_PEER_REPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::peers {

// When the sender read the declaration of a model version. Ages are relative to
// the sending of the report.
struct DeclarationReport {
  std::string model{};
  std::uint64_t version = 0;
  std::chrono::milliseconds read_age{0};
  // Age of the sender's latest complete read without the declaration. Nothing:
  // it had read nothing before.
  std::optional<std::chrono::milliseconds> absent_age{};
  // Its requests to the store failed for a time before it read the declaration.
  bool store_lost = false;
};

// The end of an endpoint run while it worked on a request with a certain
// signature.
struct CrashReport {
  std::string run{};
  std::chrono::milliseconds age{0};
  // Age of the beginning of the attempt; at least `age`.
  std::chrono::milliseconds began_age{0};
};

// What the sender knows of a signature that may crash endpoints: the id of a
// prompt part, or the digest of a request.
struct SuspectReport {
  std::string signature{};
  std::vector<CrashReport> crashes{};
  // Age of the latest answer to a request with it.
  std::optional<std::chrono::milliseconds> cleared_age{};
};

// What callers bring to one entry for one service.
struct DemandReport {
  std::string entry{};
  std::string service{};
  double calls_per_second = 0;
  std::chrono::milliseconds age{0};
};

// The rate of requests that an endpoint run takes from all entries together, as
// of one of its answers.
struct LimitReport {
  std::string endpoint{};
  std::uint64_t incarnation = 0;
  std::optional<double> requests_per_second{};  // Nothing: it named none.
  std::chrono::milliseconds age{0};             // Of the answer.
};

// The configuration in force at the sender.
struct ConfigurationReport {
  std::uint64_t version = 0;
  std::chrono::milliseconds age{0};  // Since the sender read it.
};

// What one entry tells another. Both the request and the response of an
// exchange are a report.
struct PeerReport {
  std::string address{};  // "IP:PORT" at which the sender takes reports.
  std::vector<std::string> peers{};  // Addresses of others that it knows.
  // Age of the sender's latest complete read of the operator's documents.
  // Nothing: it has read none.
  std::optional<std::chrono::milliseconds> store_age{};
  bool store_lost = false;  // Its requests have been failing for a time.
  std::optional<ConfigurationReport> configuration{};
  std::vector<DeclarationReport> declarations{};
  std::vector<SuspectReport> suspects{};
  std::vector<DemandReport> demands{};  // Of the sender and of others.
  std::vector<LimitReport> limits{};    // Named to the sender or to others.
};

// Encodes a report as JSON.
std::string ToText(const PeerReport& report);
// Returns nothing if the text is no report. Unknown members are ignored.
std::optional<PeerReport> ParsePeerReport(std::string_view text);

}  // namespace radishrudder::peers

#endif  // RADISHRUDDER_PEERS_PEER_REPORT_H_
