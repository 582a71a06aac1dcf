#ifndef waxwingyoke_requests_RetryRule_h
#define waxwingyoke_requests_RetryRule_h

#include <utils/Error.h>

namespace waxwingyoke::requests {

/** What an entry does after an attempt failed. */
enum class NextStep
{
  GiveUp,
  /**
   * Retry on another side without charging the retry budget: the refusal put
   * no load on an upstream.
   */
  Retry,
  /** Retry on another side if the retry budget allows it. */
  RetryWithinBudget
};

/**
 * Decides from the error kind alone whether to retry: a request that did not
 * run may be retried, one that may have run only if it is idempotent.
 */
NextStep
DecideNext(utils::ErrorKind aKind, bool aIdempotent);

/**
 * Returns the error that the caller receives after its last attempt. An error
 * of the kind "not run" covers the last attempt only; if an earlier attempt
 * may have run, OutcomeUnknown replaces it.
 */
utils::Error
MakeFinalError(const utils::Error& aLast, bool aMayHaveRun);

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_RetryRule_h
