#include <utils/Time.h>

#include <ctime>
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

Clock
Clock::CountingSuspension()
{
  return Clock([] {
    constexpr std::int64_t kMsPerSecond = 1000;
    constexpr std::int64_t kNanosPerMs = 1000000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Millis(now.tv_sec * kMsPerSecond + now.tv_nsec / kNanosPerMs);
  });
}

Millis
GetWallTime()
{
  return Read<std::chrono::system_clock>();
}

} // namespace waxwingyoke::utils
