#include <algorithm>
#include <limits>
#include <mutex>

#include <telemetry/Metrics.h>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr Millis kMaxWait(20000);
constexpr Millis kAgeStep(2000);
constexpr std::size_t kMaxReplyRows = 200;

void
AddAppends(const platform::AppendBudget& aBudget, schema::StatusReply& aReply)
{
  using platform::AppendUse;
  constexpr auto kUses = static_cast<int>(AppendUse::Count);
  for (int i = 0; i < kUses; ++i) {
    auto use = static_cast<AppendUse>(i);
    auto count = aBudget.GetCount(use);
    auto& row = *aReply.add_appends();
    row.set_use(std::string(platform::GetName(use)));
    row.set_sent(count.sent);
    row.set_held_back(count.heldBack);
  }
}

} // namespace

void
Node::Impl::AddMethods(rpc::RpcServer& aServer)
{
  using utils::Error;
  aServer.Add<schema::SyncRequest, schema::SyncReply>(
    "control.sync", [this](const auto& aRequest, auto& aReply, Error&) {
      AnswerSync(aRequest, aReply);
      return true;
    });
  aServer.Add<schema::PushRequest, schema::PushReply>(
    "control.push", [this](const auto& aRequest, auto& aReply, Error&) {
      AnswerPush(aRequest, aReply);
      return true;
    });
  aServer.Add<schema::StatusRequest, schema::StatusReply>(
    "status.get", [this](const auto&, auto& aReply, Error&) {
      AnswerStatus(aReply);
      return true;
    });
}

void
Node::Impl::AnswerSync(const schema::SyncRequest& aRequest,
                       schema::SyncReply& aReply)
{
  bool isBehind = false;
  {
    Lock lock(mutex);
    WaitForUpdate(aRequest, lock);
    isBehind = store.GetNextOffset() < aRequest.config_offset();
    FillSync(aRequest, aReply);
  }
  static auto& sRows =
    telemetry::Metrics::Get().GetCounter("directory_rows_sent_total");
  sRows.Add(static_cast<std::uint64_t>(aReply.rows_size()));
  // The caller holds later records than this node: fetches them from it.
  if (isBehind) {
    net::Runtime::SpawnHere([this, vm = aRequest.vm()] { PullFrom(vm); });
  }
}

void
Node::Impl::WaitForUpdate(const schema::SyncRequest& aRequest, Lock& aLock)
{
  auto wait = std::min(Millis(aRequest.wait_ms()), kMaxWait);
  auto deadline = clock.Now() + wait;
  // Also replies when only the time of the last match with the log's end has
  // advanced. Otherwise ages would add up from level to level of the tree,
  // until the lower nodes classify themselves as stale and resync.
  auto freshEnough = store.GetUpToDateTime().value_or(Millis(0)) + kAgeStep;
  for (;;) {
    schema::SyncReply probe;
    auto remaining = deadline - clock.Now();
    bool isFresher = !aRequest.rows_only() && store.GetUpToDateTime().value_or(
                                                freshEnough) > freshEnough;
    if (remaining <= Millis(0) || isFresher || FillSync(aRequest, probe)) {
      return;
    }
    WaitForChange(aLock, remaining);
  }
}

bool
Node::Impl::FillSync(const schema::SyncRequest& aRequest,
                     schema::SyncReply& aReply)
{
  constexpr auto kNothingMissing = std::numeric_limits<std::uint64_t>::max();
  auto missing =
    aRequest.rows_only() ? kNothingMissing : aRequest.config_offset();
  store.FillReply(missing, clock.Now(), aReply);
  bool isChanged = aReply.records_size() > 0 || aReply.has_snapshot();
  if (aRequest.records_only()) {
    return isChanged;
  }
  bool isSameDirectory = aRequest.directory_id() == directoryId;
  auto since = isSameDirectory ? aRequest.directory_version() : 0;
  RowDigests heldRows(aRequest.known_rows().begin(),
                      aRequest.known_rows().end());
  auto delta =
    directory.CollectForChild(since, aRequest.vm(), kMaxReplyRows, heldRows);
  aReply.set_directory_id(directoryId);
  aReply.set_directory_version(delta.version);
  std::ranges::for_each(
    delta.rows, [&aReply](const auto& aRow) { *aReply.add_rows() = aRow; });
  return isChanged || !isSameDirectory || !delta.rows.empty();
}

void
Node::Impl::AnswerPush(const schema::PushRequest& aRequest,
                       schema::PushReply& aReply)
{
  {
    Lock lock(mutex);
    std::ranges::for_each(aRequest.rows(), [&](const auto& aRow) {
      bool isChanged = directory.Merge(aRow, aRequest.vm(), RowSource::Child);
      isDirty = isDirty || isChanged;
    });
    aReply.set_directory_id(directoryId);
  }
  changed.notify_all();
}

void
Node::Impl::AnswerStatus(schema::StatusReply& aReply)
{
  auto position = GetTreePosition();
  auto current = view.Get();
  Lock lock(mutex);
  auto age = store.GetAge(clock.Now());
  *aReply.mutable_status() = status;
  aReply.set_data_centre(settings.node().data_centre());
  aReply.set_region(settings.node().region());
  aReply.set_config_offset(current->config->nextOffset);
  aReply.set_age_ms(age ? age->value : -1);
  aReply.set_relay(position.relay);
  aReply.set_parent(position.parent);
  aReply.set_snapshot_offset(store.GetReplay().GetSnapshotOffset());
  aReply.set_snapshot_mismatches(store.GetReplay().GetMismatches());
  aReply.set_skipped_records(store.GetSkippedRecords());
  aReply.set_members(current->members.size());
  AddAppends(log.GetBudget(), aReply);
  aReply.set_folded_offset(store.GetNextOffset());
  if (store.IsStarted()) {
    auto state = store.GetReplay().GetFold().GetState();
    aReply.set_state_digest(profiles::Fold::GetDigest(state).ToHex());
  }
}

} // namespace waxwingyoke::membership
