#include "StreamWriter.h"

#include <utility>

#include "Await.h"
#include "Traffic.h"

namespace waxwingyoke::net {

template<typename Operation>
bool
StreamWriter::Do(Operation aOperation)
{
  if (broken_) {
    return false;
  }
  stream_.expires_after(timeout_.ToChrono());
  auto result = Await(std::move(aOperation));
  Traffic::Get().sent.Add(result.bytes);
  broken_ = static_cast<bool>(result.error);
  return !broken_;
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
  return Do([&](auto aHandler) {
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
  return Do([&](auto aHandler) {
    http::async_write_header(stream_, serializer, std::move(aHandler));
  });
}

bool
StreamWriter::Write(std::string_view aPart)
{
  // An empty chunk would be the end mark.
  if (aPart.empty()) {
    return !broken_;
  }
  return Do([&](auto aHandler) {
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
  return Do([&](auto aHandler) {
    asio::async_write(stream_, http::make_chunk_last(), std::move(aHandler));
  });
}

bool
IsClosedByPeer(Tcp::socket& aSocket)
{
  char byte = 0;
  auto got = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got == 0) {
    return true;
  }
  return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

} // namespace waxwingyoke::net
