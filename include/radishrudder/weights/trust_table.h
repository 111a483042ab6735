#ifndef RADISHRUDDER_WEIGHTS_TRUST_TABLE_H_
#define RADISHRUDDER_WEIGHTS_TRUST_TABLE_H_

#include <map>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"

namespace radishrudder::weights {

// Trust in each sender, from the validity of the chunks that it sent. No chunks
// are requested from a sender for a fixed time after its trust falls below a
// minimum.
class TrustTable {
 public:
  void OnValidChunk(std::string_view sender);
  // Handles a chunk from `sender` that does not match its digest.
  void OnInvalidChunk(kernel::Time now, std::string_view sender);
  bool IsTrusted(kernel::Time now, std::string_view sender) const;

 private:
  struct Entry {
    double trust = 1;  // 0 to 1.
    kernel::Time banned_until{};
  };

  std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_TRUST_TABLE_H_
