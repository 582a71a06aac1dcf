#ifndef waxwingyoke_requests_RetryRule_h
#define waxwingyoke_requests_RetryRule_h

#include <utils/Error.h>

namespace waxwingyoke::requests {

/** What an entry does after a failed attempt. */
enum class NextStep
{
  GiveUp,
  /** On another side; the refusal cost no upstream anything. */
  TryAgain,
  /** On another side, if the budget has a retry left. */
  TryOnBudget
};

/**
 * Decides from the error alone: what did not run may be tried again, what
 * may have run only if it is idempotent.
 */
NextStep
DecideNext(utils::ErrorKind aKind, bool aIdempotent);

/**
 * The error that a caller gets after several attempts: a last one that says
 * "not run" speaks for itself only, so it is not passed on where an earlier
 * one may have run.
 */
utils::Error
MakeFinalError(const utils::Error& aLast, bool aMayHaveRun);

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_RetryRule_h
