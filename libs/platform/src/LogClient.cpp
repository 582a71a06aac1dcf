#include <platform/LogClient.h>

#include <utility>

#include <schema/Json.h>

namespace waxwingyoke::platform {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr Millis kConnectTimeout(1000);
constexpr Millis kAnswerTimeout(3000);
// A snapshot of the configuration is the largest record.
constexpr std::size_t kMaxPageBytes = 16 << 20;

std::string
MakePath(const std::string& aStream)
{
  return "/streams/" + aStream + "/records";
}

} // namespace

LogClient::LogClient(net::HttpClient& aClient, net::Endpoint aService)
  : client_(aClient)
  , service_(std::move(aService))
{
}

std::optional<std::uint64_t>
LogClient::Append(const std::string& aStream,
                  const std::string& aPayload,
                  utils::Error& aReason)
{
  auto use = FindAppendUse(aPayload);
  if (!budget_.TryAcquire(use, clock_.Now())) {
    aReason.Set(ErrorKind::LogUnavailable,
                "held back by this process's append budget, use " +
                  std::string(GetName(use)));
    return std::nullopt;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = MakePath(aStream);
  request.body = aPayload;
  net::CallTimeouts timeouts{ kConnectTimeout, kAnswerTimeout, kAnswerTimeout };
  auto response = client_.Call(service_, request, timeouts, aReason);
  if (!response) {
    auto kind = aReason.kind == ErrorKind::ConnectFailed
                  ? ErrorKind::LogUnavailable
                  : ErrorKind::OutcomeUnknown;
    aReason.Set(kind, "log: " + aReason.detail);
    return std::nullopt;
  }
  if (response->status == kTooManyRequests) {
    budget_.RecordRefusal(clock_.Now());
  }
  if (response->status != kOk) {
    aReason.Set(ErrorKind::LogUnavailable,
                "the log answered " + std::to_string(response->status));
    return std::nullopt;
  }
  schema::AppendReply reply;
  if (!schema::FromJson(response->body, reply, aReason)) {
    aReason.kind = ErrorKind::OutcomeUnknown;
    return std::nullopt;
  }
  return reply.offset();
}

std::optional<schema::LogPage>
LogClient::ReadPage(const std::string& aStream,
                    std::uint64_t aFrom,
                    std::uint32_t aMax,
                    Millis aWait,
                    utils::Error& aReason)
{
  net::HttpRequest request;
  request.target = MakePath(aStream) + "?from=" + std::to_string(aFrom) +
                   "&max=" + std::to_string(aMax) +
                   "&wait_ms=" + std::to_string(aWait.value);
  net::CallTimeouts timeouts{ kConnectTimeout,
                              aWait + kAnswerTimeout,
                              kAnswerTimeout };
  net::CallOptions options;
  options.maxBodyBytes = kMaxPageBytes;
  auto response = client_.Call(service_, request, timeouts, aReason, options);
  if (!response) {
    aReason.Set(ErrorKind::LogUnavailable, "log: " + aReason.detail);
    return std::nullopt;
  }
  schema::LogPage page;
  if (response->status != kOk ||
      !schema::FromJson(response->body, page, aReason)) {
    aReason.Set(ErrorKind::LogUnavailable,
                "the log answered " + std::to_string(response->status));
    return std::nullopt;
  }
  return page;
}

std::optional<schema::LogPage>
LogClient::Read(const std::string& aStream,
                std::uint64_t aFrom,
                std::uint32_t aMax,
                Millis aWait,
                utils::Error& aReason)
{
  auto page = ReadPage(aStream, aFrom, aMax, aWait, aReason);
  if (page && page->first_offset() > aFrom) {
    aReason.Set(ErrorKind::LogTrimmed,
                "the log begins at " + std::to_string(page->first_offset()));
    return std::nullopt;
  }
  return page;
}

std::optional<schema::LogPage>
LogClient::ReadRetained(const std::string& aStream,
                        std::uint64_t aFrom,
                        std::uint32_t aMax,
                        Millis aWait,
                        utils::Error& aReason)
{
  auto page = ReadPage(aStream, aFrom, aMax, aWait, aReason);
  if (!page || page->first_offset() <= aFrom) {
    return page;
  }
  return ReadPage(aStream, page->first_offset(), aMax, aWait, aReason);
}

} // namespace waxwingyoke::platform
