#include "radishrudder/logging/events.h"

#include <array>

namespace radishrudder::logging {

std::span<const Event> Catalogue() {
  static constexpr std::array kEvents{
      kProcessStarted,    kProcessDraining,   kProcessStopped,
      kCallsCut,          kLogRecordsDropped, kReadinessChanged,
      kDocumentInForce,   kDocumentRejected,  kConfigurationUnavailable,
      kOldVersionIgnored, kStoreLost,         kStoreRegained,
      kInstanceJoined,    kInstanceLeaving,   kInstanceLost,
      kInstanceSuspected, kTransferStarted,   kChunkCorrupted,
      kTransferComplete,  kChunkFetchStarted, kVersionDeclared,
      kPieceListKnown,    kVersionStaged,     kStagedChunkRepaired,
      kCallFailed,        kCallRefused,       kAttemptFailed,
      kAttemptRefused,    kCallAnswered,      kOrderSent,
      kOrderRefused,      kVersionRunning,    kEndpointRestarted,
      kPeerConnected,     kPeerLost,          kMessageRejected,
      kHttpFailed};
  return kEvents;
}

}  // namespace radishrudder::logging
