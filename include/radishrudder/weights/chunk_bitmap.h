#ifndef RADISHRUDDER_WEIGHTS_CHUNK_BITMAP_H_
#define RADISHRUDDER_WEIGHTS_CHUNK_BITMAP_H_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::weights {

// Set of chunk indices of one manifest, such as the chunks that a peer has.
class ChunkBitmap {
 public:
  explicit ChunkBitmap(std::size_t size = 0)
      : m_size(size), m_words((size + kWordBits - 1) / kWordBits) {}

  std::size_t Size() const { return m_size; }
  std::size_t Count() const { return m_count; }
  bool IsFull() const { return m_count == m_size; }
  bool Test(std::size_t index) const {
    return index < m_size &&
           (m_words[index / kWordBits] >> (index % kWordBits) & 1U) != 0;
  }
  // Sets a bit below `Size()`; returns whether it was clear before.
  bool Set(std::size_t index);
  void Clear(std::size_t index);

  // Returns the wire format: eight chunks a byte, least significant bit first.
  std::string ToBytes() const;
  // Returns nothing if the byte count does not fit `size` bits or a bit beyond
  // them is set.
  static std::optional<ChunkBitmap> FromBytes(std::string_view bytes,
                                              std::size_t size);

  // Calls `visit(index)` for each bit that is set in this bitmap and clear in
  // both `first` and `second`, which must have the same size.
  template <typename Visit>
  void ForEachWithout(const ChunkBitmap& first,
                      const ChunkBitmap& second,
                      Visit visit) const {
    for (std::size_t word = 0; word < m_words.size(); ++word) {
      std::uint64_t bits =
          m_words[word] & ~first.m_words[word] & ~second.m_words[word];
      while (bits != 0) {
        visit(word * kWordBits +
              static_cast<std::size_t>(std::countr_zero(bits)));
        bits &= bits - 1;
      }
    }
  }

 private:
  static constexpr std::size_t kWordBits = 64;

  std::size_t m_size;
  std::size_t m_count = 0;
  std::vector<std::uint64_t> m_words;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_CHUNK_BITMAP_H_
