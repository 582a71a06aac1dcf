#include "StreamWriter.h"

#include <utility>

#include "Await.h"
#include "Traffic.h"

namespace waxwingyoke::net {

template<typename Operation>
bool
StreamWriter::RunWrite(Operation aOperation)
{
  if (broken_) {
    return false;
  }
  stream_.expires_after(timeout_.ToChrono());
  auto result = Await(std::move(aOperation));
  Traffic::Get().sent.Add(result.bytes);
  broken_ = static_cast<bool>(result.error);
  timedOut_ = result.error == beast::error::timeout;
  return !broken_;
}

void
StreamWriter::SetDisconnectHook(std::function<void()> aHook)
{
  if (watch_) {
    watch_->hook = std::move(aHook);
    return;
  }
  watch_ = std::make_shared<Watch>();
  watch_->hook = std::move(aHook);
  auto watch = watch_;
  auto& socket = stream_.socket();
  socket.async_wait(Tcp::socket::wait_read,
                    [watch, &socket](beast::error_code aError) {
                      if (watch->ended) {
                        return;
                      }
                      watch->fired = true;
                      // Any bytes received are the caller's next request.
                      if (!aError && IsClosedByPeer(socket) && watch->hook) {
                        watch->hook();
                      }
                    });
}

// The wait must end before the connection reads its next request.
void
StreamWriter::EndWatch()
{
  if (watch_ && !watch_->ended) {
    watch_->ended = true;
    watch_->hook = nullptr;
    if (!watch_->fired) {
      beast::error_code ignored;
      stream_.socket().cancel(ignored);
    }
  }
}

bool
StreamWriter::Send(const HttpResponse& aResponse)
{
  started_ = true;
  finished_ = true;
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(aResponse.status));
  CopyFields(aResponse.fields, message);
  message.keep_alive(keepAlive_);
  message.body() = aResponse.body;
  message.prepare_payload();
  return RunWrite([&](auto aHandler) {
    http::async_write(stream_, message, std::move(aHandler));
  });
}

bool
StreamWriter::Start(int aStatus, const HttpFields& aFields)
{
  started_ = true;
  http::response<http::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(aStatus));
  CopyFields(aFields, message);
  message.keep_alive(keepAlive_);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  return RunWrite([&](auto aHandler) {
    http::async_write_header(stream_, serializer, std::move(aHandler));
  });
}

bool
StreamWriter::Write(std::string_view aPart)
{
  // An empty chunk would mark the end of the body.
  if (aPart.empty()) {
    return !broken_;
  }
  return RunWrite([&](auto aHandler) {
    asio::async_write(
      stream_,
      http::make_chunk(asio::const_buffer(aPart.data(), aPart.size())),
      std::move(aHandler));
  });
}

bool
StreamWriter::Finish()
{
  finished_ = true;
  return RunWrite([&](auto aHandler) {
    asio::async_write(stream_, http::make_chunk_last(), std::move(aHandler));
  });
}

namespace {

/** The state of a socket's input. */
enum class InputState
{
  None,
  Bytes,
  Closed
};

InputState
Peek(Tcp::socket& aSocket)
{
  char byte = 0;
  auto got = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return InputState::Bytes;
  }
  bool empty = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return empty ? InputState::None : InputState::Closed;
}

} // namespace

bool
IsClosedByPeer(Tcp::socket& aSocket)
{
  return Peek(aSocket) == InputState::Closed;
}

bool
IsIdle(Tcp::socket& aSocket)
{
  return Peek(aSocket) == InputState::None;
}

} // namespace waxwingyoke::net
