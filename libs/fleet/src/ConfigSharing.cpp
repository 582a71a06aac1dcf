#include "ConfigSharing.h"

#include <utility>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kPath = "/fleet/operator";
// A read of the log that succeeds comes before the first question.
constexpr Millis kAskInterval(300);
constexpr Millis kAskTimeout(400);

} // namespace

ConfigSharing::ConfigSharing(net::HttpClient& aClient,
                             ConfigFollower& aConfig,
                             PeerLink& aPeers,
                             Millis aMaxAge)
  : client_(aClient)
  , config_(aConfig)
  , peers_(aPeers)
  , maxAge_(aMaxAge)
{
}

void
ConfigSharing::AddRoute(net::Router& aRouter)
{
  aRouter.Add("GET", kPath, [this](const auto&, auto& aWriter) {
    auto record = config_.MakeRecord();
    net::HttpResponse response;
    response.status = record ? kOk : kUnavailable;
    response.body = record ? record->SerializeAsString() : "";
    aWriter.Send(response);
  });
}

void
ConfigSharing::Start(net::Runtime& aRuntime)
{
  aRuntime.Spawn([this] { Loop(); });
}

void
ConfigSharing::Loop()
{
  std::size_t next = 0;
  while (true) {
    net::Runtime::Sleep(kAskInterval);
    auto entries = peers_.List(PeerRole::Entry);
    bool needed = config_.GetAge() > maxAge_ || config_.IsBehind();
    if (needed && !entries.empty()) {
      Ask(entries[next++ % entries.size()]);
    }
  }
}

// The record's age counts from before the question: the answer may have been
// on its way for as long as the call took.
void
ConfigSharing::Ask(const Peer& aPeer)
{
  net::HttpRequest request;
  request.target = kPath;
  utils::Error reason;
  auto askedAt = clock_.Now();
  auto response = client_.Call(
    aPeer.endpoint, request, { kAskTimeout, kAskTimeout, kAskTimeout }, reason);
  schema::OperatorRecord record;
  if (!response || response->status != kOk ||
      !record.ParseFromString(response->body)) {
    return;
  }
  logger_.Info("configuration from another entry",
               { { "peer", aPeer.vm },
                 { "end", std::to_string(record.end()) },
                 { "age_ms", std::to_string(record.age_ms()) } });
  config_.Take(record, clock_.Now() - askedAt);
}

} // namespace waxwingyoke::fleet
