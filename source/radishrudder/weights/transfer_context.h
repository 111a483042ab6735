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

// What all versions on one instance share.
struct TransferContext {
  TransferContext(TransferSettings given,
                  kernel::Random random,
                  kernel::Time now);

  TransferSettings settings;
  kernel::Random random;
  ChunkSelector selector;
  DutyTable duties;
  LinkBudgets budgets;
  std::vector<std::string> neighbours;
  std::vector<std::string> all_peers;     // Live ones.
  std::vector<std::string> region_peers;  // Live ones of this region.
  std::vector<std::string> store_peers;   // Live ones of the store's region.
  TrustTable trust;
  SourceSchedule sources;
  ChunkStore store;
  UploadQueue uploads;
  std::vector<Digest> stored;  // Chunks that came in since the last round.
  std::vector<TransferOutput> outputs;

  // Queues a message for a peer.
  void Send(std::string_view to, wire::Envelope message);
};

// Times after which silence is taken for failure.
struct TransferTiming {
  kernel::Duration request_timeout;  // Of a chunk from a neighbour.
  kernel::Duration silence;          // Without an answer on a duty.
  kernel::Duration stall;            // Without any new chunk.
  kernel::Duration fetch_timeout;    // Of a chunk from outside.

  // `chunk_bytes` is the size of the version's first chunk.
  static TransferTiming For(const TransferSettings& settings,
                            std::uint32_t chunk_bytes);
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_TRANSFER_CONTEXT_H_
