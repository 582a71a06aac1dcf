#include "Fetcher.h"

#include <algorithm>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr double kMillisPerSecond = 1000;
// The weight of the latest download in the moving average.
constexpr double kSmoothingFactor = 0.2;
// A download may take this many times the expected time.
constexpr std::int64_t kDeadlineFactor = 5;
constexpr utils::Millis kMinDeadline(2000);
constexpr utils::Millis kMaxDeadline(60000);
constexpr utils::Millis kInitialDeadline(20000);
constexpr utils::Millis kInitialExpectedTime(500);
constexpr utils::Millis kConnectTimeout(1000);
// Response headers arrive long before the end of the body, so their timeout is
// a fraction of the deadline, with this minimum.
constexpr utils::Millis kMinHeaderTimeout(1500);
constexpr std::int64_t kHeaderTimeoutDivisor = 6;
// Larger bodies of errors are not read to their end.
constexpr std::size_t kMaxErrorBytes = 16 << 10;

ErrorKind
GetKindOfStatus(int aStatus)
{
  constexpr int kNotFound = 404;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  switch (aStatus) {
    case kNotFound:
      return ErrorKind::NotFound;
    case kTooMany:
    case kUnavailable:
      return ErrorKind::Overloaded;
    default:
      return ErrorKind::StoreUnavailable;
  }
}

} // namespace

void
RateMeter::Add(std::uint64_t aBytes, utils::Millis aTime)
{
  auto time = static_cast<double>(std::max<std::int64_t>(1, aTime.value));
  auto rate = static_cast<double>(aBytes) * kMillisPerSecond / time;
  rate_ = rate_ == 0 ? rate : rate_ + (rate - rate_) * kSmoothingFactor;
}

utils::Millis
RateMeter::GetExpectedTime(std::uint64_t aBytes) const
{
  if (rate_ == 0) {
    return kInitialExpectedTime;
  }
  return utils::Millis(static_cast<std::int64_t>(static_cast<double>(aBytes) *
                                                 kMillisPerSecond / rate_));
}

utils::Millis
RateMeter::GetDeadline(std::uint64_t aBytes) const
{
  if (rate_ == 0) {
    return kInitialDeadline;
  }
  return std::clamp(
    GetExpectedTime(aBytes) * kDeadlineFactor, kMinDeadline, kMaxDeadline);
}

Fetcher::Fetcher(net::HttpClient& aHttp, net::Pacer& aLink)
  : http_(aHttp)
  , link_(aLink)
{
}

std::optional<std::string>
Fetcher::Fetch(const FetchRequest& aRequest, utils::Error& aReason)
{
  constexpr int kOk = 200;
  auto begin = clock_.Now();
  auto end = begin + aRequest.deadline;
  net::HttpRequest httpRequest;
  httpRequest.target = aRequest.path;
  httpRequest.fields = aRequest.fields;
  net::CallTimeouts timeouts;
  timeouts.connect = std::min(kConnectTimeout, aRequest.deadline);
  timeouts.head = std::min(
    aRequest.deadline,
    std::max(kMinHeaderTimeout, aRequest.deadline / kHeaderTimeoutDivisor));
  auto stream = http_.Open(aRequest.source, httpRequest, timeouts, aReason);
  if (!stream) {
    return std::nullopt;
  }
  if (stream->GetStatus() != kOk) {
    aReason.Set(GetKindOfStatus(stream->GetStatus()),
                aRequest.source.ToString() + " answered " +
                  std::to_string(stream->GetStatus()));
    SkipError(*stream, end);
    return std::nullopt;
  }
  if (aRequest.onHeaders) {
    aRequest.onHeaders(clock_.Now() - begin);
  }
  return ReadBody(*stream, aRequest, end, aReason);
}

// Reads a short body to its end so that the connection can be reused; any other
// closes the connection.
void
Fetcher::SkipError(net::ResponseStream& aStream, utils::Millis aEnd)
{
  std::string part;
  utils::Error ignored;
  std::size_t skipped = 0;
  auto result = net::ReadResult::Data;
  while (result == net::ReadResult::Data && skipped <= kMaxErrorBytes) {
    auto remaining = aEnd - clock_.Now();
    if (remaining <= utils::Millis(0)) {
      return;
    }
    result = aStream.Read(part, remaining, ignored);
    skipped += part.size();
  }
}

std::optional<std::string>
Fetcher::ReadBody(net::ResponseStream& aStream,
                  const FetchRequest& aRequest,
                  utils::Millis aEnd,
                  utils::Error& aReason)
{
  std::string body;
  std::string part;
  while (true) {
    auto remaining = aEnd - clock_.Now();
    if (remaining <= utils::Millis(0) || !aRequest.shouldContinue()) {
      aReason.Set(
        ErrorKind::DeadlineExceeded,
        aRequest.source.ToString() +
          " did not send the body in time, or the fetch was cancelled");
      return std::nullopt;
    }
    auto result = aStream.Read(part, remaining, aReason);
    if (result == net::ReadResult::End) {
      return body;
    }
    if (result == net::ReadResult::Failed) {
      return std::nullopt;
    }
    aRequest.onBytes(part.size());
    if (body.size() + part.size() > aRequest.maxBytes) {
      aReason.Set(ErrorKind::TooLarge,
                  aRequest.source.ToString() +
                    " sent more bytes than expected");
      return std::nullopt;
    }
    body += part;
    link_.Wait(part.size());
    if (aRequest.regionLink != nullptr) {
      aRequest.regionLink->Wait(part.size());
    }
  }
}

} // namespace waxwingyoke::weights
