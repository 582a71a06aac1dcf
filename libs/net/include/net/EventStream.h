#ifndef waxwingyoke_net_EventStream_h
#define waxwingyoke_net_EventStream_h

#include <cstddef>
#include <optional>
#include <string_view>

namespace waxwingyoke::net {

// Server-sent events. Lines end in LF, CRLF or CR.

/**
 * Removes the first line from aBytes, which are complete, and returns it
 * without its end; empty if no line ends in them.
 */
std::optional<std::string_view>
TakeLine(std::string_view& aBytes);

/**
 * The size of the first event of a stream, its blank line included; npos if
 * aBytes does not hold all of it yet.
 */
std::size_t
FindEventEnd(std::string_view aBytes);

/**
 * Whether a stream that ends after aRemainder, the bytes after its last
 * complete event, ends inside an event: in an unfinished line, or in lines
 * without the blank line that completes them. Comments alone are no event.
 */
bool
EndsInsideEvent(std::string_view aRemainder);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_EventStream_h
