#include <dispatch/EngineModel.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

EngineModel::EngineModel(const platform::EngineTraits& aTraits)
  : slots_(std::max<std::uint32_t>(aTraits.slots, 1))
  , stepsPerPass_(std::max<std::uint32_t>(aTraits.stepsPerPass, 1))
  , stepMs_(aTraits.stepMs)
  , readTokensPerMs_(aTraits.readTokensPerMs)
  , pairMsPerMillion_(aTraits.pairMsPerMillion)
{
  constexpr double kThousand = 1000;
  // A decoding request's context is its prompt and on average half its answer.
  double context = aTraits.usualPromptTokens + aTraits.usualAnswerTokens / 2;
  stepMsPerRequest_ = aTraits.stepMsPerRequest +
                      aTraits.stepMsPerThousandTokens * context / kThousand;
  usualPrefillMs_ = GetPrefillMs(aTraits.usualPromptTokens);
  usualPasses_ = std::max(aTraits.usualAnswerTokens / stepsPerPass_, 1.0);
}

double
EngineModel::GetPassMs(std::uint32_t aDecoding) const
{
  auto decoding = std::min(aDecoding, slots_);
  return stepsPerPass_ * (stepMs_ + stepMsPerRequest_ * decoding);
}

// Each request that completes is followed by one whose prefill runs in between.
double
EngineModel::GetLoadedPassMs(std::uint32_t aDecoding) const
{
  auto decoding = std::min(aDecoding, slots_);
  return GetPassMs(aDecoding) + usualPrefillMs_ * decoding / usualPasses_;
}

double
EngineModel::GetPrefillMs(double aPromptTokens) const
{
  constexpr double kMillion = 1e6;
  double pairs = aPromptTokens * aPromptTokens / 2;
  return aPromptTokens / readTokensPerMs_ +
         pairMsPerMillion_ * pairs / kMillion;
}

// A request takes usualPasses_ passes, so a full batch of slots_ requests
// completes one request every usualPasses_ / slots_ passes.
double
EngineModel::GetTurnoverMs() const
{
  return GetLoadedPassMs(slots_) * usualPasses_ / slots_;
}

double
EngineModel::PredictFirstEventMs(const EngineLoad& aLoad,
                                 std::uint32_t aPromptTokens) const
{
  // A new request waits for the end of the current pass: half of it on average.
  double wait = aLoad.requests > 0 ? GetLoadedPassMs(aLoad.requests) / 2 : 0;
  if (aLoad.requests >= slots_) {
    wait += GetTurnoverMs() * (aLoad.requests - slots_ + 1);
  }
  double prefill =
    GetPrefillMs(aPromptTokens) + GetPrefillMs(aLoad.unreadTokens);
  return (wait + prefill + GetPassMs(aLoad.requests + 1)) *
         std::max(aLoad.pace, 1.0);
}

} // namespace waxwingyoke::dispatch
