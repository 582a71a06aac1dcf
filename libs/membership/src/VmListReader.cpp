#include <algorithm>
#include <mutex>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// What a relay spends on reading the list: a long list is read less often,
// and the other relays' reads fill the gaps.
constexpr std::size_t kListBytesPerSecond = 2048;
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr Millis kPauseOfOthers(500);

} // namespace

bool
Node::Impl::ReadVmList(bool aAsHint)
{
  utils::Error reason;
  auto list = vmList.Read(reason);
  if (!list) {
    logger.Report(reason);
    return false;
  }
  {
    Lock lock(mutex);
    listBytes = list->ByteSizeLong();
    if (aAsHint) {
      directory.TakeHint(*list);
      isDirty = true;
    } else {
      bool isNews = directory.TakeVmList(*list);
      isDirty = isDirty || isNews;
    }
  }
  changed.notify_all();
  return true;
}

void
Node::Impl::RunVmListReader()
{
  for (;;) {
    if (!GetPlace().relay) {
      net::Runtime::Sleep(kPauseOfOthers);
      continue;
    }
    ReadVmList(false);
    Millis pause(settings.control().vm_list_interval_ms());
    {
      Lock lock(mutex);
      auto spread = static_cast<std::int64_t>(listBytes) * kMillisPerSecond /
                    static_cast<std::int64_t>(kListBytesPerSecond);
      pause = std::max(pause, Millis(spread));
    }
    net::Runtime::Sleep(Jitter(pause));
  }
}

} // namespace waxwingyoke::membership
