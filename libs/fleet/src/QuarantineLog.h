#ifndef waxwingyoke_fleet_QuarantineLog_h
#define waxwingyoke_fleet_QuarantineLog_h

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <dispatch/PartQuarantine.h>
#include <net/Runtime.h>
#include <platform/KeyedLog.h>
#include <telemetry/Logger.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * Stores the parts that an entry quarantines in the platform's log, so that
 * they outlast a restart of all entries, and reads those of all entries at its
 * start. Meanwhile entries learn of each other's by notices. Used by one
 * thread.
 */
class QuarantineLog
{
public:
  /** aVm: the name of this VM. */
  QuarantineLog(net::Runtime& aRuntime,
                platform::KeyedLog& aLog,
                dispatch::PartQuarantine& aQuarantine,
                std::string aVm);

  /** Reads the log in the background, until it answers. */
  void Start();

  /** Writes a part in the background, until the log has it or it has expired.
   */
  void Store(const dispatch::QuarantinedPart& aPart);

  /** Writes this entry's parts again once the log was restored from a copy. */
  void StoreAgainIfRestored();

  /** Logs what happened to a part. */
  void LogPart(std::string_view aText,
               const dispatch::QuarantinedPart& aPart) const;

private:
  void Read();
  void Apply(const platform::KeyedRecord& aRecord);
  void WritePending();

  net::Runtime& runtime_;
  platform::KeyedLog& log_;
  dispatch::PartQuarantine& quarantine_;
  std::string vm_;
  /** What this entry has to store and has stored, by part. */
  std::map<std::uint64_t, dispatch::QuarantinedPart> pending_;
  std::map<std::uint64_t, dispatch::QuarantinedPart> stored_;
  bool isWriting_ = false;
  /** Epoch of the log in which stored_ was written; 0: none. */
  std::uint64_t storedEpoch_ = 0;
  utils::Clock clock_;
  telemetry::Logger logger_{ "quarantine" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_QuarantineLog_h
