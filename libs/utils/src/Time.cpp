#include <utils/Time.h>

#include <utility>

namespace waxwingyoke::utils {

namespace {

template<typename StdClock>
Millis
Read()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto sinceEpoch = StdClock::now().time_since_epoch();
  return Millis(duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace

Clock::Clock()
  : source_(&Read<std::chrono::steady_clock>)
{
}

Clock::Clock(Source aSource)
  : source_(std::move(aSource))
{
}

Millis
GetWallTime()
{
  return Read<std::chrono::system_clock>();
}

} // namespace waxwingyoke::utils
