#ifndef waxwingyoke_dispatch_PredictionBias_h
#define waxwingyoke_dispatch_PredictionBias_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * How much later first events come than the engine model predicts, as a
 * moving mean. What the model leaves out (requests of other entries that are
 * not known of yet, preemption, links) grows with the load.
 */
class PredictionBias
{
public:
  void Note(double aPredictedMs, double aActualMs, utils::Millis aNow);

  /** To be added to a prediction, ms; never below zero. */
  double GetMs(utils::Millis aNow) const;

private:
  double meanMs_ = 0;
  utils::Millis notedAt_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_PredictionBias_h
