#ifndef waxwingyoke_weights_RolloutLog_h
#define waxwingyoke_weights_RolloutLog_h

#include <cstdint>
#include <string>

#include <boost/fiber/mutex.hpp>

#include <platform/LogClient.h>
#include <schema/log.pb.h>
#include <utils/Error.h>

#include "PermitFold.h"
#include "TicketFold.h"

namespace waxwingyoke::weights {

/**
 * Folds the rollout stream of the log into tickets and permits. The stream is
 * read on demand only. Used by the fibers of one thread.
 */
class RolloutLog
{
public:
  explicit RolloutLog(platform::LogClient& aLog);

  /** Folds all records up to the stream's current end. May suspend. */
  bool Sync(utils::Error& aReason);

  /**
   * Appends a record and folds the stream up to it. Retries with the same id
   * where the response was lost. After false the record may or may not be in
   * the log. May suspend.
   */
  bool Append(const schema::LogRecord& aRecord, utils::Error& aReason);

  const TicketFold& GetTickets() const { return tickets_; }
  const PermitFold& GetPermits() const { return permits_; }

private:
  bool ReadPage(bool& aMore, utils::Error& aReason);
  void Fold(const schema::StoredRecord& aRecord);

  platform::LogClient& log_;
  boost::fibers::mutex mutex_;
  std::uint64_t nextOffset_ = 0;
  TicketFold tickets_;
  PermitFold permits_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_RolloutLog_h
