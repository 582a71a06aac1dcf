#ifndef waxwingyoke_dispatch_EngineModel_h
#define waxwingyoke_dispatch_EngineModel_h

#include <cstdint>

#include <platform/FleetConfig.h>

namespace waxwingyoke::dispatch {

/** Load of one engine, summed over the requests of all entries. */
struct EngineLoad
{
  std::uint32_t requests = 0;
  /** Prompt tokens of requests that have not sent their first event. */
  std::uint32_t unreadTokens = 0;
  /** Factor on the described times; above 1: the engine is slower. */
  double pace = 1;
};

/**
 * Predicts the latencies of an LLM engine with continuous batching from its
 * described traits. A pass is stepsPerPass token steps of the whole batch.
 * docs/design/platform.md lists the formulae and the effects that they neglect.
 * Immutable.
 */
class EngineModel
{
public:
  explicit EngineModel(const platform::EngineTraits& aTraits);

  /** One pass over a batch with aDecoding requests, without prefill, ms. */
  double GetPassMs(std::uint32_t aDecoding) const;

  /** The same with the prefill work that a pass has on average, ms. */
  double GetLoadedPassMs(std::uint32_t aDecoding) const;

  /** Prefill (prompt processing) time, ms. */
  double GetPrefillMs(double aPromptTokens) const;

  /** Mean time between two completions when all slots are in use, ms. */
  double GetTurnoverMs() const;

  /** Time to first event of a new request with that prompt size, ms. */
  double PredictFirstEventMs(const EngineLoad& aLoad,
                             std::uint32_t aPromptTokens) const;

  std::uint32_t GetSlots() const { return slots_; }

private:
  std::uint32_t slots_;
  double stepsPerPass_;
  double stepMs_;
  double stepMsPerRequest_;
  double readTokensPerMs_;
  double pairMsPerMillion_;
  /** Prefill time and decode passes of the described usual request. */
  double usualPrefillMs_ = 0;
  double usualPasses_ = 1;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_EngineModel_h
