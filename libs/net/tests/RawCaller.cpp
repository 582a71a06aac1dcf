#include "RawCaller.h"

#include <cerrno>
#include <limits>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <net/Runtime.h>

namespace waxwingyoke::net {

namespace {

constexpr utils::Millis kPollInterval(5);

} // namespace

RawCaller::RawCaller(const Endpoint& aPeer, int aReceiveBytes)
  : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  if (aReceiveBytes > 0) {
    setsockopt(
      socket_, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aPeer.port);
  inet_pton(AF_INET, aPeer.address.c_str(), &native.sin_addr);
  connected_ = ::connect(socket_,
                         reinterpret_cast<const sockaddr*>(&native),
                         sizeof(native)) == 0;
}

RawCaller::~RawCaller()
{
  ::close(socket_);
}

bool
RawCaller::Send(const std::string& aBytes)
{
  auto sent = ::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(aBytes.size());
}

void
RawCaller::HalfClose()
{
  ::shutdown(socket_, SHUT_WR);
}

bool
RawCaller::IsAtEnd()
{
  char byte = 0;
  auto count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN);
}

std::optional<std::string>
RawCaller::ReadSome()
{
  constexpr std::size_t kPartBytes = 4096;
  std::string part(kPartBytes, '\0');
  auto count = ::recv(socket_, part.data(), part.size(), MSG_DONTWAIT);
  if (count < 0 && errno == EAGAIN) {
    return "";
  }
  reset_ = reset_ || (count < 0 && errno == ECONNRESET);
  if (count <= 0) {
    return std::nullopt;
  }
  part.resize(static_cast<std::size_t>(count));
  return part;
}

std::string
RawCaller::ReadToEnd(utils::Millis aTime)
{
  return ReadBytes(std::numeric_limits<std::size_t>::max(), aTime);
}

std::string
RawCaller::ReadBytes(std::size_t aSize, utils::Millis aTime)
{
  std::string received;
  utils::Clock clock;
  auto end = clock.Now() + aTime;
  while (received.size() < aSize && clock.Now() < end) {
    auto part = ReadSome();
    if (!part) {
      break;
    }
    received += *part;
    if (part->empty()) {
      Runtime::Sleep(kPollInterval);
    }
  }
  return received;
}

} // namespace waxwingyoke::net
