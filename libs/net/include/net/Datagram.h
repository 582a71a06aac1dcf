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
 * A UDP socket for small notices between our processes. A notice may be
 * lost, repeated or late; whoever sends one repeats what matters.
 */
class DatagramSocket
{
public:
  /** Runs in the receiving fiber and must not suspend for long. */
  using Handler =
    std::function<void(const Endpoint& aFrom, std::string_view aBytes)>;

  /** The most that one datagram carries; below the usual link's MTU. */
  static constexpr std::size_t kMaxBytes = 1400;

  /** Binds and starts to receive; empty with a reason if it can't. */
  static std::unique_ptr<DatagramSocket> Open(Runtime& aRuntime,
                                              const Endpoint& aEndpoint,
                                              Handler aHandler,
                                              utils::Error& aReason);
  ~DatagramSocket();

  /** Sends without waiting; false if the socket would not take it. */
  bool Send(const Endpoint& aPeer, std::string_view aBytes);

private:
  struct Impl;
  explicit DatagramSocket(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Datagram_h
