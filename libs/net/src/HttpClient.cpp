#include <net/HttpClient.h>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include <net/Runtime.h>

#include "Await.h"
#include "Beast.h"
#include "RuntimeImpl.h"
#include "Traffic.h"

namespace waxwingyoke::net {

namespace {

using Stream = beast::tcp_stream;
using utils::ErrorKind;

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMaxIdlePerPeer = 64;
// Below the server's idle timeout, so that it seldom closes first.
constexpr utils::Millis kMaxIdleTime(15000);

struct Connection
{
  explicit Connection(asio::io_context& aIo)
    : stream(aIo)
  {
  }

  Stream stream;
  beast::flat_buffer buffer;
  bool reused = false;
  utils::Millis idleSince;
};

using Idle = std::map<Endpoint, std::vector<std::unique_ptr<Connection>>>;

// Kept connections belong to the thread whose loop they are bound to.
Idle&
GetIdle()
{
  thread_local Idle tIdle;
  return tIdle;
}

void
SetIoError(beast::error_code aError, const char* aStep, utils::Error& aReason)
{
  auto kind = aError == beast::error::timeout ? ErrorKind::TimedOut
                                              : ErrorKind::ConnectionLost;
  aReason.Set(kind, std::string(aStep) + ": " + aError.message());
}

std::unique_ptr<Connection>
TakeIdle(const Endpoint& aPeer, utils::Millis aNow)
{
  auto& idle = GetIdle()[aPeer];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    bool fresh = aNow - connection->idleSince < kMaxIdleTime;
    if (fresh && !IsClosedByPeer(connection->stream.socket())) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

void
KeepIdle(const Endpoint& aPeer, std::unique_ptr<Connection> aConnection)
{
  auto& idle = GetIdle()[aPeer];
  if (idle.size() < kMaxIdlePerPeer) {
    aConnection->stream.expires_never();
    aConnection->idleSince = utils::Clock().Now();
    idle.push_back(std::move(aConnection));
  }
}

// The port is left to connect, or a busy process would run out of ports
// long before it has a connection to each peer from each of them.
void
BindTo(Tcp::socket& aSocket,
       const std::string& aAddress,
       beast::error_code& aError)
{
  auto address = asio::ip::make_address(aAddress, aError);
  if (aError || address.is_unspecified()) {
    return;
  }
  Tcp::endpoint native(address, 0);
  aSocket.open(native.protocol(), aError);
  if (!aError) {
    int one = 1;
    setsockopt(aSocket.native_handle(),
               IPPROTO_IP,
               IP_BIND_ADDRESS_NO_PORT,
               &one,
               sizeof(one));
    aSocket.bind(native, aError);
  }
}

std::unique_ptr<Connection>
Connect(const std::string& aLocalAddress,
        const Endpoint& aPeer,
        utils::Millis aTimeout,
        utils::Error& aReason)
{
  beast::error_code error;
  auto address = asio::ip::make_address(aPeer.address, error);
  auto connection = std::make_unique<Connection>(GetThreadIo());
  if (!error && !aLocalAddress.empty()) {
    BindTo(connection->stream.socket(), aLocalAddress, error);
  }
  if (!error) {
    connection->stream.expires_after(aTimeout.ToChrono());
    Tcp::endpoint native(address, aPeer.port);
    error = Await([&](auto aHandler) {
              connection->stream.async_connect(native, std::move(aHandler));
            }).error;
  }
  if (error) {
    aReason.Set(ErrorKind::ConnectFailed,
                aPeer.ToString() + ": " + error.message());
    return nullptr;
  }
  connection->stream.socket().set_option(Tcp::no_delay(true), error);
  return connection;
}

http::request<http::string_body>
MakeMessage(const Endpoint& aPeer, const HttpRequest& aRequest)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  CopyFields(aRequest.fields, message);
  message.set(http::field::host, aPeer.ToString());
  message.body() = aRequest.body;
  message.prepare_payload();
  return message;
}

} // namespace

struct ResponseStream::Impl
{
  Endpoint peer;
  std::unique_ptr<Connection> connection;
  http::response_parser<http::buffer_body> parser;
  HttpFields fields;
  bool failed = false;
};

ResponseStream::ResponseStream(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

ResponseStream::~ResponseStream()
{
  if (impl_->parser.is_done() && !impl_->failed &&
      impl_->parser.get().keep_alive()) {
    KeepIdle(impl_->peer, std::move(impl_->connection));
  }
}

int
ResponseStream::GetStatus() const
{
  return static_cast<int>(impl_->parser.get().result_int());
}

const HttpFields&
ResponseStream::GetFields() const
{
  return impl_->fields;
}

ReadResult
ResponseStream::Read(std::string& aPart,
                     utils::Millis aTimeout,
                     utils::Error& aReason)
{
  aPart.clear();
  if (impl_->parser.is_done()) {
    return ReadResult::End;
  }
  auto& connection = *impl_->connection;
  aPart.resize(kReadBytes);
  auto& body = impl_->parser.get().body();
  body.data = aPart.data();
  body.size = aPart.size();
  connection.stream.expires_after(aTimeout.ToChrono());
  auto result = Await([&](auto aHandler) {
    http::async_read_some(
      connection.stream, connection.buffer, impl_->parser, std::move(aHandler));
  });
  Traffic::Get().received.Add(result.bytes);
  aPart.resize(kReadBytes - body.size);
  if (result.error && result.error != http::error::need_buffer) {
    impl_->failed = true;
    SetIoError(result.error, "body", aReason);
    return ReadResult::Failed;
  }
  if (aPart.empty() && impl_->parser.is_done()) {
    return ReadResult::End;
  }
  return ReadResult::Data;
}

void
ResponseStream::Cancel()
{
  if (impl_->connection) {
    impl_->connection->stream.cancel();
  }
}

struct HttpClient::Impl
{
  std::string localAddress;

  std::unique_ptr<ResponseStream::Impl> Exchange(
    const Endpoint& aPeer,
    std::unique_ptr<Connection> aConnection,
    http::request<http::string_body>& aMessage,
    const CallTimeouts& aTimeouts,
    utils::Error& aReason);
};

std::unique_ptr<ResponseStream::Impl>
HttpClient::Impl::Exchange(const Endpoint& aPeer,
                           std::unique_ptr<Connection> aConnection,
                           http::request<http::string_body>& aMessage,
                           const CallTimeouts& aTimeouts,
                           utils::Error& aReason)
{
  auto answer = std::make_unique<ResponseStream::Impl>();
  answer->peer = aPeer;
  answer->connection = std::move(aConnection);
  answer->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  auto& connection = *answer->connection;
  connection.stream.expires_after(aTimeouts.head.ToChrono());
  auto result = Await([&](auto aHandler) {
    http::async_write(connection.stream, aMessage, std::move(aHandler));
  });
  Traffic::Get().sent.Add(result.bytes);
  if (!result.error) {
    result = Await([&](auto aHandler) {
      http::async_read_header(connection.stream,
                              connection.buffer,
                              answer->parser,
                              std::move(aHandler));
    });
    Traffic::Get().received.Add(result.bytes);
  }
  if (result.error) {
    SetIoError(result.error, "exchange", aReason);
    return nullptr;
  }
  answer->fields = ReadFields(answer->parser.get());
  return answer;
}

HttpClient::HttpClient(std::string aLocalAddress)
  : impl_(std::make_unique<Impl>())
{
  impl_->localAddress = std::move(aLocalAddress);
}

HttpClient::~HttpClient() = default;

std::unique_ptr<ResponseStream>
HttpClient::Open(const Endpoint& aPeer,
                 const HttpRequest& aRequest,
                 const CallTimeouts& aTimeouts,
                 utils::Error& aReason)
{
  auto message = MakeMessage(aPeer, aRequest);
  auto connection = TakeIdle(aPeer, utils::Clock().Now());
  bool reused = connection != nullptr;
  if (!connection) {
    connection =
      Connect(impl_->localAddress, aPeer, aTimeouts.connect, aReason);
  }
  if (!connection) {
    return nullptr;
  }
  auto answer =
    impl_->Exchange(aPeer, std::move(connection), message, aTimeouts, aReason);
  bool repeat = !answer && reused && aRequest.method == "GET" &&
                aReason.kind == ErrorKind::ConnectionLost;
  if (repeat) {
    connection =
      Connect(impl_->localAddress, aPeer, aTimeouts.connect, aReason);
    if (!connection) {
      return nullptr;
    }
    answer = impl_->Exchange(
      aPeer, std::move(connection), message, aTimeouts, aReason);
  }
  if (!answer) {
    return nullptr;
  }
  return std::make_unique<ResponseStream>(std::move(answer));
}

std::optional<HttpResponse>
HttpClient::Call(const Endpoint& aPeer,
                 const HttpRequest& aRequest,
                 const CallTimeouts& aTimeouts,
                 utils::Error& aReason)
{
  auto stream = Open(aPeer, aRequest, aTimeouts, aReason);
  if (!stream) {
    return std::nullopt;
  }
  HttpResponse response;
  response.status = stream->GetStatus();
  response.fields = stream->GetFields();
  utils::Clock clock;
  auto deadline = clock.Now() + aTimeouts.body;
  std::string part;
  while (true) {
    auto left = std::max(deadline - clock.Now(), utils::Millis(1));
    switch (stream->Read(part, left, aReason)) {
      case ReadResult::Data:
        if (response.body.size() + part.size() > kMaxBodyBytes) {
          aReason.Set(ErrorKind::TooLarge,
                      aPeer.ToString() + " sends too much");
          return std::nullopt;
        }
        response.body += part;
        break;
      case ReadResult::End:
        return response;
      case ReadResult::Failed:
        return std::nullopt;
    }
  }
}

} // namespace waxwingyoke::net
