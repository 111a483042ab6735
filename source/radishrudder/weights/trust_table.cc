#include "radishrudder/weights/trust_table.h"

#include <algorithm>

namespace radishrudder::weights {
namespace {

constexpr double kTrustLossFactor = 0.5;
constexpr double kTrustGain = 0.05;
constexpr double kMinimumTrust = 0.2;
constexpr std::chrono::seconds kBanDuration(60);

}  // namespace

void TrustTable::OnValidChunk(std::string_view sender) {
  const auto found = m_entries.find(sender);
  if (found == m_entries.end()) {
    return;
  }
  found->second.trust = std::min(1.0, found->second.trust + kTrustGain);
}

void TrustTable::OnInvalidChunk(kernel::Time now, std::string_view sender) {
  Entry& entry = m_entries[std::string(sender)];
  entry.trust *= kTrustLossFactor;
  if (entry.trust < kMinimumTrust) {
    entry.banned_until = now + kBanDuration;
    entry.trust = kMinimumTrust;
  }
}

bool TrustTable::IsTrusted(kernel::Time now, std::string_view sender) const {
  const auto found = m_entries.find(sender);
  return found == m_entries.end() || now >= found->second.banned_until;
}

}  // namespace radishrudder::weights
