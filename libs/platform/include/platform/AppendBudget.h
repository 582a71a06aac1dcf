#ifndef waxwingyoke_platform_AppendBudget_h
#define waxwingyoke_platform_AppendBudget_h

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

#include <utils/Time.h>

namespace waxwingyoke::platform {

/**
 * What a record is appended for, in descending priority: when the log refuses
 * appends because of its rate limit, the rates of later uses are cut deeper.
 */
enum class AppendUse
{
  Change,
  Quarantine,
  Permit,
  Ticket,
  Snapshot,
  Claim,
  Count
};

std::string_view
GetName(AppendUse aUse);

/** The use of a serialised LogRecord; Claim, the lowest priority, if the record
 * can't be parsed or has another body. */
AppendUse
FindAppendUse(std::string_view aPayload);

/** Appends of one use since the process started. */
struct AppendCount
{
  std::uint64_t sent = 0;
  std::uint64_t heldBack = 0;
};

/**
 * Limits one process's appends by a token bucket for each use. The log's rate
 * limit is shared by processes that do not coordinate, so each process raises
 * its rates slowly and cuts them when the log refuses an append (additive
 * increase, multiplicative decrease). Uses of lower priority are cut deeper,
 * and Snapshot and Claim are also raised more slowly. Operators' changes are
 * never held back. Safe from every thread.
 */
class AppendBudget
{
public:
  /** Whether an append may be sent now; counts it as sent or held back. */
  bool TryAcquire(AppendUse aUse, utils::Millis aNow);

  /** Cuts the rates after the log refused an append because of its rate
   * limit. */
  void RecordRefusal(utils::Millis aNow);

  AppendCount GetCount(AppendUse aUse) const;

private:
  static constexpr auto kUses = static_cast<std::size_t>(AppendUse::Count);

  struct Bucket
  {
    /** Appends per second; 0 before the first use. */
    double rate = 0;
    double tokens = 0;
    utils::Millis filledAt;
    AppendCount count;
  };

  Bucket& Refill(std::size_t aUse, utils::Millis aNow);

  mutable std::mutex mutex_;
  std::array<Bucket, kUses> buckets_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_AppendBudget_h
