#include "HedgedSend.h"

#include <exception>
#include <utility>

#include <net/Runtime.h>

namespace waxwingyoke::fleet {

HedgedSend::HedgedSend(EntryServices& aServices,
                       std::unique_ptr<UpstreamLease> aLease,
                       SendParameters aParameters,
                       std::function<void()> aOnEnd)
  : services_(aServices)
  , lease_(std::move(aLease))
  , parameters_(std::move(aParameters))
  , onEnd_(std::move(aOnEnd))
{
  parameters_.canceller = &canceller_;
  net::Runtime::SpawnHere([this] { Run(); });
}

HedgedSend::~HedgedSend()
{
  Cancel();
  Wait();
}

void
HedgedSend::Run()
{
  // An exception that left the fiber would end the process.
  try {
    answer_ = SendToUpstream(services_, *lease_, parameters_);
  } catch (const std::exception& failure) {
    answer_ = {};
    answer_.result = SendResult::Lost;
    answer_.reason.Set(utils::ErrorKind::Internal, failure.what());
  }
  ended_ = true;
  onEnd_();
  endCondition_.notify_all();
}

void
HedgedSend::Wait()
{
  std::unique_lock lock(mutex_);
  endCondition_.wait(lock, [this] { return ended_; });
}

} // namespace waxwingyoke::fleet
