#ifndef waxwingyoke_dispatch_CrashLedger_h
#define waxwingyoke_dispatch_CrashLedger_h

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** A request by its digest, and the upstream that crashed while it ran. */
struct Crash
{
  std::uint64_t request = 0;
  std::uint64_t upstream = 0;
};

/**
 * Counts the upstreams that crashed while a request ran there. One that was
 * there at several crashes is taken for their cause and sent nowhere for a
 * while.
 */
class CrashLedger
{
public:
  /** True if this is news. */
  bool Note(const Crash& aCrash, utils::Millis aNow);

  bool IsQuarantined(std::uint64_t aRequest, utils::Millis aNow) const;

  /** It ran to its end: it is not the cause. */
  void Clear(std::uint64_t aRequest);

  /** Crashes noted since aSince, to be told to other entries. */
  std::vector<Crash> ListSince(utils::Millis aSince) const;

private:
  struct Row
  {
    std::set<std::uint64_t> upstreams;
    utils::Millis last;
  };

  void DropOld(utils::Millis aNow);

  std::unordered_map<std::uint64_t, Row> rows_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_CrashLedger_h
