#include "StreamWriter.h"

#include <cerrno>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <poll.h>
#include <sys/epoll.h>

#include <boost/asio/posix/stream_descriptor.hpp>

#include "Await.h"
#include "Traffic.h"

namespace waxwingyoke::net {

// A handler's own field of this kind would belong to another connection.
template<typename Message>
void
StreamWriter::SetConnectionFields(Message& aMessage)
{
  constexpr std::int64_t kSecondMs = 1000;
  auto keepTime = getKeepTime_();
  keepAlive_ = keepTime.has_value();
  aMessage.keep_alive(keepAlive_);
  aMessage.erase(http::field::keep_alive);
  auto seconds = keepTime ? keepTime->value / kSecondMs : 0;
  if (seconds > 0) {
    aMessage.set(http::field::keep_alive, "timeout=" + std::to_string(seconds));
    statedKeepTime_ = utils::Millis(seconds * kSecondMs);
  }
}

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

/** Shared with the waits' handlers, which may outlive the writer. */
struct StreamWriter::Watch : std::enable_shared_from_this<Watch>
{
  explicit Watch(Tcp::socket& aSocket)
    : socket(aSocket)
  {
  }

  void Start();
  void WatchHangup();
  void HandleEvent(beast::error_code aError);
  void End();

  Tcp::socket& socket;
  std::function<void()> hook;
  /** Watches the socket for its close only; exists once there is input. */
  std::optional<asio::posix::stream_descriptor> hangup;
  bool isWaiting = false;
  bool hasEnded = false;
};

void
StreamWriter::Watch::Start()
{
  isWaiting = true;
  socket.async_wait(Tcp::socket::wait_read,
                    [watch = shared_from_this()](beast::error_code aError) {
                      watch->HandleEvent(aError);
                    });
}

// Any bytes received are the caller's next request. They keep the socket
// readable, so a wait for input would end at once from then on.
void
StreamWriter::Watch::HandleEvent(beast::error_code aError)
{
  if (hasEnded) {
    return;
  }
  isWaiting = false;
  if (aError) {
    return;
  }
  if (!IsClosedByPeer(socket)) {
    WatchHangup();
  } else if (hook) {
    hook();
  }
}

void
StreamWriter::Watch::WatchHangup()
{
  int descriptor = ::epoll_create1(EPOLL_CLOEXEC);
  epoll_event event{};
  event.events = EPOLLRDHUP;
  if (descriptor < 0) {
    return;
  }
  hangup.emplace(socket.get_executor(), descriptor);
  ::epoll_ctl(descriptor, EPOLL_CTL_ADD, socket.native_handle(), &event);
  hangup->async_wait(asio::posix::stream_descriptor::wait_read,
                     [watch = shared_from_this()](beast::error_code aError) {
                       watch->HandleEvent(aError);
                     });
}

void
StreamWriter::Watch::End()
{
  hasEnded = true;
  hook = nullptr;
  hangup.reset();
  if (isWaiting) {
    beast::error_code ignored;
    socket.cancel(ignored);
  }
}

void
StreamWriter::SetDisconnectHook(std::function<void()> aHook)
{
  bool isNew = !watch_;
  if (isNew) {
    watch_ = std::make_shared<Watch>(stream_.socket());
  }
  watch_->hook = std::move(aHook);
  if (isNew) {
    watch_->Start();
  }
}

// The wait must end before the connection reads its next request.
void
StreamWriter::EndWatch()
{
  if (watch_ && !watch_->hasEnded) {
    watch_->End();
  }
}

bool
StreamWriter::Send(const HttpResponse& aResponse)
{
  started_ = true;
  finished_ = true;
  http::response<http::span_body<const char>> message;
  message.version(11);
  message.result(static_cast<unsigned>(aResponse.status));
  CopyFields(aResponse.fields, message);
  SetConnectionFields(message);
  message.body() = { aResponse.body.data(), aResponse.body.size() };
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
  SetConnectionFields(message);
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

// A read would only see the bytes before the close.
bool
IsClosedByPeer(Tcp::socket& aSocket)
{
  if (!aSocket.is_open()) {
    return true;
  }
  pollfd row{ aSocket.native_handle(), POLLRDHUP, 0 };
  return ::poll(&row, 1, 0) > 0;
}

bool
IsIdle(Tcp::socket& aSocket)
{
  char byte = 0;
  ssize_t got = -1;
  do {
    got = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (got < 0 && errno == EINTR);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace waxwingyoke::net
