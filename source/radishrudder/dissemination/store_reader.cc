#include "radishrudder/dissemination/store_reader.h"

#include <algorithm>
#include <utility>

namespace radishrudder::dissemination {
namespace {

constexpr std::uint32_t kMaximumBackoffDoublings = 6;
// A request in progress ends only with its response or failure; no tick is
// needed until then.
constexpr kernel::Time kNoTickNeeded = kernel::Time::max();

}  // namespace

void StoreReader::OnTick(kernel::Time now, kernel::BootTime boot_now) {
  if (m_request_in_progress || now < m_next_request) {
    return;
  }
  m_request_in_progress = true;
  m_next_request = kNoTickNeeded;
  m_request_sent = now;
  m_request_started_at = boot_now;
  if (m_phase == Phase::kWatching) {
    m_wait = m_settings.watch_wait;
    if (m_consecutive_failures > 0) {
      m_wait = std::min(m_settings.confirming_wait, m_settings.watch_wait);
    } else if (std::exchange(m_shorten_watch, false)) {
      m_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
          m_wait * m_random.Uniform());
    }
    m_outputs.emplace_back(WatchChanges{m_revision, m_wait});
    return;
  }
  if (m_read_items.empty()) {
    m_read_started_at = boot_now;
  }
  m_outputs.emplace_back(
      ReadPage{m_read_items.empty() ? std::string() : m_read_items.back().key});
}

void StoreReader::OnPage(kernel::Time now,
                         std::vector<StoreItem> items,
                         bool has_more,
                         std::uint64_t revision,
                         std::uint64_t era) {
  if (!AcceptEra(now, era)) {
    return;
  }
  // A page that does not go beyond the preceding one would be asked for again
  // and again.
  if (has_more && !items.empty() && !m_read_items.empty() &&
      items.back().key <= m_read_items.back().key) {
    OnRequestFailed(now);
    return;
  }
  OnResponse(now);
  // The pages are not one snapshot. The watch starts at the revision of the
  // first page, so that it delivers the changes made between pages.
  if (m_read_items.empty()) {
    m_revision = revision;
  }
  for (StoreItem& item : items) {
    item.era = m_era;
  }
  const bool more = has_more && !items.empty();
  m_read_items.insert(m_read_items.end(),
                      std::make_move_iterator(items.begin()),
                      std::make_move_iterator(items.end()));
  m_next_request = now;
  if (more) {
    return;
  }
  m_phase = Phase::kWatching;
  m_outputs.emplace_back(PrefixSnapshot{std::exchange(m_read_items, {}),
                                        m_revision, m_complete_at, m_failed_for,
                                        m_era});
  Confirm(m_read_started_at, m_read_started_at);
}

void StoreReader::OnChanges(kernel::Time now,
                            std::vector<StoreItem> items,
                            std::uint64_t revision,
                            std::uint64_t era) {
  if (!AcceptEra(now, era)) {
    return;
  }
  OnResponse(now);
  m_revision = std::max(m_revision, revision);
  std::uint64_t last_change = 0;
  for (StoreItem& item : items) {
    item.era = m_era;
    last_change = std::max(last_change, item.revision);
  }
  const bool unchanged = items.empty();
  m_next_request = unchanged ? now : now + m_settings.next_watch_delay;
  if (!unchanged) {
    m_shorten_watch = m_settings.spread_watches;
    m_outputs.emplace_back(
        PrefixChanges{std::move(items), m_complete_at, m_failed_for});
  }
  // The store leaves out further changes of a large response. Only one that
  // goes beyond its last change is known to be complete.
  if (!unchanged && revision <= last_change) {
    return;
  }
  // The store ends a watch without changes only after its whole wait.
  const bool waited = unchanged && now - m_request_sent >= m_wait;
  Confirm(m_request_started_at,
          waited ? m_request_started_at + m_wait : m_request_started_at);
}

void StoreReader::Confirm(kernel::BootTime requested_at,
                          kernel::BootTime complete_at) {
  m_complete_at = complete_at;
  m_outputs.emplace_back(PrefixConfirmed{requested_at, complete_at});
}

void StoreReader::OnHistoryDiscarded(kernel::Time now, std::uint64_t era) {
  if (!AcceptEra(now, era)) {
    return;
  }
  OnResponse(now);
  m_phase = Phase::kReading;
  m_read_items.clear();
  m_next_request = now;
}

bool StoreReader::AcceptEra(kernel::Time now, std::uint64_t era) {
  if (era == 0 || era == m_era) {
    return true;
  }
  if (era < m_era) {
    OnRequestFailed(now);
    return false;
  }
  const std::uint64_t previous = std::exchange(m_era, era);
  const bool nothing_read = m_phase == Phase::kReading && m_read_items.empty();
  // A store may count its eras from 0.
  if (previous > 0 || !nothing_read) {
    m_outputs.emplace_back(StoreEraChanged{previous, era});
  }
  if (nothing_read) {
    return true;
  }
  // What has been read belongs to the previous era, as do the revisions.
  OnResponse(now);
  m_phase = Phase::kReading;
  m_read_items.clear();
  m_next_request = now + std::chrono::duration_cast<kernel::Duration>(
                             m_settings.new_era_delay * m_random.Uniform());
  return false;
}

void StoreReader::OnRequestFailed(kernel::Time now) {
  m_request_in_progress = false;
  if (m_consecutive_failures == 0) {
    m_failing_since = now;
    m_outputs.emplace_back(StoreUnreachable{});
  }
  const auto backoff = std::min<std::chrono::milliseconds>(
      m_settings.initial_backoff *
          (1U << std::min(m_consecutive_failures, kMaximumBackoffDoublings)),
      m_settings.maximum_backoff);
  ++m_consecutive_failures;
  const double backoff_factor = 0.5 + m_random.Uniform();
  m_next_request = now + std::chrono::duration_cast<kernel::Duration>(
                             backoff * backoff_factor);
  if (m_phase == Phase::kReading) {
    m_read_items.clear();
  }
}

void StoreReader::OnResponse(kernel::Time now) {
  m_request_in_progress = false;
  m_outputs.emplace_back(StoreAnswered{m_request_sent});
  // A history that was discarded meanwhile is read again in further requests.
  if (m_phase == Phase::kWatching || m_consecutive_failures > 0) {
    m_failed_for = m_consecutive_failures > 0 ? now - m_failing_since
                                              : kernel::Duration::zero();
  }
  if (m_consecutive_failures > 0) {
    m_consecutive_failures = 0;
    m_outputs.emplace_back(StoreRecovered{});
  }
}

std::vector<StoreOutput> StoreReader::TakeOutputs() {
  return std::exchange(m_outputs, {});
}

}  // namespace radishrudder::dissemination
