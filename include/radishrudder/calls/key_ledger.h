#ifndef RADISHRUDDER_CALLS_KEY_LEDGER_H_
#define RADISHRUDDER_CALLS_KEY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/calls/outcome.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::calls {

// What a ledger knows of a key.
enum class KeyStanding {
  kNew,        // Never seen: its call may run.
  kInUse,      // Its call waits or runs.
  kRecorded,   // Its call ran and the whole answer is here.
  kRan,        // Its call may have run; its answer is not here.
  kRefused,    // Reported as not run: its call never runs.
  kOtherCall,  // Seen with another call.
  kFull        // Never seen, and there is no room to remember it.
};

// A whole answer kept for repeats of its call.
struct RecordedAnswer {
  std::uint32_t status = 0;
  std::vector<Header> headers;
  std::string manifest_digest;
  std::string body;
};

// Returns the digest (SHA-256, 32 bytes) of what makes two calls the same:
// workspace, method, target, adapter and body.
std::string CallDigest(const wire::StartAttempt& start);

// Remembers each key of one agent's run until the key expires: the call it
// came with and how it ended.
class KeyLedger {
 public:
  // `maximum_bytes` bounds the answers kept; beyond it the oldest answers are
  // dropped and their keys stand as `kRan`.
  explicit KeyLedger(std::size_t maximum_bytes)
      : m_maximum_bytes(maximum_bytes) {}

  KeyStanding Find(std::string_view key, std::string_view call_digest) const;
  // Notes that the call of a new key may run from now on.
  void Begin(std::string key, std::string call_digest, kernel::Time expires);
  // Notes that the call of a key has not run and never will.
  void Refuse(std::string key, std::string call_digest, kernel::Time expires);
  // The same for a key whose call has begun to wait.
  void Refuse(std::string_view key);
  void AddHead(std::string_view key, RecordedAnswer head);
  void AddData(std::string_view key, std::string_view data);
  // Ends a call that ran; only a whole answer is kept.
  void End(std::string_view key, bool whole);
  // Returns the answer of a key that stands as `kRecorded`.
  const RecordedAnswer& Answer(std::string_view key) const;
  // Forgets keys past their expiry, except those in use.
  void Expire(kernel::Time now);

  std::size_t Size() const { return m_keys.size(); }
  std::size_t Bytes() const { return m_bytes; }

 private:
  static constexpr std::size_t kMaximumKeys = 65'536;
  static constexpr std::size_t kMaximumAnswerBytes = 1U << 20U;

  struct Record {
    KeyStanding standing = KeyStanding::kInUse;
    std::string call_digest;
    kernel::Time expires;
    bool too_large = false;
    RecordedAnswer answer;
  };

  void DropAnswer(Record& record);

  std::size_t m_maximum_bytes;
  std::size_t m_bytes = 0;
  std::map<std::string, Record, std::less<>> m_keys;
  std::deque<std::string> m_recorded;  // Oldest first.
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_KEY_LEDGER_H_
