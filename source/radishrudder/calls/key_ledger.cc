#include "radishrudder/calls/key_ledger.h"

#include <openssl/sha.h>

#include <array>
#include <utility>

namespace radishrudder::calls {

namespace {

// Appends a text with its length, so that different lists of texts never have
// the same encoding.
void AppendLengthPrefixed(std::string& encoded, std::string_view text) {
  encoded += std::to_string(text.size());
  encoded += ':';
  encoded += text;
}

}  // namespace

std::string CallDigest(const wire::StartAttempt& start) {
  std::string encoded;
  AppendLengthPrefixed(encoded, start.workspace());
  AppendLengthPrefixed(encoded, start.method());
  AppendLengthPrefixed(encoded, start.target());
  AppendLengthPrefixed(encoded, start.adapter());
  AppendLengthPrefixed(encoded, start.body());
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(encoded.data()), encoded.size(),
         digest.data());
  return {digest.begin(), digest.end()};
}

KeyState KeyLedger::Find(std::string_view key,
                         std::string_view call_digest) const {
  const auto found = m_keys.find(key);
  if (found == m_keys.end()) {
    return m_keys.size() < kMaximumKeys ? KeyState::kNew : KeyState::kFull;
  }
  return found->second.call_digest == call_digest ? found->second.state
                                                  : KeyState::kCallMismatch;
}

void KeyLedger::Begin(std::string key,
                      std::string call_digest,
                      kernel::Time expires) {
  Record& record = m_keys[std::move(key)];
  record.state = KeyState::kInUse;
  record.call_digest = std::move(call_digest);
  record.expires = expires;
}

void KeyLedger::Refuse(std::string key,
                       std::string call_digest,
                       kernel::Time expires) {
  Record& record = m_keys[std::move(key)];
  record.state = KeyState::kRefused;
  record.call_digest = std::move(call_digest);
  record.expires = expires;
}

void KeyLedger::Refuse(std::string_view key) {
  Record& record = m_keys.find(key)->second;
  record.state = KeyState::kRefused;
  DropAnswer(record);
}

void KeyLedger::AddHead(std::string_view key, RecordedAnswer head) {
  m_keys.find(key)->second.answer = std::move(head);
}

void KeyLedger::AddData(std::string_view key, std::string_view data) {
  Record& record = m_keys.find(key)->second;
  if (record.too_large ||
      record.answer.body.size() + data.size() > kMaximumAnswerBytes) {
    DropAnswer(record);
    record.too_large = true;
    return;
  }
  record.answer.body += data;
  m_bytes += data.size();
}

void KeyLedger::End(std::string_view key, bool complete) {
  Record& record = m_keys.find(key)->second;
  record.state = KeyState::kExecuted;
  if (!complete || record.too_large) {
    DropAnswer(record);
    return;
  }
  record.state = KeyState::kRecorded;
  m_recorded_keys.emplace_back(key);
  while (m_bytes > m_maximum_bytes && !m_recorded_keys.empty()) {
    const auto oldest = m_keys.find(m_recorded_keys.front());
    m_recorded_keys.pop_front();
    if (oldest != m_keys.end()) {
      oldest->second.state = KeyState::kExecuted;
      DropAnswer(oldest->second);
    }
  }
}

const RecordedAnswer& KeyLedger::Answer(std::string_view key) const {
  return m_keys.find(key)->second.answer;
}

void KeyLedger::Expire(kernel::Time now) {
  for (auto record = m_keys.begin(); record != m_keys.end();) {
    const bool drop = record->second.expires <= now &&
                      record->second.state != KeyState::kInUse;
    if (drop) {
      DropAnswer(record->second);
      record = m_keys.erase(record);
    } else {
      ++record;
    }
  }
  while (!m_recorded_keys.empty() &&
         !m_keys.contains(m_recorded_keys.front())) {
    m_recorded_keys.pop_front();
  }
}

void KeyLedger::DropAnswer(Record& record) {
  m_bytes -= record.answer.body.size();
  record.answer = {};
}

}  // namespace radishrudder::calls
