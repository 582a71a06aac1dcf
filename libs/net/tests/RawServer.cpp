#include "RawServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>
#include <utility>

namespace waxwingyoke::net {

namespace {

// Bounds each wait for a client that neither reads nor closes.
constexpr timeval kSocketTimeout{ 10, 0 };

int
Listen(const Endpoint& aEndpoint)
{
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &native.sin_addr);
  bool listens = ::bind(listener,
                        reinterpret_cast<const sockaddr*>(&native),
                        sizeof(native)) == 0 &&
                 ::listen(listener, SOMAXCONN) == 0;
  if (!listens) {
    ::close(listener);
  }
  return listens ? listener : -1;
}

} // namespace

// Input that is left unread would turn the close into a reset.
bool
RawServer::Peer::ReadRequest()
{
  head_.clear();
  char byte = 0;
  while (!head_.ends_with("\r\n\r\n")) {
    if (::recv(socket_, &byte, 1, 0) != 1) {
      return false;
    }
    head_ += byte;
  }
  for (auto left = ParseBodyBytes(); left > 0; --left) {
    if (::recv(socket_, &byte, 1, 0) != 1) {
      return false;
    }
  }
  return true;
}

std::size_t
RawServer::Peer::ParseBodyBytes() const
{
  constexpr std::string_view kField = "Content-Length: ";
  auto at = head_.find(kField);
  return at == std::string::npos
           ? 0
           : std::strtoull(head_.c_str() + at + kField.size(), nullptr, 10);
}

bool
RawServer::Peer::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    auto count =
      ::send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void
RawServer::Peer::SendWithoutEnd(const std::string& aBytes)
{
  constexpr std::size_t kPartBytes = 64 * 1024;
  std::string part;
  while (part.size() < kPartBytes) {
    part += aBytes;
  }
  for (std::size_t sent = 0; sent < kMaxSent && Send(part);) {
    sent += part.size();
  }
}

void
RawServer::Peer::Reset()
{
  linger reset{ 1, 0 };
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

RawServer::RawServer(const Endpoint& aEndpoint, Script aScript)
  : listener_(Listen(aEndpoint))
  , script_(std::move(aScript))
  , thread_([this] { Run(); })
{
}

RawServer::~RawServer()
{
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
}

void
RawServer::Run()
{
  while (!stopping_) {
    int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    setsockopt(
      socket, SOL_SOCKET, SO_RCVTIMEO, &kSocketTimeout, sizeof(kSocketTimeout));
    setsockopt(
      socket, SOL_SOCKET, SO_SNDTIMEO, &kSocketTimeout, sizeof(kSocketTimeout));
    Peer peer(socket);
    script_(peer);
    ::close(socket);
  }
}

} // namespace waxwingyoke::net
