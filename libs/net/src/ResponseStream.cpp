#include "ResponseStreamImpl.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <utility>

#include "HeadBuffer.h"
#include "HookTimer.h"
#include "RuntimeImpl.h"
#include "Traffic.h"

namespace waxwingyoke::net {

namespace {

// Small, since the buffer is cleared for each read and most parts are small
// events.
constexpr std::size_t kReadBytes = 8 * 1024;
// Interim responses (1xx) that may come before the response to one request.
constexpr int kMaxInterimResponses = 8;
constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;

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

// Whether aText holds the begin of a response's head, such as "HTTP/1.1 200".
bool
ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kRestBytes = 5;
  auto isDigit = [](char aChar) { return aChar >= '0' && aChar <= '9'; };
  for (auto at = aText.find(kVersion); at != std::string_view::npos;
       at = aText.find(kVersion, at + 1)) {
    auto rest = aText.substr(at + kVersion.size(), kRestBytes);
    if (rest.size() == kRestBytes && isDigit(rest[0]) && rest[1] == ' ' &&
        std::ranges::all_of(rest.substr(2), isDigit)) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string_view
GetName(BodyFraming aFraming)
{
  return std::ranges::find(kFramingNames, aFraming, &FramingName::framing)
    ->name;
}

bool
ResponseStream::Impl::IsInterim() const
{
  return parser->get().result_int() < kFirstFinalStatus;
}

// Beast's parser accepts any three digits. A status without a class says
// neither whether a body follows nor whether another response does, and no
// request asks for another protocol.
bool
ResponseStream::Impl::HasValidStatus() const
{
  auto status = parser->get().result_int();
  bool isInterim = status >= kFirstInterimStatus &&
                   status < kFirstFinalStatus && status != kSwitchingProtocols;
  return isInterim || IsFinalStatus(static_cast<int>(status));
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
  HeadBuffer buffer(connection->buffer);
  auto result = Await([&](auto aHandler) {
    http::async_read_header(
      connection->stream, buffer, *parser, std::move(aHandler));
  });
  Traffic::Get().received.Add(result.bytes);
  if (!result.error) {
    fields = ReadFields(parser->get());
    if (!HasValidStatus()) {
      result.error = http::make_error_code(http::error::bad_status);
    } else if (buffer.HasFoldedLine()) {
      result.error = http::make_error_code(http::error::bad_obs_fold);
    } else if (IsJoined()) {
      result.error = http::make_error_code(http::error::bad_value);
    }
  }
  return result;
}

bool
ResponseStream::Impl::IsJoined() const
{
  auto reason = parser->get().reason();
  return ContainsStatusLine({ reason.data(), reason.size() }) ||
         std::ranges::any_of(fields, ContainsStatusLine, &HttpField::value);
}

IoResult
ResponseStream::Impl::SkipBody(std::size_t aMax)
{
  IoResult result;
  std::size_t skipped = 0;
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
    skipped += result.bytes;
    if (!result.error && skipped > aMax) {
      result.error = http::make_error_code(http::error::body_limit);
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
    KeepIdle(impl_->peer,
             std::move(impl_->connection),
             impl_->fields.Find("Keep-Alive"));
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
ResponseStream::Impl::ReadPart(std::string& aPart, utils::Error& aReason)
{
  aPart.clear();
  if (parser->is_done()) {
    return ReadResult::End;
  }
  aPart.resize(kReadBytes);
  auto& body = parser->get().body();
  body.data = aPart.data();
  body.size = aPart.size();
  auto result = Await([&](auto aHandler) {
    http::async_read_some(
      connection->stream, connection->buffer, *parser, std::move(aHandler));
  });
  Traffic::Get().received.Add(result.bytes);
  aPart.resize(kReadBytes - body.size);
  if (wasStopped && result.error == asio::error::operation_aborted) {
    return ReadResult::Nothing;
  }
  if (result.error && result.error != http::error::need_buffer) {
    failed = true;
    SetIoError(result.error, "body", aReason);
    return ReadResult::Failed;
  }
  if (aPart.empty() && parser->is_done()) {
    return ReadResult::End;
  }
  return ReadResult::Data;
}

ReadResult
ResponseStream::Read(std::string& aPart,
                     utils::Millis aTimeout,
                     utils::Error& aReason)
{
  impl_->connection->stream.expires_after(aTimeout.ToChrono());
  return impl_->ReadPart(aPart, aReason);
}

// A timeout of the stream itself would close the connection.
ReadResult
ResponseStream::TryRead(std::string& aPart,
                        utils::Millis aTimeout,
                        utils::Error& aReason)
{
  impl_->connection->stream.expires_never();
  HookTimer timer(GetThreadIo(), aTimeout, [this] { impl_->StopWaiting(); });
  impl_->isWaiting = true;
  impl_->wasStopped = false;
  auto result = impl_->ReadPart(aPart, aReason);
  impl_->isWaiting = false;
  impl_->wasStopped = false;
  return result;
}

void
ResponseStream::Impl::StopWaiting()
{
  if (isWaiting) {
    wasStopped = true;
    connection->stream.cancel();
  }
}

void
ResponseStream::StopWaiting()
{
  impl_->StopWaiting();
}

void
ResponseStream::Cancel()
{
  if (impl_->connection) {
    impl_->connection->stream.cancel();
  }
}

} // namespace waxwingyoke::net
