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
  // A writer's context is its prompt and, on average, half of its answer.
  double context = aTraits.usualPromptTokens + aTraits.usualAnswerTokens / 2;
  stepMsPerRequest_ = aTraits.stepMsPerRequest +
                      aTraits.stepMsPerThousandTokens * context / kThousand;
  usualReadMs_ = GetReadMs(aTraits.usualPromptTokens);
  usualPasses_ = std::max(aTraits.usualAnswerTokens / stepsPerPass_, 1.0);
}

double
EngineModel::GetPassMs(std::uint32_t aWriters) const
{
  auto writers = std::min(aWriters, slots_);
  return stepsPerPass_ * (stepMs_ + stepMsPerRequest_ * writers);
}

// Each writer that ends is followed by one whose prompt is read in between.
double
EngineModel::GetBusyPassMs(std::uint32_t aWriters) const
{
  auto writers = std::min(aWriters, slots_);
  return GetPassMs(aWriters) + usualReadMs_ * writers / usualPasses_;
}

double
EngineModel::GetReadMs(double aPromptTokens) const
{
  constexpr double kMillion = 1e6;
  double pairs = aPromptTokens * aPromptTokens / 2;
  return aPromptTokens / readTokensPerMs_ +
         pairMsPerMillion_ * pairs / kMillion;
}

// A full batch ends one request in each share of a request's passes.
double
EngineModel::GetTurnoverMs() const
{
  return GetBusyPassMs(slots_) * usualPasses_ / slots_;
}

double
EngineModel::PredictFirstEventMs(const EngineLoad& aLoad,
                                 std::uint32_t aPromptTokens) const
{
  // A pass that runs is half done on average.
  double wait = aLoad.requests > 0 ? GetBusyPassMs(aLoad.requests) / 2 : 0;
  if (aLoad.requests >= slots_) {
    wait += GetTurnoverMs() * (aLoad.requests - slots_ + 1);
  }
  double read = GetReadMs(aPromptTokens) + GetReadMs(aLoad.unreadTokens);
  return (wait + read + GetPassMs(aLoad.requests + 1)) *
         std::max(aLoad.pace, 1.0);
}

} // namespace waxwingyoke::dispatch
