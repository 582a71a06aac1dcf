#ifndef waxwingyoke_dispatch_SurvivalCounter_h
#define waxwingyoke_dispatch_SurvivalCounter_h

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * Counts the requests of all entries that ran without crashing their upstream,
 * for the last minute. Not thread-safe.
 */
class SurvivalCounter
{
public:
  /** Records a run of this entry. */
  void RecordOwn(utils::Millis aNow);

  /**
   * Applies the total that another entry reports. What it had counted before
   * its first report, or after a restart, is left out.
   */
  void ApplyTotal(const std::string& aEntry,
                  std::uint64_t aTotal,
                  utils::Millis aNow);

  /** The runs of this entry since its start, for the other entries. */
  std::uint64_t GetOwnTotal() const { return ownTotal_; }

  /** The runs of all entries from aTime on, accurate to 100 ms. */
  std::uint64_t CountFrom(utils::Millis aTime) const;

private:
  /** Runs that were recorded within one interval. */
  struct Bucket
  {
    utils::Millis start;
    std::uint64_t count = 0;
  };
  /** The newest total of another entry. */
  struct Total
  {
    std::uint64_t count = 0;
    utils::Millis receivedAt;
  };

  void Add(std::uint64_t aCount, utils::Millis aNow);

  std::uint64_t ownTotal_ = 0;
  std::deque<Bucket> buckets_;
  std::unordered_map<std::string, Total> totals_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_SurvivalCounter_h
