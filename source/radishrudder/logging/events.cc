#include "radishrudder/logging/events.h"

#include <array>

namespace radishrudder::logging {

std::span<const Event> Catalogue() {
  static constexpr std::array kEvents{kProcessStarted,
                                      kProcessDraining,
                                      kProcessStopped,
                                      kCallsCut,
                                      kDocumentInForce,
                                      kDocumentRejected,
                                      kConfigurationUnavailable,
                                      kInstanceJoined,
                                      kInstanceLeaving,
                                      kInstanceLost,
                                      kInstanceSuspected,
                                      kTransferStarted,
                                      kChunkCorrupted,
                                      kTransferComplete,
                                      kChunkFetchStarted,
                                      kCallFailed,
                                      kCallRefused,
                                      kOrderSent,
                                      kOrderRefused,
                                      kVersionRunning,
                                      kPeerConnected,
                                      kPeerLost,
                                      kMessageRejected,
                                      kHttpFailed};
  return kEvents;
}

}  // namespace radishrudder::logging
