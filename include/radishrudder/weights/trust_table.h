#ifndef RADISHRUDDER_WEIGHTS_TRUST_TABLE_H_
#define RADISHRUDDER_WEIGHTS_TRUST_TABLE_H_

#include <map>
#include <string>
#include <string_view>

#include "radishrudder/kernel/time.h"

namespace radishrudder::weights {

// How far each sender is trusted to send what it was asked for. A sender that
// falls below the limit is not asked for a while.
class TrustTable {
 public:
  void OnGood(std::string_view sender);
  // A chunk from that sender failed its digest.
  void OnBad(kernel::Time now, std::string_view sender);
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
