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
constexpr Millis kAskTimeout(400);
// A text of some hundred KB over the asker's link.
constexpr Millis kTextTimeout(2500);

} // namespace

ConfigSharing::ConfigSharing(net::HttpClient& aClient,
                             ConfigFollower& aConfig,
                             PeerLink& aPeers,
                             const SharingTerms& aTerms)
  : client_(aClient)
  , config_(aConfig)
  , peers_(aPeers)
  , terms_(aTerms)
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
    net::Runtime::Sleep(terms_.interval);
    bool needed = config_.GetAge() > terms_.maxAge || config_.IsBehind();
    bool textDue = textDueAt_ && clock_.Now() >= *textDueAt_;
    auto entry = needed || textDue ? PickEntry() : std::nullopt;
    if (entry) {
      bool withText = textDue || terms_.textDelay == Millis(0) ||
                      config_.GetConfig() == nullptr;
      Ask(*entry, withText);
    }
  }
}

// One after the other; in the own region if there are any.
std::optional<Peer>
ConfigSharing::PickEntry()
{
  auto entries = peers_.List(PeerRole::Entry);
  auto far =
    std::partition(entries.begin(), entries.end(), [this](const Peer& aPeer) {
      return peers_.IsWithin(aPeer, Reach::Near);
    });
  if (far != entries.begin()) {
    entries.erase(far, entries.end());
  }
  return entries.empty() ? std::nullopt
                         : std::optional(entries[next_++ % entries.size()]);
}

// The record's age counts from before the question: the answer may have been
// on its way for as long as the call took.
void
ConfigSharing::Ask(const Peer& aPeer, bool aForText)
{
  net::HttpRequest request;
  request.target = kPath;
  if (!aForText) {
    request.target += std::string("?") + kTextQuery + "=" + kNo;
  }
  auto bodyTimeout = aForText ? kTextTimeout : kAskTimeout;
  utils::Error reason;
  auto askedAt = clock_.Now();
  auto response = client_.Call(
    aPeer.endpoint, request, { kAskTimeout, kAskTimeout, bodyTimeout }, reason);
  schema::OperatorRecord record;
  if (!response || response->status != kOk ||
      !record.ParseFromString(response->body)) {
    return;
  }
  logger_.Info("configuration from another entry",
               { { "peer", aPeer.vm },
                 { "text", aForText ? "yes" : "no" },
                 { "end", std::to_string(record.end()) },
                 { "age_ms", std::to_string(record.age_ms()) } });
  config_.Take(record, clock_.Now() - askedAt);
  NoteOffset(record.offset());
}

void
ConfigSharing::NoteOffset(std::uint64_t aOffset)
{
  bool isKnown = config_.GetConfig() != nullptr;
  if (isKnown && aOffset <= config_.GetOffset()) {
    textDueAt_.reset();
  } else if (!isKnown) {
    textDueAt_ = clock_.Now();
  } else if (!textDueAt_) {
    auto delay =
      utils::StableHash(peers_.GetOwnEndpoint().ToString(), aOffset) %
      static_cast<std::uint64_t>(terms_.textDelay.value + 1);
    textDueAt_ = clock_.Now() + Millis(static_cast<std::int64_t>(delay));
  }
}

} // namespace waxwingyoke::fleet
