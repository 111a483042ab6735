#include "radishrudder/exchange/byte_blocks.h"

#include <algorithm>
#include <utility>

namespace radishrudder::exchange {

void ByteBlocks::Append(std::string_view bytes) {
  m_size += bytes.size();
  while (!bytes.empty()) {
    const std::size_t part =
        std::min(bytes.size(), m_last_limit - m_last.size());
    const std::size_t size = m_last.size() + part;
    // A doubled capacity must not exceed the block.
    if (size > m_last.capacity() && size > m_last_limit / 2) {
      m_last.reserve(m_last_limit);
    }
    m_last.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (m_last.size() == m_last_limit) {
      m_full.push_back(std::exchange(m_last, {}));
      m_last_limit = kBlockBytes;
    }
  }
}

void ByteBlocks::Reserve(std::size_t size) {
  if (m_full.empty() && size > kBlockBytes) {
    m_last_limit = size;
    m_last.reserve(size);
  }
}

std::size_t ByteBlocks::AllocatedBytes() const {
  std::size_t bytes = m_last.capacity();
  for (const std::string& block : m_full) {
    bytes += block.capacity();
  }
  return bytes;
}

std::string ByteBlocks::TakeFirst() {
  std::string first;
  if (m_full.empty()) {
    first = std::exchange(m_last, {});
    m_last_limit = kBlockBytes;
  } else {
    first = std::move(m_full.front());
    m_full.pop_front();
  }
  m_size -= first.size();
  return first;
}

std::string ByteBlocks::TakeAll() {
  if (m_full.size() + (m_last.empty() ? 0 : 1) <= 1) {
    return TakeFirst();
  }
  std::string all;
  all.reserve(m_size);
  while (!IsEmpty()) {
    all += TakeFirst();
  }
  return all;
}

void ByteBlocks::Clear() {
  m_full.clear();
  Free(m_last);
  m_last_limit = kBlockBytes;
  m_size = 0;
}

}  // namespace radishrudder::exchange
