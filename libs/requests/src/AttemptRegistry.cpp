#include "AttemptRegistry.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::requests {

AttemptRegistry::AttemptRegistry(AttemptLimits aLimits)
  : limits_(aLimits)
{
}

BeginResult
AttemptRegistry::Begin(const std::string& aId,
                       std::shared_ptr<Answer> aAnswer,
                       utils::Millis aNow)
{
  Expire(aNow);
  auto [it, isNew] = records_.try_emplace(aId);
  if (!isNew) {
    bool isBarred = it->second.state == schema::BARRED;
    return isBarred ? BeginResult::Barred : BeginResult::AlreadyBegun;
  }
  it->second.answer = std::move(aAnswer);
  begun_.push_back({ aId, aNow });
  return BeginResult::Begun;
}

schema::AttemptState
AttemptRegistry::QueryOrBar(const std::string& aId,
                            utils::Millis aAge,
                            utils::Millis aNow)
{
  auto it = records_.find(aId);
  if (it != records_.end()) {
    return it->second.state;
  }
  ExpireBars(aNow);
  if (aNow - aAge <= evictedUntil_ || bars_.size() >= limits_.maxBars) {
    return schema::FORGOTTEN;
  }
  records_.try_emplace(aId, Record{ schema::BARRED, nullptr });
  bars_.push_back({ aId, aNow });
  return schema::BARRED;
}

void
AttemptRegistry::Finish(const std::string& aId,
                        schema::AttemptState aState,
                        std::size_t aAnswerBytes,
                        utils::Millis aNow)
{
  auto it = records_.find(aId);
  if (it == records_.end()) {
    return;
  }
  it->second.state = aState;
  heldAnswers_.push_back({ aId, aAnswerBytes, aNow });
  heldBytes_ += aAnswerBytes;
  ExpireHeld(aNow);
}

std::shared_ptr<Answer>
AttemptRegistry::FindAnswer(const std::string& aId) const
{
  auto it = records_.find(aId);
  return it == records_.end() ? nullptr : it->second.answer;
}

void
AttemptRegistry::ExpireHeld(utils::Millis aNow)
{
  while (!heldAnswers_.empty() &&
         (heldBytes_ > limits_.maxHeldBytes ||
          aNow - heldAnswers_.front().time > limits_.maxHoldTime)) {
    auto it = records_.find(heldAnswers_.front().id);
    if (it != records_.end()) {
      it->second.answer.reset();
    }
    heldBytes_ -= heldAnswers_.front().bytes;
    heldAnswers_.pop_front();
  }
}

void
AttemptRegistry::ExpireBars(utils::Millis aNow)
{
  while (!bars_.empty() && aNow - bars_.front().time > limits_.retention) {
    records_.erase(bars_.front().id);
    bars_.pop_front();
  }
}

void
AttemptRegistry::Expire(utils::Millis aNow)
{
  ExpireHeld(aNow);
  ExpireBars(aNow);
  auto mustEvict = [&] {
    return begun_.size() > limits_.maxRecords ||
           (!begun_.empty() && aNow - begun_.front().time > limits_.retention);
  };
  // Visits each attempt once at most, because running ones are never evicted
  // and all of them may be running.
  for (auto remaining = begun_.size(); remaining > 0 && mustEvict();
       --remaining) {
    auto oldest = std::move(begun_.front());
    begun_.pop_front();
    auto it = records_.find(oldest.id);
    if (it->second.state == schema::RUNNING) {
      begun_.push_back(std::move(oldest));
      continue;
    }
    evictedUntil_ = std::max(evictedUntil_, oldest.time);
    records_.erase(it);
  }
}

} // namespace waxwingyoke::requests
