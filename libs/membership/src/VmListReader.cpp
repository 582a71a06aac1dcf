#include <algorithm>
#include <mutex>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// What a relay spends on a list that can only be read whole, in bytes of the
// binary form, which JSON doubles: a long list is read less often, and the
// other relays' reads fill the gaps.
constexpr std::int64_t kListBytesPerSecond = 512;
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr Millis kPauseOfOthers(500);
constexpr std::uint64_t kReadsPerWhole = 300;

} // namespace

bool
Node::Impl::ReadVmList(bool aAsHint)
{
  utils::Error reason;
  auto look = vmList.ReadIfChanged(listTag, reason);
  if (!look) {
    logger.Report(reason);
    return false;
  }
  listTag = look->tag;
  if (!look->changed) {
    return true;
  }
  {
    Lock lock(mutex);
    listBytes = static_cast<std::int64_t>(look->list.ByteSizeLong());
    if (aAsHint) {
      directory.TakeHint(look->list);
      isDirty = true;
    } else {
      bool isNews = directory.TakeVmList(look->list);
      isDirty = isDirty || isNews;
    }
  }
  changed.notify_all();
  return true;
}

void
Node::Impl::RunVmListReader()
{
  std::uint64_t reads = 0;
  for (;;) {
    if (!GetPlace().relay) {
      net::Runtime::Sleep(kPauseOfOthers);
      continue;
    }
    // What was read as a hint is read again as the list; and now and then a
    // neighbour that was away has brought back what the list dropped.
    if (reads++ % kReadsPerWhole == 0) {
      listTag.clear();
    }
    ReadVmList(false);
    Millis pause(settings.control().vm_list_interval_ms());
    if (listTag.empty()) {
      Millis spread(listBytes * kMillisPerSecond / kListBytesPerSecond);
      pause = std::max(pause, spread);
    }
    net::Runtime::Sleep(Jitter(pause));
  }
}

} // namespace waxwingyoke::membership
