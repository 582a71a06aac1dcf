#include "Http.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingyoke::review {

namespace {

constexpr std::size_t kPartBytes = 16384;
constexpr int kBacklog = 512;

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](char aOne, char aOther) {
    return std::tolower(static_cast<unsigned char>(aOne)) ==
           std::tolower(static_cast<unsigned char>(aOther));
  });
}

bool
Fill(int aSocket, std::string& aBuffer)
{
  std::string part(kPartBytes, '\0');
  auto got = ::recv(aSocket, part.data(), part.size(), 0);
  if (got <= 0) {
    return false;
  }
  aBuffer.append(part, 0, static_cast<std::size_t>(got));
  return true;
}

bool
TakeBytes(int aSocket,
          std::string& aBuffer,
          std::size_t aCount,
          std::string& aBytes)
{
  while (aBuffer.size() < aCount) {
    if (!Fill(aSocket, aBuffer)) {
      return false;
    }
  }
  aBytes += aBuffer.substr(0, aCount);
  aBuffer.erase(0, aCount);
  return true;
}

bool
TakeLine(int aSocket, std::string& aBuffer, std::string& aLine)
{
  auto end = aBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aSocket, aBuffer)) {
      return false;
    }
    end = aBuffer.find("\r\n");
  }
  aLine = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 2);
  return true;
}

bool
ReadChunks(int aSocket, std::string& aBuffer, std::string& aBody)
{
  constexpr int kHexadecimal = 16;
  std::string line;
  while (TakeLine(aSocket, aBuffer, line)) {
    auto size = std::strtoul(line.c_str(), nullptr, kHexadecimal);
    if (size == 0) {
      return TakeLine(aSocket, aBuffer, line);
    }
    if (!TakeBytes(aSocket, aBuffer, size, aBody) ||
        !TakeLine(aSocket, aBuffer, line)) {
      return false;
    }
  }
  return false;
}

sockaddr_in
MakeAddress(const std::string& aAddress, int aPort)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aAddress.c_str(), &native.sin_addr);
  return native;
}

void
SetNoDelay(int aSocket)
{
  int one = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

} // namespace

std::string
Message::Find(std::string_view aName) const
{
  auto row = std::ranges::find_if(fields, [aName](const auto& aField) {
    return EqualsIgnoringCase(aField.first, aName);
  });
  return row == fields.end() ? std::string() : row->second;
}

std::string
Message::GetMethod() const
{
  return start.substr(0, start.find(' '));
}

std::string
Message::GetTarget() const
{
  auto from = start.find(' ');
  if (from == std::string::npos) {
    return {};
  }
  return start.substr(from + 1, start.find(' ', from + 1) - from - 1);
}

std::string
Message::GetPath() const
{
  auto target = GetTarget();
  return target.substr(0, target.find('?'));
}

std::string
Message::FindQuery(std::string_view aName) const
{
  auto target = GetTarget();
  auto mark = target.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string query = "&" + target.substr(mark + 1);
  auto from = query.find("&" + std::string(aName) + "=");
  if (from == std::string::npos) {
    return {};
  }
  from += aName.size() + 2;
  return query.substr(from, query.find('&', from) - from);
}

int
Message::GetStatus() const
{
  return start.starts_with("HTTP/") ? std::atoi(GetTarget().c_str()) : 0;
}

std::optional<Message>
ReadMessage(int aSocket, std::string& aBuffer)
{
  Message message;
  std::string line;
  if (!TakeLine(aSocket, aBuffer, message.start)) {
    return std::nullopt;
  }
  while (true) {
    if (!TakeLine(aSocket, aBuffer, line)) {
      return std::nullopt;
    }
    if (line.empty()) {
      break;
    }
    auto colon = line.find(':');
    auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    message.fields.emplace_back(line.substr(0, colon), value);
  }
  bool isRead = true;
  if (EqualsIgnoringCase(message.Find("Transfer-Encoding"), "chunked")) {
    isRead = ReadChunks(aSocket, aBuffer, message.body);
  } else {
    auto length =
      std::strtoul(message.Find("Content-Length").c_str(), nullptr, 10);
    isRead = TakeBytes(aSocket, aBuffer, length, message.body);
  }
  return isRead ? std::optional(std::move(message)) : std::nullopt;
}

bool
SendAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto sent = ::send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string
MakeResponse(int aStatus, const Fields& aFields, std::string_view aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aFields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  text += aBody;
  return text;
}

int
Connect(const std::string& aAddress, int aPort)
{
  int handle = ::socket(AF_INET, SOCK_STREAM, 0);
  if (handle < 0) {
    return -1;
  }
  timeval limit{ 1, 0 };
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  auto native = MakeAddress(aAddress, aPort);
  if (::connect(handle, reinterpret_cast<sockaddr*>(&native), sizeof(native)) !=
      0) {
    ::close(handle);
    return -1;
  }
  SetNoDelay(handle);
  return handle;
}

void
SetReadTimeout(int aSocket, Millis aTime)
{
  constexpr std::int64_t kThousand = 1000;
  timeval limit{ aTime.count() / kThousand,
                 aTime.count() % kThousand * kThousand };
  setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

Channel::Channel(std::string aAddress, int aPort)
  : address_(std::move(aAddress))
  , port_(aPort)
{
}

Channel::~Channel()
{
  Close();
}

void
Channel::Close()
{
  if (socket_ >= 0) {
    ::close(socket_);
    socket_ = -1;
  }
  buffer_.clear();
}

std::optional<Message>
Channel::Call(std::string_view aRequest, Millis aTimeout)
{
  if (socket_ < 0) {
    socket_ = Connect(address_, port_);
  }
  if (socket_ < 0) {
    return std::nullopt;
  }
  SetReadTimeout(socket_, aTimeout);
  std::optional<Message> answer;
  if (SendAll(socket_, aRequest)) {
    answer = ReadMessage(socket_, buffer_);
  }
  if (!answer || EqualsIgnoringCase(answer->Find("Connection"), "close")) {
    Close();
  }
  return answer;
}

bool
Server::Start(const std::string& aAddress, int aPort, Handler aHandler)
{
  handler_ = std::move(aHandler);
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  int one = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto native = MakeAddress(aAddress, aPort);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&native), sizeof(native)) !=
        0 ||
      ::listen(listener_, kBacklog) != 0) {
    return false;
  }
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

void
Server::Accept()
{
  while (!stopped_) {
    int handle = ::accept(listener_, nullptr, nullptr);
    if (handle < 0) {
      continue;
    }
    std::scoped_lock lock(mutex_);
    if (stopped_) {
      ::close(handle);
      return;
    }
    SetNoDelay(handle);
    sockets_.insert(handle);
    ++threads_;
    std::thread([this, handle] { Serve(handle); }).detach();
  }
}

void
Server::Serve(int aSocket)
{
  std::string buffer;
  auto request = ReadMessage(aSocket, buffer);
  while (request && !stopped_ && handler_(aSocket, *request)) {
    request = ReadMessage(aSocket, buffer);
  }
  {
    std::scoped_lock lock(mutex_);
    sockets_.erase(aSocket);
    ::close(aSocket);
  }
  --threads_;
}

void
Server::End()
{
  if (listener_ < 0 || stopped_.exchange(true)) {
    return;
  }
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  {
    // Ends pending reads; their threads close the sockets.
    std::scoped_lock lock(mutex_);
    for (int handle : sockets_) {
      ::shutdown(handle, SHUT_RD);
    }
  }
  while (threads_ > 0) {
    std::this_thread::sleep_for(Millis(1));
  }
}

} // namespace waxwingyoke::review
