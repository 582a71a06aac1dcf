#include "Fetcher.h"

#include <algorithm>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr double kMillisPerSecond = 1000;
// The newest transfer's share in the rate.
constexpr double kNewWeight = 0.2;
// A source may be this many times slower than usual.
constexpr std::int64_t kPatience = 5;
constexpr utils::Millis kMinDeadline(2000);
constexpr utils::Millis kMaxDeadline(60000);
constexpr utils::Millis kFirstDeadline(20000);
constexpr utils::Millis kFirstUsualTime(500);
constexpr utils::Millis kConnectTimeout(1000);
// A source begins its answer long before it has sent it.
constexpr utils::Millis kMinHead(1500);
constexpr std::int64_t kHeadPart = 6;

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
  rate_ = rate_ == 0 ? rate : rate_ + (rate - rate_) * kNewWeight;
}

utils::Millis
RateMeter::GetUsualTime(std::uint64_t aBytes) const
{
  if (rate_ == 0) {
    return kFirstUsualTime;
  }
  return utils::Millis(static_cast<std::int64_t>(static_cast<double>(aBytes) *
                                                 kMillisPerSecond / rate_));
}

utils::Millis
RateMeter::GetDeadline(std::uint64_t aBytes) const
{
  if (rate_ == 0) {
    return kFirstDeadline;
  }
  return std::clamp(
    GetUsualTime(aBytes) * kPatience, kMinDeadline, kMaxDeadline);
}

Fetcher::Fetcher(net::HttpClient& aHttp, net::Pacer& aLink)
  : http_(aHttp)
  , link_(aLink)
{
}

std::optional<std::string>
Fetcher::Fetch(const FetchOrder& aOrder, utils::Error& aReason)
{
  constexpr int kOk = 200;
  auto begin = clock_.Now();
  auto end = begin + aOrder.deadline;
  net::HttpRequest request;
  request.target = aOrder.path;
  request.fields = aOrder.fields;
  net::CallTimeouts timeouts;
  timeouts.connect = std::min(kConnectTimeout, aOrder.deadline);
  timeouts.head =
    std::min(aOrder.deadline, std::max(kMinHead, aOrder.deadline / kHeadPart));
  auto stream = http_.Open(aOrder.source, request, timeouts, aReason);
  if (!stream) {
    return std::nullopt;
  }
  if (stream->GetStatus() != kOk) {
    aReason.Set(GetKindOfStatus(stream->GetStatus()),
                aOrder.source.ToString() + " answered " +
                  std::to_string(stream->GetStatus()));
    // Read to the end, so that the connection is kept.
    std::string rest;
    utils::Error ignored;
    while (stream->Read(rest, aOrder.deadline, ignored) ==
           net::ReadResult::Data) {
    }
    return std::nullopt;
  }
  if (aOrder.onHead) {
    aOrder.onHead(clock_.Now() - begin);
  }
  return ReadBody(*stream, aOrder, end, aReason);
}

std::optional<std::string>
Fetcher::ReadBody(net::ResponseStream& aStream,
                  const FetchOrder& aOrder,
                  utils::Millis aEnd,
                  utils::Error& aReason)
{
  std::string body;
  std::string part;
  while (true) {
    auto left = aEnd - clock_.Now();
    if (left <= utils::Millis(0) || !aOrder.goOn()) {
      aReason.Set(ErrorKind::DeadlineExceeded,
                  aOrder.source.ToString() + " was left");
      return std::nullopt;
    }
    auto result = aStream.Read(part, left, aReason);
    if (result == net::ReadResult::End) {
      return body;
    }
    if (result == net::ReadResult::Failed) {
      return std::nullopt;
    }
    aOrder.onBytes(part.size());
    if (body.size() + part.size() > aOrder.maxBytes) {
      aReason.Set(ErrorKind::TooLarge,
                  aOrder.source.ToString() + " sent too much");
      return std::nullopt;
    }
    body += part;
    link_.Wait(part.size());
    if (aOrder.regionLink != nullptr) {
      aOrder.regionLink->Wait(part.size());
    }
  }
}

} // namespace waxwingyoke::weights
