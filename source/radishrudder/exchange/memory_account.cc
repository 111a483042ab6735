#include "radishrudder/exchange/memory_account.h"

#include <algorithm>
#include <utility>

namespace radishrudder::exchange {
namespace {

// Bytes that make up progress.
constexpr std::size_t kProgressBytes = 16U << 10U;
// Differences in progress below this are chance.
constexpr std::chrono::milliseconds kMinimumAge{100};
// A peer without progress for this long has stalled.
constexpr std::chrono::milliseconds kStallTime{1000};
// Connections that hold no more than this may use the whole account, others
// leave a part of it free.
constexpr std::size_t kSmallBytes = 64U << 10U;
constexpr std::size_t kSmallDivisor = 4;
constexpr std::size_t kAnswerDivisor = 8;
// All connections together may fill the smaller ones before a byte is read.
constexpr BufferSizes kBufferSizes{.receive = 16U << 10U,
                                   .large_receive = 64U << 10U,
                                   .send = 128U << 10U};

}  // namespace

BufferSizes MemoryAccount::Buffers() const {
  return m_limits.bytes < MemoryLimits().bytes ? kBufferSizes : BufferSizes();
}

std::size_t MemoryAccount::MaximumAnswerBytes() const {
  return m_limits.bytes / kAnswerDivisor;
}

bool MemoryAccount::MakeRoomForSocket(kernel::Time now,
                                      const MemoryShare* asker) {
  while (m_sockets >= m_limits.sockets) {
    MemoryShare* victim =
        FindHeaviest(now, /*except=*/asker, /*include_unstalled=*/false);
    if (victim == nullptr) {
      ++m_shortages;
      return false;
    }
    const std::size_t before = m_sockets;
    Revoke(*victim, now, Shortage::kSockets);
    if (m_sockets >= before) {
      return false;
    }
  }
  return true;
}

void MemoryAccount::Enforce(kernel::Time now) {
  while (m_bytes > m_limits.bytes) {
    MemoryShare* victim =
        FindHeaviest(now, /*except=*/nullptr, /*include_unstalled=*/false);
    if (victim == nullptr) {
      return;
    }
    Revoke(*victim, now, Shortage::kMemory);
  }
}

std::size_t MemoryAccount::LimitFor(std::size_t bytes) const {
  return bytes <= kSmallBytes ? m_limits.bytes
                              : m_limits.bytes - m_limits.bytes / kSmallDivisor;
}

bool MemoryAccount::MakeRoom(MemoryShare& asker,
                             std::size_t bytes,
                             kernel::Time now,
                             bool already_held) {
  const std::size_t limit = LimitFor(bytes);
  const double weight = asker.Weight(now, bytes);
  const auto is_full = [&] {
    const std::size_t others = m_bytes - asker.m_bytes;
    return others > limit || bytes > limit - others;
  };
  while (is_full()) {
    MemoryShare* victim = FindHeaviest(now, &asker, already_held);
    if (victim == nullptr || victim->Weight(now, victim->m_bytes) <= weight) {
      return false;
    }
    Revoke(*victim, now, Shortage::kMemory);
  }
  return true;
}

MemoryShare* MemoryAccount::FindHeaviest(kernel::Time now,
                                         const MemoryShare* except,
                                         bool include_unstalled) const {
  MemoryShare* heaviest = nullptr;
  double most = 0;
  for (MemoryShare* share : m_shares) {
    if (share == except) {
      continue;
    }
    const double weight = share->Weight(now, share->m_bytes);
    if (weight <= most) {
      continue;
    }
    const Revocable part = share->m_holder.RevocablePart();
    if (part == Revocable::kAll ||
        (part == Revocable::kStalled &&
         (include_unstalled || share->IsStalled(now)))) {
      heaviest = share;
      most = weight;
    }
  }
  return heaviest;
}

void MemoryAccount::Revoke(MemoryShare& share,
                           kernel::Time now,
                           Shortage shortage) {
  ++m_shortages;
  // The memory is freed a moment later; it must not be taken away twice.
  share.Assign(0);
  share.m_holder.Revoke(now, shortage);
}

MemoryShare::MemoryShare(MemoryAccount& account,
                         MemoryHolder& holder,
                         kernel::Time now)
    : m_account(account), m_holder(holder), m_progress_at(now) {
  m_account.m_shares.insert(this);
  ++m_account.m_sockets;
}

MemoryShare::~MemoryShare() {
  Close();
}

void MemoryShare::Close() {
  if (m_closed) {
    return;
  }
  Assign(0);
  ReleaseSocket();
  m_closed = true;
  m_account.m_shares.erase(this);
  --m_account.m_sockets;
}

bool MemoryShare::RequestSocket(kernel::Time now) {
  if (m_closed || m_has_socket) {
    return true;
  }
  if (!m_account.MakeRoomForSocket(now, this)) {
    return false;
  }
  m_has_socket = true;
  ++m_account.m_sockets;
  return true;
}

void MemoryShare::ReleaseSocket() {
  m_account.m_sockets -= std::exchange(m_has_socket, false) ? 1 : 0;
}

bool MemoryShare::Request(std::size_t bytes, kernel::Time now) {
  if (!m_closed && bytes > m_bytes &&
      !m_account.MakeRoom(*this, bytes, now, /*already_held=*/false)) {
    ++m_account.m_shortages;
    return false;
  }
  Assign(bytes);
  return true;
}

void MemoryShare::Set(std::size_t bytes, kernel::Time now) {
  if (!m_closed && bytes > m_bytes) {
    m_account.MakeRoom(*this, bytes, now, /*already_held=*/true);
  }
  Assign(bytes);
}

bool MemoryShare::MayGrow(std::size_t more, kernel::Time now) {
  if (m_account.MakeRoom(*this, m_bytes + more, now, /*already_held=*/false)) {
    return true;
  }
  if (m_holder.RevocablePart() == Revocable::kStalled && IsStalled(now)) {
    m_account.Revoke(*this, now, Shortage::kMemory);
  }
  return false;
}

void MemoryShare::OnTransferred(std::size_t bytes, kernel::Time now) {
  m_transferred += bytes;
  if (m_transferred >= kProgressBytes) {
    Restart(now);
  }
}

void MemoryShare::Restart(kernel::Time now) {
  m_transferred = 0;
  m_progress_at = now;
}

bool MemoryShare::IsStalled(kernel::Time now) const {
  return now - m_progress_at >= kStallTime;
}

double MemoryShare::Weight(kernel::Time now, std::size_t bytes) const {
  using Seconds = std::chrono::duration<double>;
  const kernel::Duration age =
      std::max<kernel::Duration>(now - m_progress_at, kMinimumAge);
  return static_cast<double>(bytes) * Seconds(age).count();
}

void MemoryShare::Assign(std::size_t bytes) {
  if (m_closed) {
    return;
  }
  m_account.m_bytes += bytes;
  m_account.m_bytes -= m_bytes;
  m_bytes = bytes;
}

}  // namespace radishrudder::exchange
