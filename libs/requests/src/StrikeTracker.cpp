#include "StrikeTracker.h"

#include <algorithm>
#include <atomic>
#include <memory>

#include <net/Runtime.h>
#include <schema/log.pb.h>
#include <telemetry/Logger.h>
#include <utils/Hash.h>

namespace waxwingyoke::requests {

namespace {

using utils::Millis;

constexpr Millis kTellTimeout(500);
constexpr Millis kTellPoll(10);
constexpr int kAppendTries = 30;
constexpr Millis kAppendPause(1000);

} // namespace

StrikeTracker::StrikeTracker(membership::Node& aNode,
                             rpc::RpcClient& aRpc,
                             platform::LogClient& aLog)
  : node_(aNode)
  , rpc_(aRpc)
  , log_(aLog)
{
}

Suspicion
StrikeTracker::Find(const std::string& aDigest) const
{
  return suspects_.Find(aDigest, clock_.Now());
}

void
StrikeTracker::Take(const schema::StrikeNotice& aNotice)
{
  if (aNotice.strike() == schema::NO_STRIKE) {
    suspects_.Clear(aNotice.request_digest());
  } else {
    suspects_.Note(aNotice.request_digest(), aNotice.strike(), clock_.Now());
  }
}

void
StrikeTracker::Report(const std::string& aDigest, schema::Strike aStrike)
{
  schema::StrikeNotice notice;
  notice.set_request_digest(aDigest);
  notice.set_strike(aStrike);
  Take(notice);
  if (aStrike == schema::CONVICTED) {
    net::Runtime::SpawnHere([this, aDigest] { Quarantine(aDigest); });
  }
  TellEntries(notice);
}

void
StrikeTracker::TellEntries(const schema::StrikeNotice& aNotice)
{
  auto view = node_.GetView();
  auto waiting = std::make_shared<std::atomic<int>>(0);
  net::CallTimeouts timeouts{ kTellTimeout, kTellTimeout, kTellTimeout };
  for (const auto& [vm, member] : view->members) {
    if (member.vm.role() != "entry" || vm == node_.GetSettings().vm()) {
      continue;
    }
    ++*waiting;
    net::Runtime::SpawnHere(
      [this, waiting, aNotice, timeouts, peer = member.GetControlEndpoint()] {
        schema::Acknowledgement reply;
        utils::Error ignored;
        rpc_.Call(peer, "entry.strike", aNotice, reply, timeouts, ignored);
        --*waiting;
      });
  }
  auto until = clock_.Now() + kTellTimeout;
  while (*waiting > 0 && clock_.Now() < until) {
    net::Runtime::Sleep(kTellPoll);
  }
}

void
StrikeTracker::Quarantine(const std::string& aDigest)
{
  telemetry::Logger logger("requests");
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto* change = record.mutable_quarantine_change();
  change->set_request_digest(aDigest);
  change->set_author(node_.GetSettings().vm());
  change->set_reason("two upstreams died while they ran it");
  logger.Warn("request quarantined", { { "digest", aDigest } });
  // The same id again and again: it is folded once.
  for (int i = 0; i < kAppendTries; ++i) {
    utils::Error reason;
    if (log_.Append(
          platform::kConfigStream, record.SerializeAsString(), reason)) {
      return;
    }
    net::Runtime::Sleep(kAppendPause);
  }
  logger.Warn("quarantine could not be written", { { "digest", aDigest } });
}

} // namespace waxwingyoke::requests
