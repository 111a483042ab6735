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

// A kind of log event. A number is never reused with another meaning.
// docs/events.md lists the events; a test compares that page with the code.
struct Event {
  int number;
  Level level;
  std::string_view name;
  std::string_view meaning;
};

// A key=value field of a log record.
struct Field {
  std::string_view name;
  std::string value;
};

// Returns all events in ascending order of number.
std::span<const Event> Catalogue();

enum class Destination {
  kStandardError,
  // Never blocks: records that do not fit into the output buffer are dropped,
  // and `log-records-dropped` reports their count once the buffer is empty.
  kStandardOutput
};

// Initializes logging of the records at or above `minimum_level`, one record
// per line: time level number name key=value...
void Initialize(std::string_view program,
                Level minimum_level,
                Destination destination = Destination::kStandardError);

// Writes one record; does nothing before `Initialize`.
void Log(const Event& event, std::initializer_list<Field> fields);

// Numbers: 1xx processes, 2xx documents, 3xx membership, 4xx weights,
// 5xx calls, 6xx rollout and orders to endpoints, 7xx transport and HTTP.
inline constexpr Event kProcessStarted{101, Level::kInfo, "process-started",
                                       "The process is ready and listening."};
inline constexpr Event kProcessDraining{
    102, Level::kInfo, "process-draining",
    "A planned shutdown started: new work is refused and work in progress is "
    "completed."};
inline constexpr Event kProcessStopped{103, Level::kInfo, "process-stopped",
                                       "The process is exiting."};
inline constexpr Event kCallsCut{
    104, Level::kWarning, "calls-cut",
    "The drain limit or a second signal aborted calls in progress."};
inline constexpr Event kLogRecordsDropped{
    105, Level::kWarning, "log-records-dropped",
    "Records were dropped because the reader of the log was too slow."};
inline constexpr Event kReadinessChanged{
    106, Level::kInfo, "readiness-changed",
    "The process started or stopped accepting new callers."};
inline constexpr Event kSettingsReloaded{
    107, Level::kInfo, "settings-reloaded",
    "The settings were read again; lists the changed ones that are in effect "
    "and those that take effect at the next start."};
inline constexpr Event kSettingsRejected{
    108, Level::kError, "settings-rejected",
    "The settings file cannot be read or has errors; the previous settings "
    "stay in effect."};
inline constexpr Event kStopEnded{
    109, Level::kInfo, "stop-ended",
    "A planned stop ended: how long it took and what happened to the requests "
    "that arrived meanwhile."};
inline constexpr Event kPeersEnded{
    110, Level::kWarning, "peers-ended",
    "Callers or other peers held as much memory or as many connections as they "
    "may: some were refused or closed."};
inline constexpr Event kProcessDelayed{
    111, Level::kWarning, "process-delayed",
    "The process did not get to its work for a while: it was busy, or the "
    "machine stood still."};
inline constexpr Event kDocumentInForce{
    201, Level::kInfo, "document-in-force",
    "A revision of a document took effect."};
inline constexpr Event kDocumentRejected{
    202, Level::kError, "document-rejected",
    "A revision has errors; the previous revision stays in force."};
inline constexpr Event kConfigurationUnavailable{
    203, Level::kWarning, "configuration-unavailable",
    "The configuration service did not respond; documents in force stay in "
    "force."};
inline constexpr Event kOldVersionIgnored{
    204, Level::kInfo, "old-version-ignored",
    "A document that is not newer than the one in force was read and ignored."};
inline constexpr Event kStoreLost{
    205, Level::kWarning, "store-lost",
    "The platform's store does not respond; data already read stays in force."};
inline constexpr Event kStoreRegained{206, Level::kInfo, "store-regained",
                                      "The platform's store responds again."};
inline constexpr Event kStoreEraChanged{
    207, Level::kWarning, "store-era-changed",
    "The platform's store came back from an older copy and is read again."};
inline constexpr Event kInstanceJoined{
    301, Level::kInfo, "instance-joined",
    "An instance was seen for the first time."};
inline constexpr Event kInstanceLeaving{
    302, Level::kInfo, "instance-leaving",
    "An instance is leaving and receives no new work."};
inline constexpr Event kInstanceLost{303, Level::kWarning, "instance-lost",
                                     "An instance no longer responds."};
inline constexpr Event kInstanceSuspected{
    304, Level::kInfo, "instance-suspected",
    "An instance has been unresponsive for some time and temporarily receives "
    "no new work."};
inline constexpr Event kTransferStarted{401, Level::kInfo, "transfer-started",
                                        "The transfer of a version started."};
inline constexpr Event kChunkCorrupted{
    402, Level::kWarning, "chunk-corrupted",
    "A chunk did not match its digest and was discarded."};
inline constexpr Event kTransferComplete{
    403, Level::kInfo, "transfer-complete",
    "All chunks of a version are present and the complete version was "
    "verified."};
inline constexpr Event kChunkFetchStarted{
    404, Level::kDebug, "chunk-fetch-started",
    "The read of a chunk from the origin or the store started."};
inline constexpr Event kVersionDeclared{
    405, Level::kInfo, "version-declared",
    "The operator declared a version of a model."};
