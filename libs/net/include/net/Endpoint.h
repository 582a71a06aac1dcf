#ifndef waxwingyoke_net_Endpoint_h
#define waxwingyoke_net_Endpoint_h

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingyoke::net {

/** An IP address and a port. */
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  /** "address:port". */
  std::string ToString() const;

  /** Parses "address:port" with a non-zero port; empty for anything else. */
  static std::optional<Endpoint> Parse(std::string_view aText);
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Endpoint_h
