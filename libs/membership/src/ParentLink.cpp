#include <algorithm>
#include <mutex>

#include <telemetry/Metrics.h>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// A reply that is later than its wait by this much will not come.
constexpr Millis kAnswerSlack(1500);
constexpr Millis kConnectTimeout(1000);
// News that come together travel together.
constexpr Millis kGatherPause(20);
constexpr Millis kTopPause(500);
constexpr Millis kPushWait(1000);
constexpr std::size_t kMaxPushRows = 200;

} // namespace

void
Node::Impl::RunParentLink()
{
  Millis wait(settings.control().sync_wait_ms());
  Millis pause(settings.control().sync_interval_ms());
  for (;;) {
    auto place = GetPlace();
    auto parent = place.parent;
    auto part = place.relay && readsLog ? SyncPart::Rows : SyncPart::All;
    if (parent.empty()) {
      net::Runtime::Sleep(kTopPause);
    } else if (Sync(parent, wait, part)) {
      Trust(parent);
      net::Runtime::Sleep(kGatherPause);
    } else {
      Suspect(parent);
      net::Runtime::Sleep(Jitter(pause));
    }
  }
}

bool
Node::Impl::Sync(const std::string& aVm, Millis aWait, SyncPart aPart)
{
  schema::SyncRequest request;
  request.set_vm(self);
  request.set_wait_ms(aWait.value);
  request.set_records_only(aPart == SyncPart::Records);
  request.set_rows_only(aPart == SyncPart::Rows);
  {
    Lock lock(mutex);
    request.set_config_offset(store.GetNextOffset());
    const auto& known = neighbours[aVm];
    request.set_directory_id(known.directoryId);
    request.set_directory_version(known.received);
    // A neighbour in place of another has mostly the same rows.
    if (aPart != SyncPart::Records && known.directoryId.empty()) {
      auto digests = directory.GetDigests();
      request.mutable_known_rows()->Add(digests.begin(), digests.end());
    }
  }
  net::CallTimeouts timeouts{ kConnectTimeout,
                              aWait + kAnswerSlack,
                              kAnswerSlack };
  schema::SyncReply reply;
  utils::Error reason;
  if (!rpc.Call(
        FindEndpoint(aVm), "control.sync", request, reply, timeouts, reason)) {
    static auto& sFailures =
      telemetry::Metrics::Get().GetCounter("config_sync_failures_total");
    sFailures.Add();
    logger.Debug("a neighbour did not answer",
                 { { "peer", aVm }, { "detail", reason.detail } });
    return false;
  }
  TakeReply(aVm, reply);
  return true;
}

void
Node::Impl::TakeReply(const std::string& aVm, const schema::SyncReply& aReply)
{
  {
    Lock lock(mutex);
    auto before = store.GetNextOffset();
    store.TakeReply(aReply, clock.Now());
    isDirty = isDirty || store.GetNextOffset() != before;
    if (!aReply.directory_id().empty()) {
      MeetDirectory(aVm, aReply.directory_id());
      neighbours[aVm].received = aReply.directory_version();
    }
    std::ranges::for_each(aReply.rows(), [&](const auto& aRow) {
      bool isOwn = aRow.vm().id() == self;
      bool isNews = directory.Merge(aRow, aVm, RowSource::Above);
      // An earlier incarnation's words are not this one's.
      if (isOwn && isNews) {
        directory.AmendOwn(status);
      }
      isDirty = isDirty || isNews;
    });
  }
  changed.notify_all();
}

void
Node::Impl::MeetDirectory(const std::string& aVm, const std::string& aId)
{
  auto& known = neighbours[aVm];
  if (known.directoryId != aId) {
    known = { aId, 0, 0 };
  }
}

void
Node::Impl::RunPushes()
{
  for (;;) {
    auto parent = GetPlace().parent;
    if (!parent.empty() && !Push(parent)) {
      Suspect(parent);
      net::Runtime::Sleep(Jitter(kTopPause));
    }
    Lock lock(mutex);
    bool isKnown = parent.empty() ||
                   neighbours[parent].acknowledged >= directory.GetVersion();
    if (isKnown) {
      WaitForChange(lock, kPushWait);
    }
  }
}

bool
Node::Impl::Push(const std::string& aVm)
{
  net::Runtime::Sleep(kGatherPause);
  schema::PushRequest request;
  request.set_vm(self);
  DirectoryDelta delta;
  {
    Lock lock(mutex);
    delta = directory.CollectUp(neighbours[aVm].acknowledged, kMaxPushRows);
    if (delta.rows.empty()) {
      neighbours[aVm].acknowledged = delta.version;
      return true;
    }
  }
  std::ranges::for_each(
    delta.rows, [&request](const auto& aRow) { *request.add_rows() = aRow; });
  static auto& sRows =
    telemetry::Metrics::Get().GetCounter("directory_rows_pushed_total");
  sRows.Add(static_cast<std::uint64_t>(request.rows_size()));
  net::CallTimeouts timeouts{ kConnectTimeout, kAnswerSlack, kAnswerSlack };
  schema::PushReply reply;
  utils::Error reason;
  if (!rpc.Call(
        FindEndpoint(aVm), "control.push", request, reply, timeouts, reason)) {
    return false;
  }
  Lock lock(mutex);
  // Rows before these went to another incarnation: all are sent again.
  bool isSame = neighbours[aVm].directoryId == reply.directory_id();
  MeetDirectory(aVm, reply.directory_id());
  if (isSame) {
    neighbours[aVm].acknowledged = delta.version;
  }
  return true;
}

} // namespace waxwingyoke::membership
