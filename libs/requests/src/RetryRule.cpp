#include "RetryRule.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;

// Whether the request was refused before it reached an upstream, so that a
// retry adds no load there.
bool
IsExemptFromBudget(ErrorKind aKind)
{
  return aKind == ErrorKind::Leaving || aKind == ErrorKind::StaleRevision ||
         aKind == ErrorKind::Barred || aKind == ErrorKind::ConnectFailed;
}

} // namespace

NextStep
DecideNext(ErrorKind aKind, bool aIdempotent)
{
  const auto& traits = utils::GetErrorTraits(aKind);
  if (traits.run == utils::RunOutcome::No) {
    if (!traits.retry) {
      return NextStep::GiveUp;
    }
    return IsExemptFromBudget(aKind) ? NextStep::Retry
                                     : NextStep::RetryWithinBudget;
  }
  // The traits of OutcomeUnknown forbid a retry because the request could run
  // twice; for an idempotent request that is safe.
  bool mayRepeat = traits.retry || aKind == ErrorKind::OutcomeUnknown;
  return aIdempotent && mayRepeat ? NextStep::RetryWithinBudget
                                  : NextStep::GiveUp;
}

utils::Error
MakeFinalError(const utils::Error& aLast, bool aMayHaveRun)
{
  auto run = utils::GetErrorTraits(aLast.kind).run;
  if (run != utils::RunOutcome::No || !aMayHaveRun) {
    return aLast;
  }
  return { ErrorKind::OutcomeUnknown,
           "an earlier attempt may have run; last error: " + aLast.detail };
}

} // namespace waxwingyoke::requests
