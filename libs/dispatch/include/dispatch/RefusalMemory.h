#ifndef waxwingyoke_dispatch_RefusalMemory_h
#define waxwingyoke_dispatch_RefusalMemory_h

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** A request, by its digest, that was refused when it first came. */
struct Refusal
{
  std::uint64_t request = 0;
  utils::Millis firstCame;
};

/**
 * Remembers refused requests for as long as their callers may come back, so
 * that one that does is known with the time that it has waited. What callers
 * say of their patience does not tell: it differs from caller to caller.
 */
class RefusalMemory
{
public:
  /** Keeps the earliest time of a request that is refused again. */
  void Note(const Refusal& aRefusal, utils::Millis aNow);

  /** When the request first came; empty if it was not refused. */
  std::optional<utils::Millis> Find(std::uint64_t aRequest) const;

  /** Refusals of this entry that others have not been told often enough. */
  std::vector<Refusal> TakeNews();

  /** To be told to other entries. */
  void Announce(const Refusal& aRefusal);

private:
  struct Pending
  {
    Refusal refusal;
    int toldTimes = 0;
  };

  void DropOld(utils::Millis aNow);

  std::unordered_map<std::uint64_t, utils::Millis> firstCame_;
  std::vector<Pending> pending_;
  utils::Millis cleanedAt_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_RefusalMemory_h
