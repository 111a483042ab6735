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

// Finds the manifest of one version. The region's instances form a tree by the
// duty order: each asks its parent, which answers as soon as it can; the root
// asks the store's region or, there, the origin. After silence others are
// asked.
class ManifestSearch {
 public:
  ManifestSearch(TransferContext& context, std::string digest);

  // Asks again if it is time to.
  void Run(kernel::Time now);
  // Takes a text if it has the digest; returns the manifest in it.
  std::optional<Manifest> Accept(std::string_view text);
  void OnFetchFailed(kernel::Time now, Source source);
  // A peer asks for the manifest, which is not here yet.
  void AddWaiting(std::string_view peer);
  // Returns those that wait, once.
  std::set<std::string> TakeWaiting();
  kernel::Time NextRun() const { return m_next_ask; }

 private:
  std::string ChooseTarget() const;
  void Fetch(kernel::Time now);

  TransferContext& m_context;
  std::string m_digest;
  std::uint32_t m_attempts = 0;
  kernel::Time m_next_ask{};
  std::set<std::string> m_waiting;
};

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_MANIFEST_SEARCH_H_
