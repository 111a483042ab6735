#ifndef SOURCE_RADISHRUDDER_WEIGHTS_TRANSFER_CONTEXT_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_TRANSFER_CONTEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/weights/chunk_store.h"
#include "radishrudder/weights/duty_table.h"
#include "radishrudder/weights/link_budgets.h"
#include "radishrudder/weights/selector.h"
#include "radishrudder/weights/source_schedule.h"
#include "radishrudder/weights/transfer.h"
#include "radishrudder/weights/trust_table.h"
#include "radishrudder/weights/upload_queue.h"

namespace radishrudder::weights {

// State shared by the transfers of all versions on one instance.
struct TransferContext {
  TransferContext(TransferSettings initial_settings,
                  kernel::Random random,
                  kernel::Time now);

  TransferSettings settings;
  kernel::Random random;
  ChunkSelector selector;
  DutyTable duties;
  LinkBudgets budgets;
  std::vector<std::string> neighbours;
  std::vector<std::string> all_peers;     // Live.
  std::vector<std::string> region_peers;  // Live, in this region.
  std::vector<std::string> store_peers;   // Live, in the store's region.
  TrustTable trust;
  SourceSchedule sources;
  ChunkStore store;
  UploadQueue uploads;
  std::vector<Digest> stored_digests;  // Chunks stored since the last run.
  std::vector<TransferOutput> outputs;

  // Queues a message for a peer.
  void Send(std::string_view to, wire::Envelope message);
};

// Timeouts of one version's transfer.
struct TransferTiming {
  kernel::Duration request_timeout;   // For a chunk from a neighbour.
  kernel::Duration response_timeout;  // For an upstream's response.
  kernel::Duration stall_timeout;     // Without a new chunk.
  kernel::Duration fetch_timeout;     // For a chunk from a source.

  // `chunk_bytes` is the size of the version's first chunk in bytes.
  static TransferTiming For(const TransferSettings& settings,
                            std::uint32_t chunk_bytes);
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_TRANSFER_CONTEXT_H_
