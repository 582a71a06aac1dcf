#ifndef waxwingyoke_soak_LateOrderInjector_h
#define waxwingyoke_soak_LateOrderInjector_h

#include <functional>
#include <map>
#include <random>
#include <string>

#include "SoakBed.h"

namespace waxwingyoke::soak {

/**
 * Has engines accept orders seconds after they were sent, or not answer them,
 * and take time to load, while staged pieces are damaged and versions named.
 */
class LateOrderInjector
{
public:
  /** aNameVersion names the next version. */
  LateOrderInjector(SoakBed& aBed,
                    std::function<void()> aNameVersion,
                    std::map<std::string, int>& aInjectedCounts);

  /** Injects until aEnd, then ends the faults; blocks meanwhile. */
  void Run(utils::Millis aEnd);

private:
  void InjectAt(adapter::FakeUpstream& aEngine);
  void DamageSoon(adapter::FakeUpstream& aEngine);

  SoakBed& bed_;
  std::function<void()> nameVersion_;
  std::map<std::string, int>& injectedCounts_;
  utils::Clock clock_;
  std::mt19937_64 random_;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_LateOrderInjector_h
