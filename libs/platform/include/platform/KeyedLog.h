#ifndef waxwingyoke_platform_KeyedLog_h
#define waxwingyoke_platform_KeyedLog_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::platform {

/** The topics of the platform's log that a fleet uses. */
enum class Topic
{
  /** The operator's configuration and the versions that it names. */
  Operator,
  /** Upstreams, registered by themselves. */
  Upstreams,
  /** The fleet's own processes and their endpoints. */
  Members,
  /** Parts of prompts that crash upstreams. */
  Quarantine
};

/** One record of a keyed topic. */
struct KeyedRecord
{
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
  /** The key was removed; there is no value. */
  bool dropped = false;
};

struct KeyedPage
{
  std::vector<KeyedRecord> records;
  /** Offset at which the next read begins. */
  std::uint64_t end = 0;
  /**
   * Epoch of the log that answered; 0: not stated. It rises each time the log
   * is restored from an older copy. Offsets compare only within an epoch, and
   * records of the last seconds of the epoch before may be missing.
   */
  std::uint64_t epoch = 0;
  /**
   * Whether the records reach the log's end at the time of the answer. A page
   * that doesn't, because it is limited in size or its answer was cut, says
   * nothing of what is newest.
   */
  bool reachesEnd = true;
};

/** Keyed topics of the platform's log; the port that adapters implement. */
class KeyedLog
{
public:
  virtual ~KeyedLog() = default;

  /** The newest record of each key. */
  virtual std::optional<KeyedPage> ReadNewest(Topic aTopic,
                                              utils::Error& aReason) = 0;

  /**
   * Records from aFrom on; waits up to aWait for the first. LogTrimmed where
   * aFrom is no longer retained: ReadNewest then gives the current state.
   */
  virtual std::optional<KeyedPage> Read(Topic aTopic,
                                        std::uint64_t aFrom,
                                        utils::Millis aWait,
                                        utils::Error& aReason) = 0;

  /** Appends one record. OutcomeUnknown: it may have been appended. */
  virtual bool Append(Topic aTopic,
                      const std::string& aKey,
                      const std::string& aValue,
                      utils::Error& aReason) = 0;

  /** The newest epoch that any answer has stated; 0: none yet. */
  virtual std::uint64_t GetEpoch() const { return 0; }
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_KeyedLog_h
