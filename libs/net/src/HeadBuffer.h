#ifndef waxwingyoke_net_HeadBuffer_h
#define waxwingyoke_net_HeadBuffer_h

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "Beast.h"

namespace waxwingyoke::net {

/**
 * The input of a connection while the head of a message is read from it. Finds
 * lines that begin with a blank, which Beast's parser appends to the value of
 * the field before (obs-fold, RFC 9112, 5.2). Refers to the buffer that it was
 * made from.
 */
class HeadBuffer
{
public:
  explicit HeadBuffer(beast::flat_buffer& aBuffer)
    : buffer_(aBuffer)
  {
  }

  bool HasFoldedLine() const { return hasFoldedLine_; }

  // NOLINTBEGIN(readability-identifier-naming): a dynamic buffer of Asio.
  using const_buffers_type = beast::flat_buffer::const_buffers_type;
  using mutable_buffers_type = beast::flat_buffer::mutable_buffers_type;

  std::size_t size() const { return buffer_.size(); }
  std::size_t max_size() const { return buffer_.max_size(); }
  std::size_t capacity() const { return buffer_.capacity(); }
  const_buffers_type data() const { return buffer_.data(); }
  mutable_buffers_type prepare(std::size_t aSize)
  {
    return buffer_.prepare(aSize);
  }
  void commit(std::size_t aSize) { buffer_.commit(aSize); }

  // The parser consumes a field with all of its lines at once.
  void consume(std::size_t aSize)
  {
    std::string_view lines(static_cast<const char*>(buffer_.data().data()),
                           std::min(aSize, buffer_.size()));
    hasFoldedLine_ = hasFoldedLine_ ||
                     lines.find("\r\n ") != std::string_view::npos ||
                     lines.find("\r\n\t") != std::string_view::npos;
    buffer_.consume(aSize);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  beast::flat_buffer& buffer_;
  bool hasFoldedLine_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_HeadBuffer_h
