#ifndef waxwingyoke_platform_AppendBudget_h
#define waxwingyoke_platform_AppendBudget_h

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

#include <utils/Time.h>

namespace waxwingyoke::platform {

/**
 * What a record is appended for, in the order in which uses keep their
 * place when the log refuses for its rate: the last gives way first.
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

/** The use of a serialised LogRecord; the last one where it is unclear. */
AppendUse
FindAppendUse(std::string_view aPayload);

/** Appends of one use since the process started. */
struct AppendCount
{
  std::uint64_t sent = 0;
  std::uint64_t heldBack = 0;
};

/**
 * One process's rate of appends for each use. The log's rate is shared by
 * processes that do not know of each other, so each raises its rates slowly
 * and cuts them when the log refuses; a use that gives way earlier is cut
 * deeper and raised more slowly. Operators' changes are never held back.
 * Safe from every thread.
 */
class AppendBudget
{
public:
  /** Whether an append may be sent now; counts it. */
  bool Take(AppendUse aUse, utils::Millis aNow);

  /** The log refused an append for its rate. */
  void NoteRefusal(utils::Millis aNow);

  AppendCount GetCount(AppendUse aUse) const;

private:
  static constexpr auto kUses = static_cast<std::size_t>(AppendUse::Count);

  struct Bucket
  {
    /** Appends a second; 0 before its first use. */
    double rate = 0;
    double tokens = 0;
    utils::Millis filledAt;
    AppendCount count;
  };

  Bucket& Fill(std::size_t aUse, utils::Millis aNow);

  mutable std::mutex mutex_;
  std::array<Bucket, kUses> buckets_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_AppendBudget_h
