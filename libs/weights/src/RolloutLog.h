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
 * This process's reading of the rollout stream: read only when something is
 * asked of it. Used by the fibers of one thread.
 */
class RolloutLog
{
public:
  explicit RolloutLog(platform::LogClient& aLog);

  /** Folds everything that stands in the stream by now. */
  bool Sync(utils::Error& aReason);

  /**
   * Appends a record and reads it back; the same id is sent again where the
   * answer was lost. False: it may or may not stand there.
   */
  bool Append(const schema::LogRecord& aRecord, utils::Error& aReason);

  const TicketFold& GetTickets() const { return tickets_; }
  const PermitFold& GetPermits() const { return permits_; }

private:
  bool ReadPage(bool& aMore, utils::Error& aReason);
  void Fold(const schema::StoredRecord& aRecord);

  platform::LogClient& log_;
  boost::fibers::mutex mutex_;
  std::uint64_t next_ = 0;
  TicketFold tickets_;
  PermitFold permits_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_RolloutLog_h
