#ifndef waxwingyoke_net_HookTimer_h
#define waxwingyoke_net_HookTimer_h

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * Calls a hook after a time, and again in each interval, until it is destroyed.
 * The hook runs on the loop's thread and must not suspend.
 */
class HookTimer
{
public:
  /** An empty hook starts nothing; with an interval of 0 it is called once. */
  HookTimer(boost::asio::io_context& aIo,
            utils::Millis aTime,
            std::function<void()> aHook,
            utils::Millis aInterval = utils::Millis(0))
  {
    if (!aHook) {
      return;
    }
    state_ = std::make_shared<State>(aIo);
    state_->hook = std::move(aHook);
    state_->interval = aInterval;
    Wait(state_, aTime);
  }

  // A wait may have ended, with its handler still to run.
  ~HookTimer()
  {
    if (state_) {
      state_->hook = nullptr;
      state_->timer.cancel();
    }
  }

  HookTimer(const HookTimer&) = delete;
  HookTimer& operator=(const HookTimer&) = delete;

private:
  struct State
  {
    explicit State(boost::asio::io_context& aIo)
      : timer(aIo)
    {
    }
    boost::asio::steady_timer timer;
    std::function<void()> hook;
    utils::Millis interval;
  };

  static void Wait(const std::shared_ptr<State>& aState, utils::Millis aTime)
  {
    aState->timer.expires_after(aTime.ToChrono());
    aState->timer.async_wait([state = aState](const auto& aError) {
      if (aError || !state->hook) {
        return;
      }
      state->hook();
      if (state->hook && state->interval > utils::Millis(0)) {
        Wait(state, state->interval);
      }
    });
  }

  std::shared_ptr<State> state_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_HookTimer_h
