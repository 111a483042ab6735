#ifndef RADISHRUDDER_EXCHANGE_MEMORY_ACCOUNT_H_
#define RADISHRUDDER_EXCHANGE_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>

#include "radishrudder/kernel/time.h"

namespace radishrudder::exchange {

struct MemoryLimits {
  // Bytes that all peers together may hold.
  std::size_t bytes = std::numeric_limits<std::size_t>::max();
  // Sockets that may be open at the same time: the connections of peers, and
  // those that their requests in progress take.
  std::size_t sockets = std::numeric_limits<std::size_t>::max();

  bool operator==(const MemoryLimits&) const = default;
};

// Sizes of the system's buffers of a connection; 0: the system's own choice.
struct BufferSizes {
  std::size_t receive = 0;
  // Once a large message arrives; the additional bytes count for its sender.
  std::size_t large_receive = 0;
  std::size_t send = 0;
};

// What an account lacks.
enum class Shortage { kMemory, kSockets };

// What can be taken away from the peer of a connection without breaking a
// promise.
enum class Revocable {
  kNothing,  // Its request is being executed.
  kStalled,  // An answer that it reads; only if it has stopped reading.
  // Nothing of it has been executed, or everything is done; or it sends on
  // although its request is being executed.
  kAll
};

// A connection whose peer makes this process hold memory.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  // Ends what the peer holds: with a refusal if it can still read one. After a
  // shortage of sockets, closes the connection in any case. The memory is free
  // at the next turn of the event loop at the latest.
  virtual void Revoke(kernel::Time now, Shortage shortage) = 0;
  virtual Revocable RevocablePart() const = 0;
};

class MemoryShare;

// The memory that peers make a process hold, over all of its connections and
// listeners. Once it is full, the connection that has held the most bytes for
// the longest time without progress ends first; whoever asks for more than any
// other holds is refused instead. One thread.
class MemoryAccount {
 public:
  explicit MemoryAccount(const MemoryLimits& limits = {}) : m_limits(limits) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Takes effect with the next growth or connection, or with `Enforce`.
  void SetLimits(const MemoryLimits& limits) { m_limits = limits; }
  // Ends what has to end for the limit of bytes to be kept.
  void Enforce(kernel::Time now);
  const MemoryLimits& Limits() const { return m_limits; }
  // The system's buffers take memory as well, and would grow to megabytes a
  // connection; an account without a limit leaves them alone.
  BufferSizes Buffers() const;
  // Bytes that one peer's answer may take while its reading is awaited.
  std::size_t MaximumAnswerBytes() const;
  std::size_t BytesHeld() const { return m_bytes; }
  // Whether so many bytes more would leave half of the memory free.
  bool HasSpare(std::size_t bytes) const {
    return m_bytes + bytes <= m_limits.bytes / 2;
  }
  std::size_t Connections() const { return m_shares.size(); }
  // Of connections, and of their requests in progress.
  std::size_t Sockets() const { return m_sockets; }
  // Shares that were taken away, and askers that were refused.
  std::uint64_t Shortages() const { return m_shortages; }
  // Returns whether one more connection may be opened; closes another one for
  // it if need be.
  bool AdmitConnection(kernel::Time now) {
    return MakeRoomForSocket(now, /*asker=*/nullptr);
  }

 private:
  friend class MemoryShare;

  bool MakeRoomForSocket(kernel::Time now, const MemoryShare* asker);

  // What an asker is granted at most; the rest is kept for small requests.
  std::size_t LimitFor(std::size_t bytes) const;
  bool MakeRoom(MemoryShare& asker,
                std::size_t bytes,
                kernel::Time now,
                bool already_held);
  // Returns the share to take away first, or null.
  MemoryShare* FindHeaviest(kernel::Time now,
                            const MemoryShare* except,
                            bool include_unstalled) const;
  void Revoke(MemoryShare& share, kernel::Time now, Shortage shortage);

  MemoryLimits m_limits;
  std::size_t m_bytes = 0;
  std::size_t m_sockets = 0;
  std::uint64_t m_shortages = 0;
  std::set<MemoryShare*> m_shares;
};

// The part of an account that one connection holds. The account must outlive
// it.
class MemoryShare {
 public:
  MemoryShare(MemoryAccount& account, MemoryHolder& holder, kernel::Time now);
  ~MemoryShare();
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  // Asks to hold `bytes` in total. Returns false if the peer has to be refused;
  // the share is unchanged then.
  bool Request(std::size_t bytes, kernel::Time now);
  // Asks for the socket of a request in progress, in addition to that of the
  // connection. Returns false if the request has to be refused. Has no effect
  // if there is one.
  bool RequestSocket(kernel::Time now);
  void ReleaseSocket();
  // Takes note of what is held already; others may have to end for it.
  void Set(std::size_t bytes, kernel::Time now);
  // Returns whether `more` bytes could be held in addition to the present ones.
  // If not, and the peer makes no progress itself, it may be the one that ends.
  bool MayGrow(std::size_t more, kernel::Time now);
  std::size_t Bytes() const { return m_bytes; }

  // The peer sent or took bytes. Counts as progress once they make up a block,
  // so that a trickle does not.
  void OnTransferred(std::size_t bytes, kernel::Time now);
  // Begins to measure the time without progress anew.
  void Restart(kernel::Time now);
  // The connection has closed; nothing is held from now on.
  void Close();
  bool IsStalled(kernel::Time now) const;
  kernel::Time ProgressAt() const { return m_progress_at; }

 private:
  friend class MemoryAccount;

  double Weight(kernel::Time now, std::size_t bytes) const;
  void Assign(std::size_t bytes);

  MemoryAccount& m_account;
  MemoryHolder& m_holder;
  std::size_t m_bytes = 0;
  bool m_has_socket = false;      // Of a request in progress.
  std::size_t m_transferred = 0;  // Since the latest progress.
  bool m_closed = false;
  kernel::Time m_progress_at;
};

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_MEMORY_ACCOUNT_H_
