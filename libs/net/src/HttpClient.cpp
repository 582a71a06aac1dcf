#include <net/HttpClient.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include <net/Runtime.h>

#include "Await.h"
#include "Beast.h"
#include "RuntimeImpl.h"
#include "Traffic.h"

namespace waxwingyoke::net {

namespace {

using Stream = beast::tcp_stream;
using utils::ErrorKind;

// Small, since the buffer is cleared for each read and most parts are small
// events.
constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kMaxIdlePerPeer = 64;
// Shorter than the server's idle timeout, so that the server rarely closes
// first.
constexpr utils::Millis kMaxIdleTime(15000);
// Fraction of the peer's announced keep-alive timeout for which an idle
// connection is reused, so that a request does not cross the peer's close.
constexpr double kKeepAliveShare = 0.8;
// The most responses to other requests that one call discards.
constexpr int kMaxSkippedResponses = 2;
// Bytes of a connection that are read but not parsed yet. Bounds parts of a
// message that the parser needs in one piece, such as the line before a chunk.
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;
// Interim responses (1xx) that may come before the response to one request.
constexpr int kMaxInterimResponses = 8;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;

struct Connection
{
  explicit Connection(asio::io_context& aIo)
    : stream(aIo)
  {
  }

  Stream stream;
  beast::flat_buffer buffer{ kMaxBufferedBytes };
  bool reused = false;
  utils::Millis idleSince;
  utils::Millis maxIdle = kMaxIdleTime;
};

using Idle = std::map<Endpoint, std::vector<std::unique_ptr<Connection>>>;

// Idle connections are kept per thread, as each is bound to its thread's loop.
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
    bool fresh = aNow - connection->idleSince < connection->maxIdle;
    // Unsolicited bytes would be read as the response to the next request.
    if (fresh && IsIdle(connection->stream.socket())) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

// Reads "timeout=5" of the field Keep-Alive; the default if it has none.
utils::Millis
ReadMaxIdle(std::string_view aKeepAlive)
{
  constexpr std::string_view kTimeout = "timeout=";
  auto at = aKeepAlive.find(kTimeout);
  if (at == std::string_view::npos) {
    return kMaxIdleTime;
  }
  std::string digits(aKeepAlive.substr(at + kTimeout.size()));
  auto seconds = std::strtoul(digits.c_str(), nullptr, 10);
  auto kept = static_cast<std::int64_t>(seconds * 1000 * kKeepAliveShare);
  return std::min(utils::Millis(kept), kMaxIdleTime);
}

void
KeepIdle(const Endpoint& aPeer, std::unique_ptr<Connection> aConnection)
{
  auto& idle = GetIdle()[aPeer];
  bool clean = aConnection->buffer.size() == 0;
  if (clean && idle.size() < kMaxIdlePerPeer) {
    aConnection->stream.expires_never();
    aConnection->idleSince = utils::Clock().Now();
    idle.push_back(std::move(aConnection));
  }
}

// Binds the address alone and leaves the port to connect, which can use one
// local port for several peers. Ports reserved by bind would run out early in
// a busy process.
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

// The local address of a connection and when it counts as broken.
struct ConnectSettings
{
  std::string localAddress;
  utils::Millis unacknowledgedLimit;
};

void
SetUserTimeout(Tcp::socket& aSocket, utils::Millis aLimit)
{
  if (aLimit == utils::Millis(0)) {
    return;
  }
  auto milliseconds = static_cast<unsigned>(aLimit.value);
  setsockopt(aSocket.native_handle(),
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &milliseconds,
             sizeof(milliseconds));
}

std::unique_ptr<Connection>
Connect(const ConnectSettings& aSettings,
        const Endpoint& aPeer,
        utils::Millis aTimeout,
        utils::Error& aReason,
        CallCanceller* aCanceller = nullptr,
        const std::function<void(Stream&)>& aOnStart = {})
{
  const auto& aLocalAddress = aSettings.localAddress;
  beast::error_code error;
  auto address = asio::ip::make_address(aPeer.address, error);
  auto connection = std::make_unique<Connection>(GetThreadIo());
  if (aOnStart) {
    aOnStart(connection->stream);
  }
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
  if (!error && aCanceller != nullptr && aCanceller->IsCancelled()) {
    error = asio::error::operation_aborted;
  }
  if (error) {
    aReason.Set(ErrorKind::ConnectFailed,
                aPeer.ToString() + ": " + error.message());
    return nullptr;
  }
  connection->stream.socket().set_option(Tcp::no_delay(true), error);
  SetUserTimeout(connection->stream.socket(), aSettings.unacknowledgedLimit);
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
  // A forwarded request keeps its caller's Host.
  if (aRequest.fields.Find("Host").empty()) {
    message.set(http::field::host, aPeer.ToString());
  }
  message.body() = aRequest.body;
  message.prepare_payload();
  return message;
}

struct FramingName
{
  BodyFraming framing;
  std::string_view name;
};

constexpr std::array<FramingName, 3> kFramingNames{ {
  { BodyFraming::Length, "length" },
  { BodyFraming::Chunks, "chunks" },
  { BodyFraming::Close, "close" },
} };

} // namespace

std::string_view
GetName(BodyFraming aFraming)
{
  return std::ranges::find(kFramingNames, aFraming, &FramingName::framing)
    ->name;
}

struct ResponseStream::Impl
{
  Endpoint peer;
  std::unique_ptr<Connection> connection;
  std::optional<http::response_parser<http::buffer_body>> parser;
  HttpFields fields;
  bool failed = false;
  bool keepConnection = true;
  /** The response has no body, whatever its header states. */
  bool isToHead = false;

