#include "ChunkSet.h"

#include <algorithm>

namespace waxwingyoke::weights {

ChunkSet
ChunkSet::FromBytes(std::string_view aBytes, std::size_t aSize)
{
  ChunkSet set(aSize);
  auto offered = std::min(aSize, aBytes.size() * kBitsPerByte);
  for (std::size_t index = 0; index < offered; ++index) {
    auto byte = static_cast<unsigned char>(aBytes[index / kBitsPerByte]);
    if ((byte >> (index % kBitsPerByte)) & 1U) {
      set.Add(index);
    }
  }
  return set;
}

void
ChunkSet::Add(std::size_t aIndex)
{
  if (aIndex >= size_ || Has(aIndex)) {
    return;
  }
  auto& byte = bits_[aIndex / kBitsPerByte];
  byte = static_cast<char>(static_cast<unsigned char>(byte) |
                           (1U << (aIndex % kBitsPerByte)));
  ++count_;
}

bool
ChunkSet::Has(std::size_t aIndex) const
{
  if (aIndex >= size_) {
    return false;
  }
  auto byte = static_cast<unsigned char>(bits_[aIndex / kBitsPerByte]);
  return ((byte >> (aIndex % kBitsPerByte)) & 1U) != 0;
}

bool
ChunkSet::Merge(const ChunkSet& aOther)
{
  auto before = count_;
  for (std::size_t index = 0; index < size_; ++index) {
    if (aOther.Has(index)) {
      Add(index);
    }
  }
  return count_ != before;
}

} // namespace waxwingyoke::weights
