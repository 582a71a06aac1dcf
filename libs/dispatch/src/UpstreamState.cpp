#include <dispatch/UpstreamState.h>

namespace waxwingyoke::dispatch {

using utils::Millis;

UseCount
UpstreamState::GetUse() const
{
  return { own.running + othersSum.running,
           own.unreadTokens + othersSum.unreadTokens };
}

void
UpstreamState::SetEntryUse(const std::string& aEntry,
                           const UseCount& aUse,
                           Millis aNow)
{
  auto row = others.find(aEntry);
  if (row == others.end()) {
    if (aUse.running == 0) {
      return;
    }
    row = others.try_emplace(aEntry).first;
  }
  if (aUse.running != row->second.running) {
    useChangedAt = aNow;
  }
  othersSum.running += aUse.running - row->second.running;
  othersSum.unreadTokens += aUse.unreadTokens - row->second.unreadTokens;
  row->second = aUse;
  if (aUse.running == 0) {
    othersSum.unreadTokens -= aUse.unreadTokens;
    others.erase(row);
  }
}

} // namespace waxwingyoke::dispatch
