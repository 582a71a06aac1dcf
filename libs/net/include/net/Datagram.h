#ifndef waxwingyoke_net_Datagram_h
#define waxwingyoke_net_Datagram_h

#include <functional>
#include <memory>
#include <string_view>

#include <net/Endpoint.h>
#include <net/Runtime.h>
#include <utils/Error.h>

namespace waxwingyoke::net {

/**
 * A UDP socket for small notices between the system's processes. A notice
 * may be lost, duplicated or delayed; its sender must repeat it if it has to
 * arrive.
 */
class DatagramSocket
{
public:
  /** Called in the receiving fiber. Must not suspend for long, since that
   * delays the next datagram. */
  using Handler =
    std::function<void(const Endpoint& aFrom, std::string_view aBytes)>;

  /** Largest payload of a datagram; below the usual MTU of a link. */
  static constexpr std::size_t kMaxBytes = 1400;

  /** Binds and starts receiving; null with a reason on failure. */
  static std::unique_ptr<DatagramSocket> Open(Runtime& aRuntime,
                                              const Endpoint& aEndpoint,
                                              Handler aHandler,
                                              utils::Error& aReason);
  ~DatagramSocket();

  /** Sends without waiting; false if the socket did not accept it. */
  bool Send(const Endpoint& aPeer, std::string_view aBytes);

private:
  struct Impl;
  explicit DatagramSocket(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Datagram_h
