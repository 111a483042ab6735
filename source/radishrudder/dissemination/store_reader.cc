#include "radishrudder/dissemination/store_reader.h"

#include <algorithm>
#include <utility>

namespace radishrudder::dissemination {
namespace {

constexpr std::uint32_t kMaximumDoublings = 6;
// A request that is in progress is only ended by its answer.
constexpr kernel::Time kNever = kernel::Time::max();

}  // namespace

void StoreReader::OnTick(kernel::Time now, kernel::BootTime boot_now) {
  if (m_asked || now < m_next) {
    return;
  }
  m_asked = true;
  m_next = kNever;
  m_asked_at = boot_now;
  if (m_phase == Phase::kWatching) {
    m_outputs.emplace_back(WatchChanges{m_revision, m_settings.watch_wait});
    return;
  }
  if (m_items.empty()) {
    m_read_began = boot_now;
  }
  m_outputs.emplace_back(
      ReadPage{m_items.empty() ? std::string() : m_items.back().key});
}

void StoreReader::OnPage(kernel::Time now,
                         std::vector<StoreItem> items,
                         bool has_more,
                         std::uint64_t revision) {
  OnAnswered(now);
  // Pages are not one snapshot: what changes meanwhile comes with the watch,
  // which begins where the first page was read.
  if (m_items.empty()) {
    m_revision = revision;
  }
  const bool more = has_more && !items.empty();
  m_items.insert(m_items.end(), std::make_move_iterator(items.begin()),
                 std::make_move_iterator(items.end()));
  m_next = now;
  if (more) {
    return;
  }
  m_phase = Phase::kWatching;
  m_outputs.emplace_back(WholePrefix{std::exchange(m_items, {}), m_revision,
                                     std::exchange(m_after_outage, false)});
  m_outputs.emplace_back(PrefixConfirmed{m_read_began});
}

void StoreReader::OnChanges(kernel::Time now,
                            std::vector<StoreItem> items,
                            std::uint64_t revision) {
  OnAnswered(now);
  m_revision = std::max(m_revision, revision);
  m_after_outage = false;
  m_next = items.empty() ? now : now + m_settings.pause;
  if (!items.empty()) {
    m_outputs.emplace_back(PrefixChanges{std::move(items)});
  }
  m_outputs.emplace_back(PrefixConfirmed{m_asked_at});
}

void StoreReader::OnHistoryGone(kernel::Time now) {
  OnAnswered(now);
  m_phase = Phase::kReading;
  m_items.clear();
  m_next = now;
}

void StoreReader::OnFailed(kernel::Time now) {
  m_asked = false;
  if (m_failures == 0) {
    m_failing_since = now;
    m_outputs.emplace_back(StoreLost{});
  }
  const auto retry = std::min<std::chrono::milliseconds>(
      m_settings.first_retry * (1U << std::min(m_failures, kMaximumDoublings)),
      m_settings.longest_retry);
  ++m_failures;
  const double factor = 0.5 + m_random.Uniform();
  m_next = now + std::chrono::duration_cast<kernel::Duration>(retry * factor);
  if (m_phase == Phase::kReading) {
    m_items.clear();
  }
}

void StoreReader::OnAnswered(kernel::Time now) {
  m_asked = false;
  if (m_failures > 0) {
    m_failures = 0;
    m_after_outage =
        m_after_outage || now - m_failing_since >= m_settings.outage;
    m_outputs.emplace_back(StoreRegained{});
  }
}

std::vector<StoreOutput> StoreReader::TakeOutputs() {
  return std::exchange(m_outputs, {});
}

}  // namespace radishrudder::dissemination
