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

// Bytes that a link may be ahead of its rate.
constexpr double kBurstBytes = 64.0 * 1024;
// Outside the origin's region, its return is learned from that region.
constexpr int kFarRestFactor = 4;
constexpr std::string_view kDefaultSelector = "rarest-first";

}  // namespace

TransferContext::TransferContext(TransferSettings given,
                                 kernel::Random random,
                                 kernel::Time now)
    : settings(std::move(given)),
      random(random),
      selector(FindSelector(settings.selector)),
      duties(settings.self.instance, settings.region, settings.store_region),
      budgets(settings.instance_link_bytes_per_second, kBurstBytes, now),
      sources(duties.InStoreRegion()
                  ? settings.longest_source_rest
                  : settings.longest_source_rest * kFarRestFactor,
              settings.has_store) {
  if (!selector) {
    selector = FindSelector(kDefaultSelector);
  }
}

void TransferContext::Send(std::string_view to, wire::Envelope message) {
  *message.mutable_from() = wire::ToMessage(settings.self);
  outputs.emplace_back(wire::Send{std::string(to), std::move(message)});
}

TransferTiming TransferTiming::For(const TransferSettings& settings,
                                   std::uint32_t chunk_bytes) {
  const double rate = settings.instance_link_bytes_per_second;
  const double chunk_seconds = rate > 0 ? chunk_bytes / rate : 0;
  const double haste = std::clamp(settings.speed, 0.0, 1.0);
  const double patience = settings.patience;
  TransferTiming timing{};
  timing.request_timeout = ToDuration(patience + kQueuedChunks * chunk_seconds);
  timing.silence = ToDuration(patience * (2.0 - haste));
  timing.stall = ToDuration(patience * (8.0 - 6.0 * haste));
  timing.fetch_timeout =
      ToDuration(patience * 10.0 + kQueuedChunks * chunk_seconds);
  return timing;
}

}  // namespace radishrudder::weights
