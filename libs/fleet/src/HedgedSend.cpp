#include "HedgedSend.h"

#include <exception>
#include <utility>

#include <net/Runtime.h>

namespace waxwingyoke::fleet {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
// Events of a stream beyond these bytes are left to the connection.
constexpr std::size_t kMaxHeldBytes = 256 * 1024;

} // namespace

HedgedSend::HedgedSend(EntryServices& aServices,
                       std::unique_ptr<UpstreamLease> aLease,
                       SendParameters aParameters,
                       HedgeOptions aOptions,
                       std::function<void()> aOnProgress)
  : services_(aServices)
  , lease_(std::move(aLease))
  , parameters_(std::move(aParameters))
  , options_(std::move(aOptions))
  , onProgress_(std::move(aOnProgress))
  , deadline_(aServices.Now() + parameters_.headTimeout)
  , share_(aServices.GetAnswerBudget(), [this] { DropAnswer(); })
  , eventsBefore_(options_.relay.GetEventCount())
{
  parameters_.canceller = &canceller_;
  if (options_.isResumed) {
    options_.relay.DiscardPartialEvent();
  }
  net::Runtime::SpawnHere([this] { Run(); });
}

HedgedSend::~HedgedSend()
{
  Cancel();
  Wait();
}

void
HedgedSend::Cancel()
{
  canceller_.Cancel();
  if (answer_.stream) {
    answer_.stream->Cancel();
  }
}

void
HedgedSend::RequireContinuation()
{
  options_.isResumed = true;
  options_.relay = EventRelay();
  options_.relay.DiscardPartialEvent();
  options_.relay.Add(answer_.readAhead);
  options_.relay.TakeEvents();
  if (IsUsable() &&
      (!answer_.head.isEventStream || options_.relay.HasForeignEvent())) {
    answer_.reason.Set(ErrorKind::AnswerBroken,
                       "the answer does not continue the stream");
    isComplete_ = false;
    RecordBreak();
    answer_.stream->StopWaiting();
  }
}

void
HedgedSend::Run()
{
  // An exception that left the fiber would end the process.
  try {
    answer_ = SendToUpstream(services_, *lease_, parameters_);
    hasHead_ = HasExpectedHead();
    if (hasHead_) {
      Notify();
      ReadAhead();
    }
  } catch (const std::exception& failure) {
    brokeOff_ = true;
    answer_ = {};
    answer_.result = SendResult::Lost;
    answer_.reason.Set(ErrorKind::Internal, failure.what());
  }
  ended_ = true;
  Notify();
}

bool
HedgedSend::HasExpectedHead() const
{
  if (answer_.result != SendResult::Answered) {
    return false;
  }
  auto status = answer_.head.status;
  if (options_.isStream) {
    return status == kOk && (!options_.isResumed || answer_.head.isEventStream);
  }
  return status >= kOk && status < kMultipleChoices;
}

void
HedgedSend::ReadAhead()
{
  std::string part;
  // A cancellation may come while what was read waits for this fiber's turn.
  while (!isStopping_ && !brokeOff_ && !IsCancelled()) {
    auto left = deadline_ - services_.Now();
    if (left <= Millis(0)) {
      answer_.reason.Set(ErrorKind::DeadlineExceeded,
                         "the deadline has passed");
      RecordBreak();
      return;
    }
    switch (answer_.stream->TryRead(part, left, answer_.reason)) {
      case net::ReadResult::Data:
        if (!Add(part)) {
          RecordBreak();
        } else if (options_.isStream &&
                   answer_.readAhead.size() > kMaxHeldBytes) {
          return;
        }
        break;
      case net::ReadResult::End:
        isComplete_ = !IsEndMissing();
        share_.Pin();
        if (!isComplete_) {
          bool isLost = answer_.stream->GetFraming() == net::BodyFraming::Close;
          answer_.reason.Set(
            isLost ? ErrorKind::ConnectionLost : ErrorKind::AnswerBroken,
            "the stream ended within an event or before the first");
          RecordBreak();
        }
        return;
      case net::ReadResult::Failed:
        RecordBreak();
        return;
      case net::ReadResult::Nothing:
        break;
    }
  }
}

// False if what has arrived can't be delivered.
bool
HedgedSend::Add(const std::string& aPart)
{
  answer_.readAhead += aPart;
  if (!share_.Resize(answer_.readAhead.capacity() +
                     options_.relay.GetRemainderBytes())) {
    return false;
  }
  auto now = services_.Now();
  if (!options_.isStream) {
    bool isTooLarge = answer_.readAhead.size() > kMaxAnswerBytes;
    if (isTooLarge) {
      answer_.reason.Set(ErrorKind::AnswerBroken,
                         "the answer's body does not end");
    }
    return !isTooLarge;
  }
  auto& relay = options_.relay;
  auto countBefore = relay.GetEventCount();
  relay.Add(aPart);
  relay.TakeEvents();
  if (relay.GetEventCount() > countBefore) {
    bool isFirst = !firstEventAt_;
    firstEventAt_ = firstEventAt_.value_or(now);
    answer_.writingTime = now - *firstEventAt_;
    lease_->MarkPromptProcessed();
    lease_->GetUpstream().health.RecordActivity(now);
    if (isFirst) {
      Notify();
    }
  }
  bool isBroken = relay.IsEventTooLarge() || relay.HasForeignEvent();
  if (isBroken) {
    answer_.reason.Set(ErrorKind::AnswerBroken,
                       "an event is too large or does not continue the stream");
  }
  return !isBroken;
}

// An end without any event says too little while the first upstream may go on.
bool
HedgedSend::IsEndMissing() const
{
  if (!options_.isStream) {
    return false;
  }
  bool isEmpty = answer_.head.isEventStream &&
                 options_.relay.GetEventCount() == eventsBefore_;
  return isEmpty || options_.relay.EndsInsideEvent();
}

// Gives way to other answers; the send's fiber then ends.
void
HedgedSend::DropAnswer()
{
  services_.GetMetrics().droppedAnswers.Add();
  answer_.readAhead = {};
  options_.relay.DiscardPartialEvent();
  answer_.reason.Set(ErrorKind::AnswerBroken, kNoAnswerMemory);
  isComplete_ = false;
  RecordBreak();
  if (answer_.stream) {
    answer_.stream->StopWaiting();
  }
}

void
HedgedSend::RecordBreak()
{
  if (std::exchange(brokeOff_, true)) {
    return;
  }
  answer_.result = SendResult::Lost;
  if (!IsCancelled() && answer_.reason.kind != ErrorKind::DeadlineExceeded) {
    lease_->GetUpstream().health.RecordOutcome(dispatch::Outcome::Failed,
                                               services_.Now());
  }
}

void
HedgedSend::Notify()
{
  progressCondition_.notify_all();
  onProgress_();
}

void
HedgedSend::Wait()
{
  std::unique_lock lock(mutex_);
  progressCondition_.wait(lock, [this] { return ended_; });
}

void
HedgedSend::WaitForAnswer()
{
  std::unique_lock lock(mutex_);
  progressCondition_.wait(
    lock, [this] { return ended_ || (options_.isStream && hasHead_); });
}

UpstreamAnswer
HedgedSend::TakeAnswer()
{
  isStopping_ = true;
  if (answer_.stream) {
    answer_.stream->StopWaiting();
  }
  Wait();
  return std::move(answer_);
}

} // namespace waxwingyoke::fleet
