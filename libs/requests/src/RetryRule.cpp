#include "RetryRule.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;

bool
IsFree(ErrorKind aKind)
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
    return IsFree(aKind) ? NextStep::TryAgain : NextStep::TryOnBudget;
  }
  // The row of OutcomeUnknown forbids what might run a second time; an
  // idempotent request may.
  bool mayRepeat = traits.retry || aKind == ErrorKind::OutcomeUnknown;
  return aIdempotent && mayRepeat ? NextStep::TryOnBudget : NextStep::GiveUp;
}

utils::Error
MakeFinalError(const utils::Error& aLast, bool aMayHaveRun)
{
  auto run = utils::GetErrorTraits(aLast.kind).run;
  if (run != utils::RunOutcome::No || !aMayHaveRun) {
    return aLast;
  }
  return { ErrorKind::OutcomeUnknown,
           "an earlier attempt may have run; the last: " + aLast.detail };
}

} // namespace waxwingyoke::requests
