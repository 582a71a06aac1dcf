#ifndef waxwingyoke_dispatch_PredictionBias_h
#define waxwingyoke_dispatch_PredictionBias_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * Moving mean of the prediction error of EngineModel: how much later first
 * events arrive than predicted. The effects that the model neglects (requests
 * of other entries not yet reported, preemption, network latency) grow with the
 * load.
 */
class PredictionBias
{
public:
  void RecordSample(double aPredictedMs, double aActualMs, utils::Millis aNow);

  /**
   * Correction to add to a prediction, ms; never below zero. Decays while no
   * sample is recorded.
   */
  double GetMs(utils::Millis aNow) const;

private:
  double meanMs_ = 0;
  utils::Millis recordedAt_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_PredictionBias_h
