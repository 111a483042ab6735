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

// What a ledger knows about a key and the call sent with it.
enum class KeyState {
  kNew,           // Not seen before: its call may run.
  kInUse,         // Its call is queued or running.
  kRecorded,      // Its call ran and the complete answer is recorded.
  kExecuted,      // Its call may have run; no answer is recorded.
  kRefused,       // Reported as not run: its call never runs.
  kCallMismatch,  // Seen before with a different call.
  kFull           // Not seen before, and the ledger is full.
};

// A complete answer, recorded for repeats of its call.
struct RecordedAnswer {
  std::uint32_t status = 0;
  std::vector<Header> headers;
  std::string manifest_digest;
  std::string body;
};

// Returns the SHA-256 digest (32 bytes) of the fields that identify a call:
// workspace, method, target, adapter and body.
std::string CallDigest(const wire::StartAttempt& start);

// Records each key of one run of an agent until the key expires, together with
// the call it was sent with and the result of that call.
class KeyLedger {
 public:
  // `maximum_bytes` limits the size of the recorded answers. Above it, the
  // oldest answers are dropped and their keys become `kExecuted`.
  explicit KeyLedger(std::size_t maximum_bytes)
      : m_maximum_bytes(maximum_bytes) {}

  KeyState Find(std::string_view key, std::string_view call_digest) const;
  // Records a new key whose call may run from now on.
  void Begin(std::string key, std::string call_digest, kernel::Time expires);
  // Records that the call of a key has not run and never will.
  void Refuse(std::string key, std::string call_digest, kernel::Time expires);
  // The same for a key already recorded by `Begin`.
  void Refuse(std::string_view key);
  void AddHead(std::string_view key, RecordedAnswer head);
  void AddData(std::string_view key, std::string_view data);
  // Records the end of a call that ran. Only complete answers are kept.
  void End(std::string_view key, bool complete);
  // Returns the answer of a key in the state `kRecorded`.
  const RecordedAnswer& Answer(std::string_view key) const;
  // Removes expired keys, except those in use.
  void Expire(kernel::Time now);

  std::size_t Size() const { return m_keys.size(); }
  std::size_t Bytes() const { return m_bytes; }

 private:
  static constexpr std::size_t kMaximumKeys = 65'536;
  static constexpr std::size_t kMaximumAnswerBytes = 1U << 20U;

  struct Record {
    KeyState state = KeyState::kInUse;
    std::string call_digest;
    kernel::Time expires;
    bool too_large = false;
    RecordedAnswer answer;
  };

  void DropAnswer(Record& record);

  std::size_t m_maximum_bytes;
  std::size_t m_bytes = 0;
  std::map<std::string, Record, std::less<>> m_keys;
  std::deque<std::string> m_recorded_keys;  // Oldest first.
};

}  // namespace radishrudder::calls

#endif  // RADISHRUDDER_CALLS_KEY_LEDGER_H_
