#ifndef SOURCE_RADISHRUDDER_WEIGHTS_MANIFEST_SEARCH_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_MANIFEST_SEARCH_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "radishrudder/weights/manifest.h"
#include "transfer_context.h"

namespace radishrudder::weights {

// Obtains the manifest of one version. The instances of a region form a tree in
// duty order. Each requests the manifest from its parent, which responds once
// it has it; the root requests it from the store's region or, in that region,
// from the origin. If there is no response, other instances are tried.
class ManifestSearch {
 public:
  ManifestSearch(TransferContext& context, std::string digest);

  // Sends the next request if it is due.
  void Run(kernel::Time now);
  // Returns the manifest in `text` if the text matches the digest.
  std::optional<Manifest> Accept(std::string_view text);
  void OnFetchFailed(kernel::Time now, Source source);
  // Registers a peer that requested the manifest before it arrived.
  void AddWaitingPeer(std::string_view peer);
  // Removes and returns the registered peers.
  std::set<std::string> TakeWaitingPeers();
  kernel::Time NextRun() const { return m_next_request; }

 private:
  std::string ChooseTarget() const;
  void Fetch(kernel::Time now);

  TransferContext& m_context;
  std::string m_digest;
  std::uint32_t m_attempts = 0;
  kernel::Time m_next_request{};
  std::set<std::string> m_waiting_peers;
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_MANIFEST_SEARCH_H_
