#ifndef waxwingyoke_net_Beast_h
#define waxwingyoke_net_Beast_h

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <net/Http.h>

// The only header that includes Beast and Asio's TCP. Include it in few
// sources: it adds seconds to the compile time of each.

namespace waxwingyoke::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

template<typename Message>
void
CopyFields(const HttpFields& aFrom, Message& aTo)
{
  for (const auto& field : aFrom) {
    aTo.insert(field.name, field.value);
  }
}

template<typename Message>
HttpFields
ReadFields(const Message& aMessage)
{
  HttpFields fields;
  for (const auto& field : aMessage) {
    fields.Add({ field.name_string().data(), field.name_string().size() },
               { field.value().data(), field.value().size() });
  }
  return fields;
}

/**
 * Whether the peer has closed at least its sending direction, also if bytes
 * from before are not read yet. Neither waits nor consumes bytes.
 */
bool
IsClosedByPeer(Tcp::socket& aSocket);

/** Whether the connection is open and has nothing to read. */
bool
IsIdle(Tcp::socket& aSocket);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Beast_h
