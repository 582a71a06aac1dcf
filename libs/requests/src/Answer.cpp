#include "Answer.h"

#include <mutex>
#include <utility>

namespace waxwingyoke::requests {

namespace {

constexpr std::size_t kMaxAnswerBytes = 64 << 20;

} // namespace

void
Answer::SetHead(schema::AnswerHead aHead)
{
  std::unique_lock lock(mutex_);
  head_ = std::move(aHead);
  changed_.notify_all();
}

bool
Answer::Append(std::string_view aData)
{
  std::unique_lock lock(mutex_);
  if (cancelled_ || end_ || data_.size() + aData.size() > kMaxAnswerBytes) {
    return false;
  }
  data_ += aData;
  digest_.Add(aData);
  changed_.notify_all();
  return true;
}

void
Answer::End(schema::AnswerEnd aEnd)
{
  std::unique_lock lock(mutex_);
  if (end_) {
    return;
  }
  aEnd.set_data_bytes(data_.size());
  aEnd.set_digest(digest_.Finish().ToHex());
  end_ = std::move(aEnd);
  changed_.notify_all();
}

AnswerPart
Answer::GetUnread(bool aHasHead, std::uint64_t aFrom) const
{
  AnswerPart part;
  if (!aHasHead) {
    part.head = head_;
  }
  if (aFrom < data_.size()) {
    part.data = data_.substr(aFrom);
  }
  part.end = end_;
  return part;
}

AnswerPart
Answer::Wait(bool aHasHead, std::uint64_t aFrom, utils::Millis aTimeout)
{
  std::unique_lock lock(mutex_);
  auto part = GetUnread(aHasHead, aFrom);
  if (part.IsEmpty()) {
    changed_.wait_for(lock, aTimeout.ToChrono());
    part = GetUnread(aHasHead, aFrom);
  }
  return part;
}

bool
Answer::IsEnded()
{
  std::unique_lock lock(mutex_);
  return end_.has_value();
}

std::size_t
Answer::GetBytes()
{
  std::unique_lock lock(mutex_);
  return data_.size();
}

} // namespace waxwingyoke::requests
