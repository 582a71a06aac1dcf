#include "Attempts.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::requests {

Attempts::Attempts(AttemptsLimits aLimits)
  : limits_(aLimits)
{
}

BeginResult
Attempts::Begin(const std::string& aId,
                std::shared_ptr<Answer> aAnswer,
                utils::Millis aNow)
{
  Expire(aNow);
  auto [place, isNew] = entries_.try_emplace(aId);
  if (!isNew) {
    bool barred = place->second.state == schema::BARRED;
    return barred ? BeginResult::Barred : BeginResult::Known;
  }
  place->second.answer = std::move(aAnswer);
  seen_.push_back({ aId, aNow });
  return BeginResult::Begun;
}

schema::AttemptState
Attempts::Ask(const std::string& aId, utils::Millis aAge, utils::Millis aNow)
{
  auto place = entries_.find(aId);
  if (place != entries_.end()) {
    return place->second.state;
  }
  ExpireBars(aNow);
  if (aNow - aAge <= forgottenUntil_ || bars_.size() >= limits_.maxBars) {
    return schema::FORGOTTEN;
  }
  entries_.try_emplace(aId, Entry{ schema::BARRED, nullptr });
  bars_.push_back({ aId, aNow });
  return schema::BARRED;
}

void
Attempts::Finish(const std::string& aId,
                 schema::AttemptState aState,
                 std::size_t aHeldBytes,
                 utils::Millis aNow)
{
  auto place = entries_.find(aId);
  if (place == entries_.end()) {
    return;
  }
  place->second.state = aState;
  held_.push_back({ aId, aHeldBytes, aNow });
  heldBytes_ += aHeldBytes;
  ExpireHeld(aNow);
}

std::shared_ptr<Answer>
Attempts::FindAnswer(const std::string& aId) const
{
  auto place = entries_.find(aId);
  return place == entries_.end() ? nullptr : place->second.answer;
}

void
Attempts::ExpireHeld(utils::Millis aNow)
{
  while (!held_.empty() && (heldBytes_ > limits_.heldBytes ||
                            aNow - held_.front().time > limits_.holdTime)) {
    auto place = entries_.find(held_.front().id);
    if (place != entries_.end()) {
      place->second.answer.reset();
    }
    heldBytes_ -= held_.front().bytes;
    held_.pop_front();
  }
}

void
Attempts::ExpireBars(utils::Millis aNow)
{
  while (!bars_.empty() && aNow - bars_.front().time > limits_.retention) {
    entries_.erase(bars_.front().id);
    bars_.pop_front();
  }
}

void
Attempts::Expire(utils::Millis aNow)
{
  ExpireHeld(aNow);
  ExpireBars(aNow);
  auto isDue = [&] {
    return seen_.size() > limits_.maxEntries ||
           (!seen_.empty() && aNow - seen_.front().time > limits_.retention);
  };
  // Each is looked at once: where all of them run, none may go.
  for (auto left = seen_.size(); left > 0 && isDue(); --left) {
    auto oldest = std::move(seen_.front());
    seen_.pop_front();
    auto place = entries_.find(oldest.id);
    if (place->second.state == schema::RUNNING) {
      seen_.push_back(std::move(oldest));
      continue;
    }
    forgottenUntil_ = std::max(forgottenUntil_, oldest.time);
    entries_.erase(place);
  }
}

} // namespace waxwingyoke::requests
