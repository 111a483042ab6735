#ifndef RADISHRUDDER_EXCHANGE_BYTE_BLOCKS_H_
#define RADISHRUDDER_EXCHANGE_BYTE_BLOCKS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace radishrudder::exchange {

// A sequence of bytes in blocks, which takes little more memory than its bytes
// while it grows.
class ByteBlocks {
 public:
  // Large enough for the allocator to return a block to the system.
  static constexpr std::size_t kBlockBytes = 128U << 10U;

  void Append(std::string_view bytes);
  // The sequence will have this size in total: allocates the rest at once.
  void Reserve(std::size_t size);
  bool IsEmpty() const { return m_size == 0; }
  std::size_t Size() const { return m_size; }
  // Memory that is allocated for the bytes.
  std::size_t AllocatedBytes() const;
  // Removes the first block and returns it; empty: there is none.
  std::string TakeFirst();
  // Removes and returns everything.
  std::string TakeAll();
  void Clear();

 private:
  std::deque<std::string> m_full;  // Blocks that take no more bytes.
  std::string m_last;
  std::size_t m_last_limit = kBlockBytes;  // Maximum size of `m_last`.
  std::size_t m_size = 0;
};

// Empties a string and frees its memory, which an assignment would keep.
inline void Free(std::string& text) {
  std::string().swap(text);
}

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_BYTE_BLOCKS_H_
