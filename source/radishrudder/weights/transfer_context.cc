#include "transfer_context.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

using Seconds = std::chrono::duration<double>;

// Chunks that may wait before ours in a sender's queue.
constexpr double kQueuedChunks = 32;

kernel::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(Seconds(seconds));
}

}  // namespace

void TransferContext::Send(std::string_view to, wire::Envelope message) {
  *message.mutable_from() = wire::ToMessage(settings.self);
  outputs.emplace_back(wire::Send{std::string(to), std::move(message)});
}

TransferTiming TransferTiming::For(const TransferSettings& settings,
                                   std::uint32_t chunk_bytes) {
  const double rate = settings.instance_link_bytes_per_second;
  const double chunk_seconds = rate > 0 ? chunk_bytes / rate : 0;
  const double haste = std::clamp(settings.speed, 0.0, 1.0);
  TransferTiming timing{};
  timing.request_timeout = ToDuration(1.0 + kQueuedChunks * chunk_seconds);
  timing.silence = ToDuration(2.0 - haste);
  timing.stall = ToDuration(8.0 - 6.0 * haste);
  timing.fetch_timeout = ToDuration(10.0 + kQueuedChunks * chunk_seconds);
  return timing;
}

}  // namespace radishrudder::weights
