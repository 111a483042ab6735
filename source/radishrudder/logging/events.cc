#include "radishrudder/logging/events.h"

#include <array>

namespace radishrudder::logging {

Level ParseLevel(std::string_view name) {
  if (name == "debug") {
    return Level::kDebug;
  }
  if (name == "warning") {
    return Level::kWarning;
  }
  if (name == "error") {
    return Level::kError;
  }
  return Level::kInfo;
}

std::span<const Event> Catalogue() {
  static constexpr std::array kEvents{
      kProcessStarted,    kProcessDraining,
      kProcessStopped,    kCallsCut,
      kLogRecordsDropped, kReadinessChanged,
      kSettingsReloaded,  kSettingsRejected,
      kStopEnded,         kPeersEnded,
      kProcessDelayed,    kDocumentInForce,
      kDocumentRejected,  kConfigurationUnavailable,
      kOldVersionIgnored, kStoreLost,
      kStoreRegained,     kStoreEraChanged,
      kInstanceJoined,    kInstanceLeaving,
      kInstanceLost,      kInstanceSuspected,
      kTransferStarted,   kChunkCorrupted,
      kTransferComplete,  kChunkFetchStarted,
      kVersionDeclared,   kPieceListKnown,
      kVersionStaged,     kStagedChunkRepaired,
      kVersionDated,      kNewerVersionSeen,
      kCallFailed,        kCallRefused,
      kAttemptFailed,     kAttemptRefused,
      kCallAnswered,      kPromptPartBlocked,
      kRequestBlocked,    kEndpointPaused,
      kEndpointLimited,   kEndpointLeaves,
      kNoAllowedRegion,   kEvacuated,
      kEvacuationEnded,   kEndpointCold,
      kCallCut,           kCallerLeft,
      kOrderSent,         kOrderRefused,
      kVersionRunning,    kEndpointRestarted,
      kOrderAnswered,     kStagingTargetChanged,
      kPeerConnected,     kPeerLost,
      kMessageRejected,   kHttpFailed,
      kLoadReportsArrive, kLoadReportsStopped,
      kDatagramFailed};
  return kEvents;
}

}  // namespace radishrudder::logging
