#ifndef RADISHRUDDER_LOGGING_EVENTS_H_
#define RADISHRUDDER_LOGGING_EVENTS_H_

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace radishrudder::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

// Returns the level of that name; kInfo for any other text.
Level ParseLevel(std::string_view name);

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

enum class Destination {
  kStandardError,
  // Never waits: records that do not fit are dropped, and their number is
  // written as `log-records-dropped` once there is room.
  kStandardOutput
};

// Sets up logging, one record a line: time level number name key=value...
void Initialize(std::string_view program,
                Level least,
                Destination destination = Destination::kStandardError);

// Writes one record.
void Log(const Event& event, std::initializer_list<Field> fields);

// Numbers: 1xx processes, 2xx documents, 3xx membership, 4xx weights,
// 5xx calls, 6xx rollout and orders, 7xx transport and HTTP.
inline constexpr Event kProcessStarted{101, Level::kInfo, "process-started",
                                       "The process is ready and listens."};
inline constexpr Event kProcessDraining{
    102, Level::kInfo, "process-draining",
    "A planned stop began: no new work is accepted, work in progress is "
    "finished."};
inline constexpr Event kProcessStopped{103, Level::kInfo, "process-stopped",
                                       "The process ends."};
inline constexpr Event kCallsCut{
    104, Level::kWarning, "calls-cut",
    "The drain limit or a second signal ended calls in progress."};
inline constexpr Event kLogRecordsDropped{
    105, Level::kWarning, "log-records-dropped",
    "The reader of the log was too slow; records were dropped."};
inline constexpr Event kReadinessChanged{
    106, Level::kInfo, "readiness-changed",
    "The process began or ceased to take new callers."};
inline constexpr Event kDocumentInForce{
    201, Level::kInfo, "document-in-force",
    "A revision of a document took effect."};
inline constexpr Event kDocumentRejected{
    202, Level::kError, "document-rejected",
    "A revision has errors; the revision before it stays in force."};
inline constexpr Event kConfigurationUnavailable{
    203, Level::kWarning, "configuration-unavailable",
    "The configuration service did not answer; documents in force stay."};
inline constexpr Event kOldVersionIgnored{
    204, Level::kInfo, "old-version-ignored",
    "A document was read that is not newer than the one in force."};
inline constexpr Event kStoreLost{
    205, Level::kWarning, "store-lost",
    "The platform's store does not answer; what was read stays in force."};
inline constexpr Event kStoreRegained{206, Level::kInfo, "store-regained",
                                      "The platform's store answers again."};
inline constexpr Event kInstanceJoined{
    301, Level::kInfo, "instance-joined",
    "An instance was seen for the first time."};
inline constexpr Event kInstanceLeaving{
    302, Level::kInfo, "instance-leaving",
    "An instance is leaving and receives no new work."};
inline constexpr Event kInstanceLost{303, Level::kWarning, "instance-lost",
                                     "An instance no longer answers."};
inline constexpr Event kInstanceSuspected{
    304, Level::kInfo, "instance-suspected",
    "An instance has been silent for long and gets no new work for now."};
inline constexpr Event kTransferStarted{401, Level::kInfo, "transfer-started",
                                        "The transfer of a version began."};
inline constexpr Event kChunkCorrupted{
    402, Level::kWarning, "chunk-corrupted",
    "A chunk did not match its digest and was discarded."};
inline constexpr Event kTransferComplete{
    403, Level::kInfo, "transfer-complete",
    "All chunks of a version are present and the whole was verified."};
inline constexpr Event kChunkFetchStarted{
    404, Level::kDebug, "chunk-fetch-started",
    "A chunk is read from the origin or the store."};
inline constexpr Event kVersionDeclared{
    405, Level::kInfo, "version-declared",
    "The operator declared a version of a model."};
inline constexpr Event kPieceListKnown{
    406, Level::kInfo, "piece-list-known",
    "The list of a version's chunks is known."};
inline constexpr Event kVersionStaged{
    407, Level::kInfo, "version-staged",
    "All chunks of a version lie in the endpoint's staging area."};
inline constexpr Event kStagedChunkRepaired{
    408, Level::kWarning, "staged-chunk-repaired",
    "A staged chunk was wrong when read back and is written again."};
inline constexpr Event kCallFailed{501, Level::kWarning, "call-failed",
                                   "A call ended without a whole answer."};
inline constexpr Event kCallRefused{502, Level::kInfo, "call-refused",
                                    "A call was refused and was not run."};
inline constexpr Event kAttemptFailed{
    503, Level::kInfo, "attempt-failed",
    "An attempt ended without a whole answer of its endpoint."};
inline constexpr Event kAttemptRefused{
    504, Level::kInfo, "attempt-refused",
    "An endpoint confirmed that it did not run an attempt."};
inline constexpr Event kCallAnswered{
    505, Level::kInfo, "call-answered",
    "A call got its endpoint's answer; successes are sampled."};
inline constexpr Event kOrderSent{601, Level::kInfo, "order-sent",
                                  "The agent sent its endpoint an order."};
inline constexpr Event kOrderRefused{602, Level::kWarning, "order-refused",
                                     "The endpoint refused an order."};
inline constexpr Event kVersionRunning{
    603, Level::kInfo, "version-running",
    "The endpoint runs a version, by its own report."};
inline constexpr Event kEndpointRestarted{
    604, Level::kInfo, "endpoint-restarted",
    "The endpoint started again and holds nothing."};
inline constexpr Event kPeerConnected{701, Level::kInfo, "peer-connected",
                                      "A connection to a peer is open."};
inline constexpr Event kPeerLost{
    702, Level::kWarning, "peer-lost",
    "A connection to a peer was closed or failed."};
inline constexpr Event kMessageRejected{
    703, Level::kWarning, "message-rejected",
    "A message from a peer broke the protocol and was discarded."};
inline constexpr Event kHttpFailed{704, Level::kWarning, "http-failed",
                                   "An HTTP request ended without an answer."};

}  // namespace radishrudder::logging

#endif  // RADISHRUDDER_LOGGING_EVENTS_H_
