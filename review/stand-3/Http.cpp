#include "Http.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t kServerReadMs = 120000;
constexpr std::size_t kPartBytes = 16384;

sockaddr_in
MakeNative(const Address& aAddress)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &native.sin_addr);
  return native;
}

bool
AwaitReady(int aSocket, short aEvents, std::int64_t aUntil)
{
  pollfd row{ aSocket, aEvents, 0 };
  auto left = std::max<std::int64_t>(aUntil - NowMs(), 0);
  return ::poll(&row, 1, static_cast<int>(left)) > 0;
}

void
SetNoDelay(int aSocket)
{
  int one = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + ('a' - 'A'))
                                        : aChar;
  });
  return aText;
}

void
ParseFirstLine(const std::string& aLine, Message& aMessage)
{
  auto first = aLine.find(' ');
  auto second = aLine.find(' ', first + 1);
  aMessage.method = aLine.substr(0, first);
  aMessage.target = aLine.substr(first + 1, second - first - 1);
  if (aLine.starts_with("HTTP/")) {
    aMessage.status = std::atoi(aMessage.target.c_str());
  }
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

std::string
Message::Find(const std::string& aName) const
{
  auto row = fields.find(ToLower(aName));
  return row == fields.end() ? std::string() : row->second;
}

std::string
Message::FindQuery(const std::string& aName) const
{
  auto mark = target.find('?');
  auto query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
  auto at = query.find("&" + aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  auto from = at + aName.size() + 2;
  return query.substr(from, query.find('&', from) - from);
}

Connection::~Connection()
{
  ::close(socket_);
}

std::unique_ptr<Connection>
Connection::Open(const Address& aPeer, std::int64_t aTimeout)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(socket);
  auto native = MakeNative(aPeer);
  auto flags = ::fcntl(socket, F_GETFL);
  ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  auto* generic = reinterpret_cast<sockaddr*>(&native);
  int failed = ::connect(socket, generic, sizeof(native));
  int error = failed != 0 ? errno : 0;
  if (error == EINPROGRESS && AwaitReady(socket, POLLOUT, NowMs() + aTimeout)) {
    socklen_t size = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  ::fcntl(socket, F_SETFL, flags);
  SetNoDelay(socket);
  return error == 0 ? std::move(connection) : nullptr;
}

bool
Connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto sent = ::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
Connection::Fill(std::int64_t aUntil)
{
  std::array<char, kPartBytes> part{};
  if (!AwaitReady(socket_, POLLIN, aUntil)) {
    return false;
  }
  auto got = ::recv(socket_, part.data(), part.size(), 0);
  if (got > 0) {
    rest_.append(part.data(), static_cast<std::size_t>(got));
  }
  return got > 0;
}

bool
Connection::ReadLine(std::string& aLine, std::int64_t aUntil)
{
  auto end = rest_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return false;
    }
    end = rest_.find("\r\n");
  }
  aLine = rest_.substr(0, end);
  rest_.erase(0, end + 2);
  return true;
}

bool
Connection::ReadBytes(std::string& aBytes,
                      std::size_t aCount,
                      std::int64_t aUntil)
{
  while (rest_.size() < aCount) {
    if (!Fill(aUntil)) {
      return false;
    }
  }
  aBytes += rest_.substr(0, aCount);
  rest_.erase(0, aCount);
  return true;
}

bool
Connection::ReadChunks(std::string& aBody, std::int64_t aUntil)
{
  constexpr int kHexadecimal = 16;
  std::string line;
  while (ReadLine(line, aUntil)) {
    auto size = std::strtoull(line.c_str(), nullptr, kHexadecimal);
    if (size == 0) {
      return ReadLine(line, aUntil);
    }
    if (!ReadBytes(aBody, size, aUntil) || !ReadLine(line, aUntil)) {
      return false;
    }
  }
  return false;
}

bool
Connection::Read(Message& aMessage, std::int64_t aTimeout)
{
  auto until = NowMs() + aTimeout;
  aMessage = {};
  std::string line;
  if (!ReadLine(line, until)) {
    return false;
  }
  ParseFirstLine(line, aMessage);
  while (ReadLine(line, until)) {
    if (line.empty()) {
      break;
    }
    auto colon = line.find(':');
    auto from = line.find_first_not_of(' ', colon + 1);
    aMessage.fields[ToLower(line.substr(0, colon))] =
      from == std::string::npos ? "" : line.substr(from);
  }
  if (!line.empty()) {
    return false;
  }
  if (aMessage.Find("Transfer-Encoding") == "chunked") {
    return ReadChunks(aMessage.body, until);
  }
  auto length = aMessage.Find("Content-Length");
  return ReadBytes(
    aMessage.body, std::strtoull(length.c_str(), nullptr, 10), until);
}

bool
Connection::Answer(int aStatus,
                   const std::string& aFields,
                   std::string_view aBody)
{
  auto head = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
              "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return Write(head.append(aBody));
}

bool
Connection::IsClosedByPeer() const
{
  pollfd row{ socket_, POLLRDHUP, 0 };
  return ::poll(&row, 1, 0) > 0;
}

std::string
Connection::TakeRest(std::int64_t aTimeout)
{
  auto until = NowMs() + aTimeout;
  while (NowMs() < until && Fill(until)) {
  }
  return std::exchange(rest_, {});
}

Server::Server(Address aAddress, Handler aHandler)
  : address_(std::move(aAddress))
  , handler_(std::move(aHandler))
{
}

Server::~Server()
{
  constexpr std::int64_t kPollMs = 5;
  Crash();
  while (threads_ > 0) {
    SleepMs(kPollMs);
  }
}

bool
Server::Start()
{
  constexpr int kBacklog = 512;
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto native = MakeNative(address_);
  auto* generic = reinterpret_cast<sockaddr*>(&native);
  if (::bind(listener, generic, sizeof(native)) != 0 ||
      ::listen(listener, kBacklog) != 0) {
    ::close(listener);
    return false;
  }
  {
    std::scoped_lock lock(mutex_);
    listener_ = listener;
  }
  ++threads_;
  std::thread([this, listener] {
    AcceptLoop(listener);
    --threads_;
  }).detach();
  return true;
}

void
Server::AcceptLoop(int aListener)
{
  while (true) {
    int socket = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      break;
    }
    SetNoDelay(socket);
    std::scoped_lock lock(mutex_);
    if (listener_ != aListener) {
      ::close(socket);
      break;
    }
    sockets_.insert(socket);
    ++threads_;
    std::thread([this, socket] {
      Serve(socket);
      --threads_;
    }).detach();
  }
  ::close(aListener);
}

void
Server::Serve(int aSocket)
{
  Connection connection(aSocket);
  Message request;
  while (connection.Read(request, kServerReadMs)) {
    handler_(request, connection);
  }
  std::scoped_lock lock(mutex_);
  sockets_.erase(aSocket);
}

void
Server::Crash()
{
  std::scoped_lock lock(mutex_);
  if (listener_ >= 0) {
    ::shutdown(std::exchange(listener_, -1), SHUT_RDWR);
  }
  for (int socket : sockets_) {
    linger reset{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(socket, SHUT_RDWR);
  }
}

} // namespace review
