#include <algorithm>
#include <mutex>

#include <telemetry/Metrics.h>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Time that a reply may take beyond the wait that was requested.
constexpr Millis kAnswerSlack(1500);
constexpr Millis kConnectTimeout(1000);
// Changes that arrive within this time are sent together.
constexpr Millis kBatchDelay(20);
constexpr Millis kRetryPause(500);
constexpr Millis kPushWait(1000);
constexpr std::size_t kMaxPushRows = 200;

} // namespace

void
Node::Impl::RunParentLink()
{
  Millis wait(settings.control().sync_wait_ms());
  Millis pause(settings.control().sync_interval_ms());
  for (;;) {
    auto position = GetTreePosition();
    auto parent = position.parent;
    auto part = position.relay && readsLog ? SyncPart::Rows : SyncPart::All;
    if (parent.empty()) {
      net::Runtime::Sleep(kRetryPause);
    } else if (Sync(parent, wait, part)) {
      ClearSuspect(parent);
      net::Runtime::Sleep(kBatchDelay);
    } else {
      MarkSuspect(parent);
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
    const auto& neighbour = neighbours[aVm];
    request.set_directory_id(neighbour.directoryId);
    request.set_directory_version(neighbour.received);
    // On first contact, digests of the rows held here keep a new parent from
    // sending rows that the previous one sent already.
    if (aPart != SyncPart::Records && neighbour.directoryId.empty()) {
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
    logger.Debug("sync with a neighbour failed",
                 { { "peer", aVm }, { "detail", reason.detail } });
    return false;
  }
  ApplyReply(aVm, reply);
  return true;
}

void
Node::Impl::ApplyReply(const std::string& aVm, const schema::SyncReply& aReply)
{
  {
    Lock lock(mutex);
    auto previousNextOffset = store.GetNextOffset();
    store.ApplyReply(aReply, clock.Now());
    isDirty = isDirty || store.GetNextOffset() != previousNextOffset;
    if (!aReply.directory_id().empty()) {
      UpdateDirectoryId(aVm, aReply.directory_id());
      neighbours[aVm].received = aReply.directory_version();
    }
    std::ranges::for_each(aReply.rows(), [&](const auto& aRow) {
      bool isOwn = aRow.vm().id() == self;
      bool isChanged = directory.Merge(aRow, aVm, RowSource::Parent);
      // The status of an earlier incarnation must not replace this one's.
      if (isOwn && isChanged) {
        directory.UpdateOwnStatus(status);
      }
      isDirty = isDirty || isChanged;
    });
  }
  changed.notify_all();
}

void
Node::Impl::UpdateDirectoryId(const std::string& aVm, const std::string& aId)
{
  auto& neighbour = neighbours[aVm];
  if (neighbour.directoryId != aId) {
    neighbour = { aId, 0, 0 };
  }
}

void
Node::Impl::RunPushes()
{
  for (;;) {
    auto parent = GetTreePosition().parent;
    if (!parent.empty() && !Push(parent)) {
      MarkSuspect(parent);
      net::Runtime::Sleep(Jitter(kRetryPause));
    }
    Lock lock(mutex);
    bool isAcknowledged = parent.empty() || neighbours[parent].acknowledged >=
                                              directory.GetVersion();
    if (isAcknowledged) {
      WaitForChange(lock, kPushWait);
    }
  }
}

bool
Node::Impl::Push(const std::string& aVm)
{
  net::Runtime::Sleep(kBatchDelay);
  schema::PushRequest request;
  request.set_vm(self);
  DirectoryDelta delta;
  {
    Lock lock(mutex);
    delta =
      directory.CollectForParent(neighbours[aVm].acknowledged, kMaxPushRows);
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
  // If the neighbour restarted, earlier rows went to another incarnation: they
  // are all sent again.
  bool isSame = neighbours[aVm].directoryId == reply.directory_id();
  UpdateDirectoryId(aVm, reply.directory_id());
  if (isSame) {
    neighbours[aVm].acknowledged = delta.version;
  }
  return true;
}

} // namespace waxwingyoke::membership