inline constexpr Event kPieceListKnown{
    406, Level::kInfo, "piece-list-known",
    "The list of a version's chunks is available."};
inline constexpr Event kVersionStaged{
    407, Level::kInfo, "version-staged",
    "All chunks of a version are in the endpoint's staging area."};
inline constexpr Event kStagedChunkRepaired{
    408, Level::kWarning, "staged-chunk-repaired",
    "A staged chunk was corrupt when read back and is rewritten."};
inline constexpr Event kVersionDated{
    409, Level::kInfo, "version-dated",
    "Reports of peers show that a version was declared later than assumed."};
inline constexpr Event kNewerVersionSeen{
    410, Level::kInfo, "newer-version-seen",
    "Another instance has a version whose declaration this one has not read."};
inline constexpr Event kCallFailed{501, Level::kWarning, "call-failed",
                                   "A call ended without a complete response."};
inline constexpr Event kCallRefused{502, Level::kInfo, "call-refused",
                                    "A call was refused and not executed."};
inline constexpr Event kAttemptFailed{
    503, Level::kInfo, "attempt-failed",
    "An attempt ended without a complete response from its endpoint."};
inline constexpr Event kAttemptRefused{
    504, Level::kInfo, "attempt-refused",
    "An endpoint confirmed that it did not execute an attempt."};
inline constexpr Event kCallAnswered{
    505, Level::kInfo, "call-answered",
    "A call received its endpoint's response; successes are sampled."};
inline constexpr Event kPromptPartBlocked{
    506, Level::kWarning, "prompt-part-blocked",
    "A part of prompts crashes endpoints; calls with it are refused."};
inline constexpr Event kRequestBlocked{
    507, Level::kWarning, "request-blocked",
    "A request crashes endpoints; repetitions of it are refused."};
inline constexpr Event kEndpointPaused{
    508, Level::kInfo, "endpoint-paused",
    "An endpoint wants no requests for a time and gets none."};
inline constexpr Event kEndpointLimited{
    509, Level::kInfo, "endpoint-limited",
    "An endpoint named the rate of requests that it takes, or no longer does."};
inline constexpr Event kEndpointLeaves{
    510, Level::kInfo, "endpoint-leaves",
    "An endpoint said in an answer that it leaves and gets no new calls."};
inline constexpr Event kNoAllowedRegion{
    511, Level::kWarning, "no-allowed-region",
    "A route and a workspace allow no common region; their calls are refused."};
inline constexpr Event kEvacuated{
    512, Level::kInfo, "data-centre-evacuated",
    "A data centre is evacuated; its endpoints get nothing new."};
inline constexpr Event kEvacuationEnded{
    513, Level::kInfo, "evacuation-ended",
    "The evacuation of a data centre was taken back."};
inline constexpr Event kEndpointCold{
    514, Level::kInfo, "endpoint-cold",
    "An endpoint takes only a limited rate of calls after its start, or no "
    "longer."};
inline constexpr Event kCallCut{
    515, Level::kWarning, "call-cut",
    "A call was in progress when a planned stop ended and was cut."};
inline constexpr Event kCallerLeft{
    516, Level::kInfo, "caller-left",
    "The connection of a caller ended before its call did."};
inline constexpr Event kOrderSent{601, Level::kInfo, "order-sent",
                                  "The agent sent its endpoint an order."};
inline constexpr Event kOrderRefused{602, Level::kWarning, "order-refused",
                                     "The endpoint refused an order."};
inline constexpr Event kVersionRunning{
    603, Level::kInfo, "version-running",
    "The endpoint reports that it runs a version."};
inline constexpr Event kEndpointRestarted{
    604, Level::kInfo, "endpoint-restarted",
    "The endpoint restarted and holds nothing."};
inline constexpr Event kOrderAnswered{
    605, Level::kInfo, "order-answered",
    "The endpoint accepted an order, or its response did not arrive."};
inline constexpr Event kStagingTargetChanged{
    606, Level::kInfo, "staging-target-changed",
    "Another version is written to the endpoint's staging area."};
inline constexpr Event kPeerConnected{
    701, Level::kInfo, "peer-connected",
    "A connection to a peer was established."};
inline constexpr Event kPeerLost{
    702, Level::kWarning, "peer-lost",
    "A connection to a peer was closed or failed."};
inline constexpr Event kMessageRejected{
    703, Level::kWarning, "message-rejected",
    "A message from a peer violated the protocol and was discarded."};
inline constexpr Event kHttpFailed{704, Level::kWarning, "http-failed",
                                   "An HTTP request ended without a response."};
inline constexpr Event kLoadReportsArrive{
    705, Level::kInfo, "load-reports-arrive",
    "Agents of a service report the load of their endpoints."};
inline constexpr Event kLoadReportsStopped{
    706, Level::kWarning, "load-reports-stopped",
    "No agent of a service reports the load of its endpoint any more."};
inline constexpr Event kDatagramFailed{
    707, Level::kWarning, "datagram-failed",
    "A datagram was not sent or received; written once for each cause."};

}  // namespace radishrudder::logging

#endif  // RADISHRUDDER_LOGGING_EVENTS_H_
