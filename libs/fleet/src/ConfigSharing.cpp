#include "ConfigSharing.h"

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kPath = "/fleet/operator";
constexpr const char* kTextQuery = "text";
constexpr const char* kNo = "no";
constexpr Millis kRequestTimeout(400);
// Covers a text of some hundred KB over this process's link.
constexpr Millis kTextTimeout(2500);
// The configuration, which is one record of the log, and the named versions.
constexpr std::size_t kMaxRecordBytes = 2 << 20;
// Two, so that one that fails, or is cut off from the log, leaves another.
constexpr std::size_t kReadersPerRegion = 2;

} // namespace

std::vector<std::string>
PickConfigReaders(std::vector<std::string> aVms)
{
  auto ranked = utils::RankMembers("config", std::move(aVms));
  ranked.resize(std::min(ranked.size(), kReadersPerRegion));
  return ranked;
}

ConfigSharing::ConfigSharing(net::HttpClient& aClient,
                             ConfigFollower& aConfig,
                             PeerLink& aPeers,
                             const SharingOptions& aOptions)
  : client_(aClient)
  , config_(aConfig)
  , peers_(aPeers)
  , options_(aOptions)
  , rotation_([this](const Peer& aPeer) { return aPeer.IsAlive(clock_.Now()); },
              [this](const Peer& aPeer) {
                return peers_.IsInScope(aPeer, PeerScope::LocalRegion);
              })
{
}

void
ConfigSharing::AddRoute(net::Router& aRouter)
{
  aRouter.Add("GET", kPath, [this](const auto& aRequest, auto& aWriter) {
    bool withText = net::FindQuery(aRequest.target, kTextQuery) != kNo;
    auto record = config_.MakeRecord(withText);
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
  while (true) {
    net::Runtime::Sleep(options_.interval);
    bool needed = config_.GetAge() > options_.maxAge || config_.IsPeerAhead() ||
                  (config_.IsConfigOutdated() && !textDueAt_);
    bool textDue = textDueAt_ && clock_.Now() >= *textDueAt_;
    auto entries = peers_.List(PeerRole::Entry);
    // The reads of any other entry narrow the time in which a version was
    // named.
    auto entry = needed || textDue             ? rotation_.PickLocal(entries)
                 : config_.TakeNamingRequest() ? rotation_.PickAny(entries)
                                               : std::nullopt;
    if (entry) {
      bool withText =
        textDue || config_.GetConfig() == nullptr ||
        (options_.textDelay == Millis(0) && config_.IsConfigOutdated());
      FetchFrom(*entry, withText);
    }
  }
}

// The record's age counts from before the request: the response may have been
// in transit for the whole duration of the call.
void
ConfigSharing::FetchFrom(const Peer& aPeer, bool aWithText)
{
  net::HttpRequest request;
  request.target = kPath;
  if (!aWithText) {
    request.target += std::string("?") + kTextQuery + "=" + kNo;
  }
  auto bodyTimeout = aWithText ? kTextTimeout : kRequestTimeout;
  utils::Error reason;
  net::CallOptions options;
  options.maxBodyBytes = kMaxRecordBytes;
  auto requestedAt = config_.Now();
  auto response =
    client_.Call(aPeer.endpoint,
                 request,
                 { kRequestTimeout, kRequestTimeout, bodyTimeout },
                 reason,
                 options);
  schema::OperatorRecord record;
  bool isAnswered = response && response->status == kOk &&
                    record.ParseFromString(response->body);
  rotation_.RecordResult(isAnswered);
  if (!isAnswered) {
    return;
  }
  logger_.Info("configuration from another entry",
               { { "peer", aPeer.vm },
                 { "with_config", aWithText ? "yes" : "no" },
                 { "end", std::to_string(record.end()) },
                 { "age_ms", std::to_string(record.age_ms()) } });
  config_.ApplyPeerRecord(record, requestedAt);
  ScheduleTextFetch(record.config_version());
}

void
ConfigSharing::ScheduleTextFetch(std::uint64_t aVersion)
{
  bool hasConfig = config_.GetConfig() != nullptr;
  if (hasConfig && aVersion <= config_.GetConfigVersion()) {
    textDueAt_.reset();
  } else if (!hasConfig) {
    textDueAt_ = clock_.Now();
  } else if (!textDueAt_) {
    auto delay =
      utils::StableHash(peers_.GetOwnEndpoint().ToString(), aVersion) %
      static_cast<std::uint64_t>(options_.textDelay.value + 1);
    textDueAt_ = clock_.Now() + Millis(static_cast<std::int64_t>(delay));
  }
}

} // namespace waxwingyoke::fleet
