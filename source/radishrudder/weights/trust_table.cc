#include "radishrudder/weights/trust_table.h"

#include <algorithm>

namespace radishrudder::weights {
namespace {

constexpr double kLossFactor = 0.5;
constexpr double kGain = 0.05;
constexpr double kMinimumTrust = 0.2;
constexpr std::chrono::seconds kBan(60);

}  // namespace

void TrustTable::OnGood(std::string_view sender) {
  const auto found = m_entries.find(sender);
  if (found == m_entries.end()) {
    return;
  }
  found->second.trust = std::min(1.0, found->second.trust + kGain);
}

void TrustTable::OnBad(kernel::Time now, std::string_view sender) {
  Entry& entry = m_entries[std::string(sender)];
  entry.trust *= kLossFactor;
  if (entry.trust < kMinimumTrust) {
    entry.banned_until = now + kBan;
    entry.trust = kMinimumTrust;
  }
}

bool TrustTable::IsTrusted(kernel::Time now, std::string_view sender) const {
  const auto found = m_entries.find(sender);
  return found == m_entries.end() || now >= found->second.banned_until;
}

}  // namespace radishrudder::weights
