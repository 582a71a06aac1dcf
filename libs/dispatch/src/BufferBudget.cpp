#include <dispatch/BufferBudget.h>

#include <algorithm>
#include <utility>

namespace waxwingyoke::dispatch {

void
BufferBudget::Enforce()
{
  auto getDroppable = [](const BufferShare* aShare) {
    return aShare->isPinned_ ? 0 : aShare->bytes_;
  };
  while (used_ > limit_) {
    auto largest = std::ranges::max_element(shares_, {}, getDroppable);
    if (largest == shares_.end() || getDroppable(*largest) <= kSmallBytes) {
      return;
    }
    auto& share = **largest;
    share.isDropped_ = true;
    used_ -= std::exchange(share.bytes_, 0);
    share.onDrop_();
  }
}

BufferShare::BufferShare(BufferBudget& aBudget, std::function<void()> aOnDrop)
  : budget_(aBudget)
  , onDrop_(std::move(aOnDrop))
{
  budget_.shares_.insert(this);
}

BufferShare::~BufferShare()
{
  budget_.used_ -= bytes_;
  budget_.shares_.erase(this);
}

bool
BufferShare::Resize(std::size_t aBytes)
{
  if (!isDropped_) {
    budget_.used_ = budget_.used_ - bytes_ + aBytes;
    bytes_ = aBytes;
    budget_.Enforce();
  }
  return !isDropped_;
}

} // namespace waxwingyoke::dispatch
