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

/** A caller without manners: bytes as they are, no HTTP. */
class RawSocket
{
public:
  explicit RawSocket(const net::Endpoint& aPeer)
    : number_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    constexpr timeval kTimeout{ 0, 200000 };
    setsockopt(number_, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
    setsockopt(number_, SOL_SOCKET, SO_SNDTIMEO, &kTimeout, sizeof(kTimeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPeer.port);
    inet_pton(AF_INET, aPeer.address.c_str(), &address.sin_addr);
    const auto* plain = reinterpret_cast<const sockaddr*>(&address);
    connected_ = connect(number_, plain, sizeof(address)) == 0;
  }

  ~RawSocket() { close(number_); }

  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  bool IsConnected() const { return connected_; }

  /** False once the peer takes no more. */
  bool Send(const std::string& aBytes) const
  {
    return send(number_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) > 0;
  }

  void EndSending() const { shutdown(number_, SHUT_WR); }

  /** What comes first, up to a few kilobytes; empty if nothing does. */
  std::string Receive() const
  {
    std::string bytes(4096, '\0');
    auto got = recv(number_, bytes.data(), bytes.size(), 0);
    bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return bytes;
  }

private:
  int number_;
  bool connected_ = false;
};

} // namespace waxwingyoke::tests

#endif // waxwingyoke_tests_RawSocket_h
