#include "radishrudder/weights/chunk_bitmap.h"

namespace radishrudder::weights {
namespace {

constexpr std::size_t kByteBits = 8;

}  // namespace

bool ChunkBitmap::Set(std::size_t index) {
  if (Test(index)) {
    return false;
  }
  m_words[index / kWordBits] |= std::uint64_t{1} << (index % kWordBits);
  ++m_count;
  return true;
}

void ChunkBitmap::Clear(std::size_t index) {
  if (Test(index)) {
    m_words[index / kWordBits] &= ~(std::uint64_t{1} << (index % kWordBits));
    --m_count;
  }
}

std::string ChunkBitmap::ToBytes() const {
  std::string bytes((m_size + kByteBits - 1) / kByteBits, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::size_t bit = i * kByteBits;
    bytes[i] = static_cast<char>(m_words[bit / kWordBits] >> (bit % kWordBits) &
                                 0xffU);
  }
  return bytes;
}

std::optional<ChunkBitmap> ChunkBitmap::FromBytes(std::string_view bytes,
                                                  std::size_t size) {
  if (bytes.size() != (size + kByteBits - 1) / kByteBits) {
    return std::nullopt;
  }
  ChunkBitmap bitmap(size);
  for (std::size_t i = 0; i < bytes.size() * kByteBits; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i / kByteBits]);
    if ((byte >> (i % kByteBits) & 1U) == 0) {
      continue;
    }
    if (i >= size) {
      return std::nullopt;
    }
    bitmap.Set(i);
  }
  return bitmap;
}

}  // namespace radishrudder::weights
