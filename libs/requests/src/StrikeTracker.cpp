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

constexpr Millis kNotifyTimeout(500);
constexpr Millis kNotifyPollInterval(10);
constexpr int kMaxAppendAttempts = 3600;
constexpr Millis kAppendRetryInterval(1000);
// A third of the time for which an entry holds a conviction, so that two
// notices may be lost.
constexpr Millis kRenewInterval(10000);

schema::StrikeNotice
MakeNotice(const std::string& aDigest, schema::Strike aStrike)
{
  schema::StrikeNotice notice;
  notice.set_request_digest(aDigest);
  notice.set_strike(aStrike);
  return notice;
}

} // namespace

StrikeTracker::StrikeTracker(membership::Node& aNode,
                             rpc::RpcClient& aRpc,
                             platform::LogClient& aLog,
                             const utils::Clock& aClock)
  : node_(aNode)
  , rpc_(aRpc)
  , log_(aLog)
  , clock_(aClock)
{
}

Suspicion
StrikeTracker::Find(const std::string& aDigest) const
{
  return suspects_.Find(aDigest, clock_.Now());
}

void
StrikeTracker::HandleNotice(const schema::StrikeNotice& aNotice)
{
  if (aNotice.strike() == schema::NO_STRIKE) {
    suspects_.Clear(aNotice.request_digest());
  } else {
    suspects_.RecordStrike(
      aNotice.request_digest(), aNotice.strike(), clock_.Now());
  }
}

void
StrikeTracker::Report(const std::string& aDigest, schema::Strike aStrike)
{
  auto notice = MakeNotice(aDigest, aStrike);
  HandleNotice(notice);
  if (aStrike == schema::CONVICTED) {
    net::Runtime::SpawnHere([this, aDigest] { Quarantine(aDigest); });
  }
  NotifyEntries(notice);
}

void
StrikeTracker::NotifyEntries(const schema::StrikeNotice& aNotice)
{
  auto view = node_.GetView();
  auto outstandingCalls = std::make_shared<std::atomic<int>>(0);
  net::CallTimeouts timeouts{ kNotifyTimeout, kNotifyTimeout, kNotifyTimeout };
  for (const auto& [vm, member] : view->members) {
    if (member.vm.role() != "entry" || vm == node_.GetSettings().vm()) {
      continue;
    }
    ++*outstandingCalls;
    net::Runtime::SpawnHere([this,
                             outstandingCalls,
                             aNotice,
                             timeouts,
                             peer = member.GetControlEndpoint()] {
      schema::Acknowledgement reply;
      utils::Error ignored;
      rpc_.Call(peer, "entry.strike", aNotice, reply, timeouts, ignored);
      --*outstandingCalls;
    });
  }
  auto until = clock_.Now() + kNotifyTimeout;
  while (*outstandingCalls > 0 && clock_.Now() < until) {
    net::Runtime::Sleep(kNotifyPollInterval);
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
  auto notice = MakeNotice(aDigest, schema::CONVICTED);
  auto renewedAt = clock_.Now();
  // Each retry appends the same record id, so that the record is applied once.
  for (int i = 0; i < kMaxAppendAttempts; ++i) {
    utils::Error reason;
    if (log_.Append(
          platform::kConfigStream, record.SerializeAsString(), reason)) {
      return;
    }
    if (clock_.Now() - renewedAt >= kRenewInterval) {
      renewedAt = clock_.Now();
      HandleNotice(notice);
      NotifyEntries(notice);
    }
    net::Runtime::Sleep(kAppendRetryInterval);
  }
  logger.Warn("quarantine record could not be appended to the log",
              { { "digest", aDigest } });
}

} // namespace waxwingyoke::requests
