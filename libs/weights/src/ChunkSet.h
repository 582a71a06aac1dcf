#ifndef waxwingyoke_weights_ChunkSet_h
#define waxwingyoke_weights_ChunkSet_h

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwingyoke::weights {

/** A bit set of the chunks of one version that a process holds. */
class ChunkSet
{
public:
  ChunkSet() = default;
  explicit ChunkSet(std::size_t aSize)
    : size_(aSize)
    , bits_((aSize + kBitsPerByte - 1) / kBitsPerByte, '\0')
  {
  }

  /** From the bytes of GetBytes; bits beyond aSize are ignored. */
  static ChunkSet FromBytes(std::string_view aBytes, std::size_t aSize);

  void Add(std::size_t aIndex);
  bool Has(std::size_t aIndex) const;

  /** Adds all chunks of aOther; true if any was new. */
  bool Merge(const ChunkSet& aOther);

  std::size_t GetCount() const { return count_; }
  std::size_t GetSize() const { return size_; }
  bool IsFull() const { return count_ == size_; }

  /** The bit set as bytes; chunk 0 is the lowest bit of the first byte. */
  const std::string& GetBytes() const { return bits_; }

private:
  static constexpr std::size_t kBitsPerByte = 8;

  std::size_t size_ = 0;
  std::size_t count_ = 0;
  std::string bits_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ChunkSet_h
