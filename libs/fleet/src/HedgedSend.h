#ifndef waxwingyoke_fleet_HedgedSend_h
#define waxwingyoke_fleet_HedgedSend_h

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <dispatch/BufferBudget.h>

#include "EventRelay.h"
#include "UpstreamLease.h"
#include "UpstreamSend.h"

namespace waxwingyoke::fleet {

/** What a second send expects of its answer. */
struct HedgeOptions
{
  bool isStream = false;
  /** The head has gone to the caller: only an event stream can go on. */
  bool isResumed = false;
  /** State of the stream at the last event that the caller has. */
  EventRelay relay;
};

/**
 * A second send of a request, on a fiber of its own, while the first upstream
 * is silent. Reads the answer ahead and holds it back, so that its owner can
 * still choose the first upstream. Destroying it cancels the send and waits for
 * the fiber's end.
 */
class HedgedSend
{
public:
  /**
   * aOnProgress is called on the send's fiber when the first event has arrived
   * and when the send has ended. It must not suspend.
   */
  HedgedSend(EntryServices& aServices,
             std::unique_ptr<UpstreamLease> aLease,
             SendParameters aParameters,
             HedgeOptions aOptions,
             std::function<void()> aOnProgress);
  ~HedgedSend();

  HedgedSend(const HedgedSend&) = delete;
  HedgedSend& operator=(const HedgedSend&) = delete;

  void Cancel();
  /**
   * Called when the first upstream's head goes to the caller after this send
   * began: from then on only an event stream can go on.
   */
  void RequireContinuation();
  /** Suspends the calling fiber until the send has ended. */
  void Wait();
  /**
   * Suspends the calling fiber until the answer can be delivered: from its head
   * on if it is a stream, otherwise once it is complete. Also returns if the
   * send has failed.
   */
  void WaitForAnswer();

  /** The send failed or was cancelled, or its answer broke off. */
  bool HasFailed() const { return ended_ && !IsUsable(); }
  bool HasEnded() const { return ended_; }
  bool IsCancelled() const { return canceller_.IsCancelled(); }
  /** The answer has begun as expected and has not broken off. */
  bool IsUsable() const { return hasHead_ && !brokeOff_ && !IsCancelled(); }
  bool IsComplete() const { return isComplete_; }
  /** When the first event arrived; empty until then. */
  std::optional<utils::Millis> GetFirstEventAt() const { return firstEventAt_; }

  /** The version that the send asked for, and its time limit for the start. */
  const SendParameters& GetParameters() const { return parameters_; }

  std::unique_ptr<UpstreamLease> TakeLease() { return std::move(lease_); }
  /**
   * Ends the reading ahead and returns the answer with what was read. To be
   * called once WaitForAnswer has returned.
   */
  UpstreamAnswer TakeAnswer();
  /** May be read once the send has ended. */
  const UpstreamAnswer& GetAnswer() const { return answer_; }
  UpstreamLease& GetLease() { return *lease_; }

private:
  void Run();
  bool HasExpectedHead() const;
  void ReadAhead();
  bool Add(const std::string& aPart);
  bool IsEndMissing() const;
  void RecordBreak();
  void DropAnswer();
  void Notify();

  EntryServices& services_;
  std::unique_ptr<UpstreamLease> lease_;
  net::CallCanceller canceller_;
  SendParameters parameters_;
  HedgeOptions options_;
  std::function<void()> onProgress_;
  utils::Millis deadline_;
  UpstreamAnswer answer_;
  /** Of what answer_ and the relay hold. */
  dispatch::BufferShare share_;
  std::uint64_t eventsBefore_;
  std::optional<utils::Millis> firstEventAt_;
  bool hasHead_ = false;
  bool isComplete_ = false;
  bool brokeOff_ = false;
  bool isStopping_ = false;
  bool ended_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable progressCondition_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_HedgedSend_h
