#include "radishrudder/calls/key_ledger.h"

#include <openssl/sha.h>

#include <array>
#include <utility>

namespace radishrudder::calls {

namespace {

// Appends a text with its length, so that no two lists of texts look alike.
void AppendText(std::string& all, std::string_view text) {
  all += std::to_string(text.size());
  all += ':';
  all += text;
}

}  // namespace

std::string CallDigest(const wire::StartAttempt& start) {
  std::string all;
  AppendText(all, start.workspace());
  AppendText(all, start.method());
  AppendText(all, start.target());
  AppendText(all, start.adapter());
  AppendText(all, start.body());
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(all.data()), all.size(),
         digest.data());
  return {digest.begin(), digest.end()};
}

KeyStanding KeyLedger::Find(std::string_view key,
                            std::string_view call_digest) const {
  const auto found = m_keys.find(key);
  if (found == m_keys.end()) {
    return m_keys.size() < kMaximumKeys ? KeyStanding::kNew
                                        : KeyStanding::kFull;
  }
  return found->second.call_digest == call_digest ? found->second.standing
                                                  : KeyStanding::kOtherCall;
}

void KeyLedger::Begin(std::string key,
                      std::string call_digest,
                      kernel::Time expires) {
  Record& record = m_keys[std::move(key)];
  record.standing = KeyStanding::kInUse;
  record.call_digest = std::move(call_digest);
  record.expires = expires;
}

void KeyLedger::Refuse(std::string key,
                       std::string call_digest,
                       kernel::Time expires) {
  Record& record = m_keys[std::move(key)];
  record.standing = KeyStanding::kRefused;
  record.call_digest = std::move(call_digest);
  record.expires = expires;
}

void KeyLedger::Refuse(std::string_view key) {
  Record& record = m_keys.find(key)->second;
  record.standing = KeyStanding::kRefused;
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

void KeyLedger::End(std::string_view key, bool whole) {
  Record& record = m_keys.find(key)->second;
  record.standing = KeyStanding::kRan;
  if (!whole || record.too_large) {
    DropAnswer(record);
    return;
  }
  record.standing = KeyStanding::kRecorded;
  m_recorded.emplace_back(key);
  while (m_bytes > m_maximum_bytes && !m_recorded.empty()) {
    const auto oldest = m_keys.find(m_recorded.front());
    m_recorded.pop_front();
    if (oldest != m_keys.end()) {
      oldest->second.standing = KeyStanding::kRan;
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
                      record->second.standing != KeyStanding::kInUse;
    if (drop) {
      DropAnswer(record->second);
      record = m_keys.erase(record);
    } else {
      ++record;
    }
  }
  while (!m_recorded.empty() && !m_keys.contains(m_recorded.front())) {
    m_recorded.pop_front();
  }
}

void KeyLedger::DropAnswer(Record& record) {
  m_bytes -= record.answer.body.size();
  record.answer = {};
}

}  // namespace radishrudder::calls
