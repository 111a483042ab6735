#ifndef RADISHRUDDER_LOGGING_EVENTS_H_
#define RADISHRUDDER_LOGGING_EVENTS_H_

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace radishrudder::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

// A kind of log event. Numbers never change their meaning; docs/events.md
// lists them and a test compares it with the code.
struct Event {
  int number;
  Level level;
  std::string_view name;
  std::string_view meaning;
};

// A field of one log record.
struct Field {
  std::string_view name;
  std::string value;
};

// Returns all events in order of number.
std::span<const Event> Catalogue();

// Sets up logging to standard error, one record a line:
// time level number name key=value...
void Initialize(std::string_view program, Level least);

// Writes one record.
void Log(const Event& event, std::initializer_list<Field> fields);

// Numbers: 1xx processes, 2xx documents, 3xx membership, 4xx weights,
// 5xx calls, 6xx rollout and orders, 7xx transport and HTTP.
extern const Event kProcessStarted;
extern const Event kProcessDraining;
extern const Event kProcessStopped;
extern const Event kCallsCut;
extern const Event kDocumentInForce;
extern const Event kDocumentRejected;
extern const Event kConfigurationUnavailable;
extern const Event kInstanceJoined;
extern const Event kInstanceLeaving;
extern const Event kInstanceLost;
extern const Event kTransferStarted;
extern const Event kChunkCorrupted;
extern const Event kTransferComplete;
extern const Event kCallFailed;
extern const Event kCallRefused;
extern const Event kOrderSent;
extern const Event kOrderRefused;
extern const Event kVersionRunning;
extern const Event kPeerConnected;
extern const Event kPeerLost;
extern const Event kMessageRejected;
extern const Event kHttpFailed;

}  // namespace radishrudder::logging

#endif  // RADISHRUDDER_LOGGING_EVENTS_H_