  /** Reads the header of the next final response on the connection. */
  IoResult ReadHead();
  /** The same, also if the response is an interim one (1xx). */
  IoResult ReadAnyHead();
  bool IsInterim() const;
  /** Reads and discards the body of the response whose header was read. */
  IoResult SkipBody();
};

bool
ResponseStream::Impl::IsInterim() const
{
  auto status = parser->get().result_int();
  return status < kFirstFinalStatus && status != kSwitchingProtocols;
}

IoResult
ResponseStream::Impl::ReadHead()
{
  auto result = ReadAnyHead();
  for (int interim = 0; !result.error && IsInterim(); ++interim) {
    if (interim == kMaxInterimResponses) {
      result.error = http::make_error_code(http::error::bad_status);
      break;
    }
    result = ReadAnyHead();
  }
  return result;
}

IoResult
ResponseStream::Impl::ReadAnyHead()
{
  parser.emplace();
  parser->skip(isToHead);
  parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  auto result = Await([&](auto aHandler) {
    http::async_read_header(
      connection->stream, connection->buffer, *parser, std::move(aHandler));
  });
  Traffic::Get().received.Add(result.bytes);
  if (!result.error) {
    fields = ReadFields(parser->get());
  }
  return result;
}

IoResult
ResponseStream::Impl::SkipBody()
{
  IoResult result;
  std::string scratch(kReadBytes, '\0');
  while (!result.error && !parser->is_done()) {
    parser->get().body().data = scratch.data();
    parser->get().body().size = scratch.size();
    result = Await([&](auto aHandler) {
      http::async_read_some(
        connection->stream, connection->buffer, *parser, std::move(aHandler));
    });
    if (result.error == http::error::need_buffer) {
      result.error = {};
    }
  }
  return result;
}

ResponseStream::ResponseStream(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

ResponseStream::~ResponseStream()
{
  if (impl_->parser->is_done() && !impl_->failed && impl_->keepConnection &&
      impl_->parser->get().keep_alive()) {
    impl_->connection->maxIdle = ReadMaxIdle(impl_->fields.Find("Keep-Alive"));
    KeepIdle(impl_->peer, std::move(impl_->connection));
  }
}

BodyFraming
ResponseStream::GetFraming() const
{
  if (impl_->parser->need_eof()) {
    return BodyFraming::Close;
  }
  return impl_->parser->chunked() ? BodyFraming::Chunks : BodyFraming::Length;
}

int
ResponseStream::GetStatus() const
{
  return static_cast<int>(impl_->parser->get().result_int());
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
  if (impl_->parser->is_done()) {
    return ReadResult::End;
  }
  auto& connection = *impl_->connection;
  aPart.resize(kReadBytes);
  auto& body = impl_->parser->get().body();
  body.data = aPart.data();
  body.size = aPart.size();
  connection.stream.expires_after(aTimeout.ToChrono());
  auto result = Await([&](auto aHandler) {
    http::async_read_some(connection.stream,
                          connection.buffer,
                          *impl_->parser,
                          std::move(aHandler));
  });
  Traffic::Get().received.Add(result.bytes);
  aPart.resize(kReadBytes - body.size);
  if (result.error && result.error != http::error::need_buffer) {
    impl_->failed = true;
    SetIoError(result.error, "body", aReason);
    return ReadResult::Failed;
  }
  if (aPart.empty() && impl_->parser->is_done()) {
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

void
CallCanceller::Cancel()
{
  cancelled_ = true;
  if (cancelRunning_) {
    cancelRunning_();
  }
}

struct HttpClient::Impl
{
  ConnectSettings connect;

  /**
   * Sends the request on aConnection and reads the header of its response.
   * Discards responses to other requests, such as a second one to the
   * connection's last request.
   */
  std::unique_ptr<ResponseStream::Impl> Exchange(
    const Endpoint& aPeer,
    std::unique_ptr<Connection> aConnection,
    http::request<http::string_body>& aMessage,
    const CallTimeouts& aTimeouts,
    const CallOptions& aOptions,
    utils::Error& aReason);

  /**
   * Runs Exchange on an idle connection if there is one, otherwise on a new
   * one. With aMayRetry, retries once on a new connection if the idle one
   * turns out to be closed.
   */
  std::unique_ptr<ResponseStream::Impl> Send(
    const Endpoint& aPeer,
    http::request<http::string_body>& aMessage,
    const CallTimeouts& aTimeouts,
    const CallOptions& aOptions,
    bool aMayRetry,
    utils::Error& aReason);
};

std::unique_ptr<ResponseStream::Impl>
HttpClient::Impl::Exchange(const Endpoint& aPeer,
                           std::unique_ptr<Connection> aConnection,
                           http::request<http::string_body>& aMessage,
                           const CallTimeouts& aTimeouts,
                           const CallOptions& aOptions,
                           utils::Error& aReason)
{
  auto streamImpl = std::make_unique<ResponseStream::Impl>();
  streamImpl->peer = aPeer;
  streamImpl->connection = std::move(aConnection);
  streamImpl->isToHead = aMessage.method() == http::verb::head;
  auto& connection = *streamImpl->connection;
  connection.stream.expires_after(aTimeouts.head.ToChrono());
  auto result = Await([&](auto aHandler) {
    http::async_write(connection.stream, aMessage, std::move(aHandler));
  });
  Traffic::Get().sent.Add(result.bytes);
  if (!result.error) {
    result = streamImpl->ReadHead();
  }
  for (int skipped = 0; !result.error && aOptions.accepts &&
                        !aOptions.accepts(streamImpl->fields);
       ++skipped) {
    if (skipped == kMaxSkippedResponses) {
      result.error = http::make_error_code(http::error::bad_status);
      break;
    }
    result = streamImpl->SkipBody();
    if (!result.error) {
      result = streamImpl->ReadHead();
    }
  }
  if (result.error) {
    SetIoError(result.error, "exchange", aReason);
    return nullptr;
  }
  return streamImpl;
}

std::unique_ptr<ResponseStream::Impl>
HttpClient::Impl::Send(const Endpoint& aPeer,
                       http::request<http::string_body>& aMessage,
                       const CallTimeouts& aTimeouts,
                       const CallOptions& aOptions,
                       bool aMayRetry,
                       utils::Error& aReason)
{
  auto* canceller = aOptions.canceller;
  auto setCancelHandler = [canceller](Stream& aStream) {
    if (canceller != nullptr) {
      canceller->cancelRunning_ = [&aStream] { aStream.cancel(); };
    }
  };
  auto connection = TakeIdle(aPeer, utils::Clock().Now());
  bool reused = connection != nullptr;
  if (reused) {
    setCancelHandler(connection->stream);
  } else {
    connection = Connect(
      connect, aPeer, aTimeouts.connect, aReason, canceller, setCancelHandler);
  }
  if (!connection) {
    return nullptr;
  }
  auto streamImpl = Exchange(
    aPeer, std::move(connection), aMessage, aTimeouts, aOptions, aReason);
  bool retry = !streamImpl && reused && aMayRetry &&
               aReason.kind == ErrorKind::ConnectionLost;
  if (retry) {
    connection = Connect(
      connect, aPeer, aTimeouts.connect, aReason, canceller, setCancelHandler);
    if (!connection) {
      return nullptr;
    }
    streamImpl = Exchange(
      aPeer, std::move(connection), aMessage, aTimeouts, aOptions, aReason);
  }
  return streamImpl;
}

HttpClient::HttpClient(std::string aLocalAddress)
  : impl_(std::make_unique<Impl>())
{
  impl_->connect.localAddress = std::move(aLocalAddress);
}

HttpClient::~HttpClient() = default;

void
HttpClient::SetUnacknowledgedLimit(utils::Millis aTime)
{
  impl_->connect.unacknowledgedLimit = aTime;
}

bool
HttpClient::CanConnect(const Endpoint& aPeer, utils::Millis aTimeout)
{
  utils::Error ignored;
  return Connect(impl_->connect, aPeer, aTimeout, ignored) != nullptr;
}

std::unique_ptr<ResponseStream>
HttpClient::Open(const Endpoint& aPeer,
                 const HttpRequest& aRequest,
                 const CallTimeouts& aTimeouts,
                 utils::Error& aReason,
                 const CallOptions& aOptions)
{
  auto* canceller = aOptions.canceller;
  if (canceller != nullptr && canceller->IsCancelled()) {
    aReason.Set(ErrorKind::ConnectFailed, "cancelled");
    return nullptr;
  }
  auto message = MakeMessage(aPeer, aRequest);
  bool mayRetry = aOptions.retryGet && aRequest.method == "GET";
  auto streamImpl =
    impl_->Send(aPeer, message, aTimeouts, aOptions, mayRetry, aReason);
  if (canceller != nullptr) {
    canceller->cancelRunning_ = nullptr;
  }
  if (!streamImpl) {
    return nullptr;
  }
  streamImpl->keepConnection = aOptions.keepConnection;
  return std::make_unique<ResponseStream>(std::move(streamImpl));
}

std::optional<HttpResponse>
HttpClient::Call(const Endpoint& aPeer,
                 const HttpRequest& aRequest,
                 const CallTimeouts& aTimeouts,
                 utils::Error& aReason,
                 const CallOptions& aOptions)
{
  auto stream = Open(aPeer, aRequest, aTimeouts, aReason, aOptions);
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
    // What has arrived by then is still read.
    auto left = std::max(deadline - clock.Now(), utils::Millis(1));
    switch (stream->Read(part, left, aReason)) {
      case ReadResult::Data:
        if (response.body.size() + part.size() > aOptions.maxBodyBytes) {
          aReason.Set(ErrorKind::TooLarge,
                      aPeer.ToString() + ": response body is too large");
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
