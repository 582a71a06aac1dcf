#include <net/Endpoint.h>

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace waxwingyoke::net {

namespace {

// The conversion ends at a NUL byte, so one is excluded first.
bool
IsIpAddress(std::string_view aText)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(aText), error);
  return !error && aText.find('\0') == std::string_view::npos;
}

} // namespace

std::string
Endpoint::ToString() const
{
  return address + ":" + std::to_string(port);
}

std::optional<Endpoint>
Endpoint::Parse(std::string_view aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsIpAddress(aText.substr(0, colon))) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = aText.substr(0, colon);
  auto digits = aText.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  auto result = std::from_chars(digits.data(), end, endpoint.port);
  if (result.ec != std::errc() || result.ptr != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

} // namespace waxwingyoke::net
