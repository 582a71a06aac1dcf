#ifndef waxwingyoke_dispatch_EngineModel_h
#define waxwingyoke_dispatch_EngineModel_h

#include <cstdint>

#include <platform/FleetConfig.h>

namespace waxwingyoke::dispatch {

/** What is at one engine, all entries' requests together. */
struct EngineLoad
{
  std::uint32_t requests = 0;
  /** Prompt tokens of requests that have not sent their first event. */
  std::uint32_t unreadTokens = 0;
  /** Over 1: it works slower than its description says. */
  double pace = 1;
};

/**
 * Predicts an engine's times from its own description. The formulae and
 * what they leave out stand in docs/design/platform.md.
 */
class EngineModel
{
public:
  explicit EngineModel(const platform::EngineTraits& aTraits);

  /** One pass of the batch with that many writers, without reading, ms. */
  double GetPassMs(std::uint32_t aWriters) const;

  /** The same with the reading that it usually does besides, ms. */
  double GetBusyPassMs(std::uint32_t aWriters) const;

  /** Reading a prompt, ms. */
  double GetReadMs(double aPromptTokens) const;

  /** Between two ends of requests when all slots are taken, ms. */
  double GetTurnoverMs() const;

  /** From arrival to the first event of a prompt of that size, ms. */
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
  double usualReadMs_ = 0;
  double usualPasses_ = 1;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_EngineModel_h
