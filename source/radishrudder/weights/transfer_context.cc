#include "transfer_context.h"

#include <algorithm>
#include <utility>

namespace radishrudder::weights {
namespace {

using Seconds = std::chrono::duration<double>;

// Chunks that may be queued at the sender before the requested one.
constexpr double kMaximumQueuedChunks = 32;

kernel::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<kernel::Duration>(Seconds(seconds));
}

// Bytes that may be sent on a link ahead of its rate.
constexpr double kBurstBytes = 64.0 * 1024;
// Instances outside the origin's region use a longer backoff, because they
// learn of the origin's recovery from the chunks of that region.
constexpr int kRemoteBackoffFactor = 4;
constexpr std::string_view kDefaultSelector = "rarest-first";

}  // namespace

TransferContext::TransferContext(TransferSettings initial_settings,
                                 kernel::Random random,
                                 kernel::Time now)
    : settings(std::move(initial_settings)),
      random(random),
      selector(FindSelector(settings.selector)),
      duties(settings.self.instance, settings.region, settings.store_region),
      budgets(settings.instance_link_bytes_per_second, kBurstBytes, now),
      sources(duties.IsInStoreRegion()
                  ? settings.maximum_source_backoff
                  : settings.maximum_source_backoff * kRemoteBackoffFactor,
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
  const double speed = std::clamp(settings.speed, 0.0, 1.0);
  const double timeout_factor = settings.timeout_factor;
  TransferTiming timing{};
  timing.request_timeout =
      ToDuration(timeout_factor + kMaximumQueuedChunks * chunk_seconds);
  timing.response_timeout = ToDuration(timeout_factor * (2.0 - speed));
  timing.stall_timeout = ToDuration(timeout_factor * (8.0 - 6.0 * speed));
  timing.fetch_timeout =
      ToDuration(timeout_factor * 10.0 + kMaximumQueuedChunks * chunk_seconds);
  return timing;
}

}  // namespace radishrudder::weights
