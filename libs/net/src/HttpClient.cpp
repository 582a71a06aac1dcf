#include <net/HttpClient.h>

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

#include "Await.h"
#include "Beast.h"
#include "ClientConnection.h"
#include "HookTimer.h"
#include "ResponseStreamImpl.h"
#include "RuntimeImpl.h"
#include "Traffic.h"

namespace waxwingyoke::net {

namespace {

using utils::ErrorKind;

// The most responses to other requests that one call discards, and the most
// bytes of each.
constexpr int kMaxSkippedResponses = 2;
constexpr std::size_t kMaxSkippedBytes = 8 << 20;

// Appends without more capacity than aMax bytes.
void
Append(std::string& aBody, const std::string& aPart, std::size_t aMax)
{
  auto size = aBody.size() + aPart.size();
  if (size > aBody.capacity()) {
    aBody.reserve(std::min(std::max(size, 2 * aBody.capacity()), aMax));
  }
  aBody += aPart;
}

// Refers to the body of the HttpRequest that it was made from.
using RequestMessage = http::request<http::span_body<const char>>;

RequestMessage
MakeMessage(const Endpoint& aPeer, const HttpRequest& aRequest)
{
  RequestMessage message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  CopyFields(aRequest.fields, message);
  // A forwarded request keeps its caller's Host.
  if (aRequest.fields.Find("Host").empty()) {
    message.set(http::field::host, aPeer.ToString());
  }
  auto body = aRequest.GetBody();
  message.body() = { body.data(), body.size() };
  message.prepare_payload();
  return message;
}

// Neither a close before the first byte nor one within the head.
bool
BreaksHttp(beast::error_code aError)
{
  return aError.category() ==
           http::make_error_code(http::error::bad_status).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

ResponseOwner
FindOwner(const ResponseStream::Impl& aResponse,
          const IoResult& aResult,
          const CallOptions& aOptions)
{
  return aOptions.findOwner && !aResult.error
           ? aOptions.findOwner(aResponse.fields)
           : ResponseOwner::ThisRequest;
}

} // namespace

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
    std::unique_ptr<ClientConnection> aConnection,
    RequestMessage& aMessage,
    const CallTimeouts& aTimeouts,
    const CallOptions& aOptions,
    utils::Error& aReason);

  /**
   * Runs Exchange on an idle connection if there is one, otherwise on a new
   * one. With aMayRetry, retries once on a new connection if the idle one
   * turns out to be closed.
   */
  std::unique_ptr<ResponseStream::Impl> Send(const Endpoint& aPeer,
                                             RequestMessage& aMessage,
                                             const CallTimeouts& aTimeouts,
                                             const CallOptions& aOptions,
                                             bool aMayRetry,
                                             utils::Error& aReason);
};

std::unique_ptr<ResponseStream::Impl>
HttpClient::Impl::Exchange(const Endpoint& aPeer,
                           std::unique_ptr<ClientConnection> aConnection,
                           RequestMessage& aMessage,
                           const CallTimeouts& aTimeouts,
                           const CallOptions& aOptions,
                           utils::Error& aReason)
{
  auto streamImpl = std::make_unique<ResponseStream::Impl>();
  streamImpl->peer = aPeer;
  streamImpl->connection = std::move(aConnection);
  streamImpl->isToHead = aMessage.method() == http::verb::head;
  auto& connection = *streamImpl->connection;
  if (aOptions.mayStillSend && !aOptions.mayStillSend()) {
    aReason.Set(ErrorKind::ConnectFailed, "withdrawn before it was sent");
    return nullptr;
  }
  if (!aOptions.requestId.empty()) {
    connection.requestIds.insert(utils::StableHash(aOptions.requestId));
  }
  connection.stream.expires_after(aTimeouts.head.ToChrono());
  auto result = Await([&](auto aHandler) {
    http::async_write(connection.stream, aMessage, std::move(aHandler));
  });
  Traffic::Get().sent.Add(result.bytes);
  HookTimer silence(GetThreadIo(),
                    aOptions.silenceTimeout,
                    aOptions.onSilence,
                    aOptions.silenceInterval);
  // Between two operations a cancellation finds nothing to cancel.
  auto checkCancelled = [&] {
    if (aOptions.canceller != nullptr && aOptions.canceller->IsCancelled()) {
      result.error = asio::error::operation_aborted;
    }
  };
  checkCancelled();
  if (!result.error) {
    result = streamImpl->ReadHead();
  }
  auto owner = FindOwner(*streamImpl, result, aOptions);
  int skipped = 0;
  while (!result.error && owner == ResponseOwner::AnotherRequest) {
    if (skipped++ == kMaxSkippedResponses) {
      result.error = http::make_error_code(http::error::bad_status);
      break;
    }
    result = streamImpl->SkipBody(kMaxSkippedBytes);
    checkCancelled();
    if (!result.error) {
      result = streamImpl->ReadHead();
    }
    owner = FindOwner(*streamImpl, result, aOptions);
  }
  if (result.error) {
    SetIoError(result.error, "exchange", aReason);
    if (aOptions.isHeadBroken != nullptr) {
      *aOptions.isHeadBroken = BreaksHttp(result.error);
    }
    return nullptr;
  }
  bool mayBeRepeat = connection.reused || skipped > 0;
  if (owner == ResponseOwner::NotStated && mayBeRepeat) {
    aReason.Set(ErrorKind::AnswerBroken,
                "exchange: the response does not state its request");
    return nullptr;
  }
  streamImpl->keepConnection =
    aOptions.keepConnection && owner == ResponseOwner::ThisRequest;
  return streamImpl;
}

std::unique_ptr<ResponseStream::Impl>
HttpClient::Impl::Send(const Endpoint& aPeer,
                       RequestMessage& aMessage,
                       const CallTimeouts& aTimeouts,
                       const CallOptions& aOptions,
                       bool aMayRetry,
                       utils::Error& aReason)
{
  auto* canceller = aOptions.canceller;
  auto setCancelHandler = [canceller](beast::tcp_stream& aStream) {
    if (canceller != nullptr) {
      canceller->cancelRunning_ = [&aStream] { aStream.cancel(); };
    }
  };
  std::unique_ptr<ClientConnection> connection;
  if (aOptions.reuseConnection) {
    connection = TakeIdle(aPeer, utils::Clock().Now(), aOptions.requestId);
  }
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
  // The caller's endpoint may change while the call waits.
  const Endpoint peer{ aPeer.address, aPeer.port };
  auto message = MakeMessage(peer, aRequest);
  bool mayRetry = aOptions.retryGet && aRequest.method == "GET";
  auto streamImpl =
    impl_->Send(peer, message, aTimeouts, aOptions, mayRetry, aReason);
  if (canceller != nullptr) {
    canceller->cancelRunning_ = nullptr;
  }
  if (!streamImpl) {
    return nullptr;
  }
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
        Append(response.body, part, aOptions.maxBodyBytes);
        break;
      case ReadResult::End:
        return response;
      case ReadResult::Nothing:
      case ReadResult::Failed:
        return std::nullopt;
    }
  }
}

} // namespace waxwingyoke::net
