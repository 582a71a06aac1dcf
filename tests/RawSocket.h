#ifndef waxwingyoke_tests_RawSocket_h
#define waxwingyoke_tests_RawSocket_h

#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <net/Endpoint.h>

namespace waxwingyoke::tests {

/** A blocking TCP client that sends raw bytes, without HTTP. Sending and
 * receiving time out after 200 ms. */
class RawSocket
{
public:
  explicit RawSocket(const net::Endpoint& aPeer)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    constexpr timeval kTimeout{ 0, 200000 };
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &kTimeout, sizeof(kTimeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPeer.port);
    inet_pton(AF_INET, aPeer.address.c_str(), &address.sin_addr);
    const auto* genericAddress = reinterpret_cast<const sockaddr*>(&address);
    connected_ = connect(socket_, genericAddress, sizeof(address)) == 0;
  }

  ~RawSocket() { close(socket_); }

  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  bool IsConnected() const { return connected_; }

  /** False if nothing was sent: the peer has closed or reads no more. */
  bool Send(const std::string& aBytes) const
  {
    return send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) > 0;
  }

  void EndSending() const { shutdown(socket_, SHUT_WR); }

  /** The first bytes received, at most 4 KiB; empty if there are none. */
  std::string Receive() const
  {
    std::string bytes(4096, '\0');
    auto received = recv(socket_, bytes.data(), bytes.size(), 0);
    bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    return bytes;
  }

private:
  int socket_;
  bool connected_ = false;
};

} // namespace waxwingyoke::tests

#endif // waxwingyoke_tests_RawSocket_h
